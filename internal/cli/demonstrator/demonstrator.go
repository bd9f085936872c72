// Package demonstrator runs the whole system in one process against stand-ins, sends
// a short mixed load, and reports whether the promises held.
package demonstrator

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/contract/bill"
	"example.com/dotterelwell/internal/contract/order"
	"example.com/dotterelwell/internal/machine/assembler"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/fault"
	"example.com/dotterelwell/internal/request/auditor"
)

// Kind classifies the package's errors.
type Kind string

// KindBroken means that a promise did not hold.
const KindBroken Kind = "promise-broken"

// Error is the package's error type.
type Error = fault.Error[Kind]

const (
	// startTimeout bounds the start of the fleet.
	startTimeout = 20 * clock.Second
	// withdrawnAfter is the time after which a withdrawn version must get no new work.
	withdrawnAfter = 3 * clock.Second
	// runTimeout bounds the whole load.
	runTimeout = 45 * clock.Second
)

// Demonstrator runs the demonstration. Its zero value is ready once Out is set.
type Demonstrator struct {
	Out io.Writer
	// Sabotage, in tests, breaks a part of an instance before it runs.
	Sabotage func(*assembler.Node)
	// Keep leaves everything running until the context ends.
	Keep bool
	// Scale multiplies the load; zero means one.
	Scale int
}

// promise is a line of the report.
type promise struct {
	text  string
	count int
	kept  bool
}

// Run runs the demonstration and returns an error when a promise did not hold.
func (d *Demonstrator) Run(ctx context.Context) error {
	f, stop, err := d.start(ctx)
	if err != nil {
		return err
	}
	defer stop()
	bounded, cancel := context.WithTimeout(ctx, startTimeout.Duration())
	defer cancel()
	if err := f.submit(bounded); err != nil {
		return err
	}
	if err := f.awaitReady(bounded); err != nil {
		return fmt.Errorf("the fleet did not become ready: %w", err)
	}
	broken, err := d.measure(ctx, f)
	if err != nil {
		return err
	}
	if d.Keep {
		d.explain(f)
		<-ctx.Done()
	}
	if broken > 0 {
		return fault.Newf("demonstrate", KindBroken, "%d promises did not hold", broken)
	}
	return nil
}

// measure sends the load and reports; it returns the number of broken promises.
func (d *Demonstrator) measure(ctx context.Context, f *fleet) (int, error) {
	bounded, cancel := context.WithTimeout(ctx, runTimeout.Duration())
	defer cancel()
	l := &load{fleet: f, scale: max(d.Scale, 1)}
	started := time.Now()
	l.phase(bounded)
	if err := f.withdraw(bounded); err != nil {
		return 0, err
	}
	if err := (&clock.Clock{}).Sleep(bounded, withdrawnAfter); err != nil {
		return 0, err
	}
	before := f.starts(fastNew)
	l.phase(bounded)
	after := f.starts(fastNew)
	took := time.Since(started)
	for _, n := range f.nodes {
		if err := n.Biller.Drain(bounded); err != nil {
			return 0, err
		}
	}
	records, err := (&auditor.Auditor{Store: f.platform.Store.Storer()}).Records(bounded, auditor.SegmentKinds(clock.Millis(time.Now().UnixMilli()), clock.Hour))
	if err != nil {
		return 0, err
	}
	promises := l.promises(records, after-before)
	d.report(l, records, promises, took)
	broken := 0
	for _, p := range promises {
		if !p.kept {
			broken++
		}
	}
	return broken, nil
}

// withdraw withdraws the cheapest version, which most requests run on.
func (f *fleet) withdraw(ctx context.Context) error {
	o := order.Order{By: "demo", Reason: "shown half way", At: clock.Millis(time.Now().UnixMilli())}
	_, err := f.submitter().Give(ctx, order.SortWithdrawal, fastNew.String(), o)
	return err
}

// starts counts the requests that the engines have started on a version.
func (f *fleet) starts(version declaration.Ref) int {
	total := 0
	for _, e := range f.engines {
		total += e.Stats().Versions[version]
	}
	return total
}

func (d *Demonstrator) report(l *load, records []bill.Record, promises []promise, took time.Duration) {
	out := &strings.Builder{}
	fmt.Fprintf(out, "dotterelwell demo: %d requests to %d instances in %.1f s\n\n", len(l.results), len(l.fleet.nodes), took.Seconds())
	fmt.Fprintf(out, "%-18s %8s %14s\n", "answers by version", "answers", "cost (micros)")
	counts, costs := map[string]int{}, map[string]declaration.MicroCost{}
	for _, r := range records {
		name := r.Version
		if name == "" {
			name = "service " + string(r.Service)
		}
		counts[name]++
		costs[name] += r.Cost
	}
	var names []string
	for name := range counts {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		fmt.Fprintf(out, "%-18s %8d %14d\n", name, counts[name], costs[name])
	}
	fmt.Fprintf(out, "\n%-18s %8s %8s %8s %8s\n", "latency (ms)", "requests", "p50", "p95", "p99")
	for _, kind := range []string{"ruling", "lookup", "appeal", "registration"} {
		times := l.times(kind)
		fmt.Fprintf(out, "%-18s %8d %8.1f %8.1f %8.1f\n", kind, len(times), percentile(times, 50), percentile(times, 95), percentile(times, 99))
	}
	l.reportRefusals(out)
	out.WriteString("\npromises\n")
	for _, p := range promises {
		verdict := "kept  "
		if !p.kept {
			verdict = "BROKEN"
		}
		fmt.Fprintf(out, "  %s  %-62s %6d\n", verdict, p.text, p.count)
	}
	_, _ = io.WriteString(d.Out, out.String()) // a closed terminal does not change the verdict
}

// reportRefusals counts refusals by reason, when there are any.
func (l *load) reportRefusals(out io.Writer) {
	counts := map[string]int{}
	for _, r := range l.results {
		if r.refusal.Type != "" {
			counts[fmt.Sprintf("%s: %s (%s) %s", r.kind, r.refusal.Type, r.refusal.Outcome, r.refusal.Detail)]++
		}
	}
	for _, reason := range slices.Sorted(maps.Keys(counts)) {
		_, _ = fmt.Fprintf(out, "  refused %4d  %s\n", counts[reason], reason) // a builder takes everything
	}
}

func (d *Demonstrator) explain(f *fleet) {
	_, _ = fmt.Fprintf(d.Out, `
The fleet keeps running. Try:
  curl -H 'Authorization: Bearer %s' -d '{"model":"lookups","messages":[{"role":"user","content":"When does the bakery light?"}]}' %s/v1/chat/completions
  dotterelwell status --operator http://%s
Stop it with Ctrl-C.
`, CallerKey, f.urls[0], f.nodes[0].Settings.OperatorAddress) // a closed terminal does not stop the fleet
}

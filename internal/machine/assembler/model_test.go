package assembler_test

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/contract/bill"
	"example.com/dotterelwell/internal/contract/chat"
	"example.com/dotterelwell/internal/contract/problem"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/ident"
	"example.com/dotterelwell/internal/request/auditor"
	"example.com/dotterelwell/internal/standin/deskservice"
	"example.com/dotterelwell/internal/standin/engine"
	"example.com/dotterelwell/internal/standin/faulter"
	"example.com/dotterelwell/internal/standin/fleet"
	"example.com/dotterelwell/internal/standin/objectstore"
	"example.com/dotterelwell/internal/standin/property"
)

// history is a random schedule of requests and faults.
type history struct {
	requests []plannedRequest
	engine   map[faulter.Effect]float64
	desk     map[faulter.Effect]float64
	store    map[faulter.Effect]float64
	// outage is when the store goes down, for outageSpan; zero for never.
	outage, outageSpan int
	// kill is when an instance is killed; zero for never.
	kill int
	// silence is when all open connections to backend servers go silent.
	silence int
	seed    uint64
}

type plannedRequest struct {
	// at is in milliseconds from the start.
	at     int
	kind   int
	key    int
	stream bool
}

// historySpan is the length of a history in milliseconds.
const historySpan = 20_000

func drawHistory(rt *rapid.T) history {
	shares := func(effects ...faulter.Effect) map[faulter.Effect]float64 {
		m := map[faulter.Effect]float64{}
		for _, e := range effects {
			if rapid.Bool().Draw(rt, "has "+string(e)) {
				m[e] = rapid.Float64Range(0.05, 0.5).Draw(rt, string(e))
			}
		}
		return m
	}
	moment := func(name string) int {
		if !rapid.Bool().Draw(rt, "has "+name) {
			return 0
		}
		return rapid.IntRange(1, historySpan).Draw(rt, name)
	}
	return history{
		requests: rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) plannedRequest {
			return plannedRequest{
				at: rapid.IntRange(0, historySpan).Draw(rt, "at"), kind: rapid.IntRange(0, 3).Draw(rt, "kind"), key: rapid.IntRange(0, 4).Draw(rt, "key"),
				stream: rapid.Bool().Draw(rt, "stream"),
			}
		}), 12, 40).Draw(rt, "requests"),
		engine:     shares(faulter.EffectRefuse, faulter.EffectCut, faulter.EffectSilent, faulter.EffectCross, faulter.EffectFail, faulter.EffectHang),
		desk:       shares(faulter.EffectRefuse, faulter.EffectLoseAnswer, faulter.EffectCut, faulter.EffectCross, faulter.EffectHang),
		store:      shares(faulter.EffectRefuse, faulter.EffectLoseAnswer, faulter.EffectSlow),
		outage:     moment("outage"),
		outageSpan: rapid.IntRange(1, 60_000).Draw(rt, "outage span"),
		kill:       moment("kill"),
		silence:    moment("silence"),
		seed:       rapid.Uint64().Draw(rt, "seed"),
	}
}

// seen is what a caller saw of one request.
type seen struct {
	request ident.Request
	key     ident.Key
	prompt  string
	stream  bool
	reply   fleet.Reply
	err     error
}

// TestPromises plays random histories against a fleet and checks what must always hold.
func TestPromises(t *testing.T) {
	property.Check(t, 40, func(rt *rapid.T) {
		h := drawHistory(rt)
		var broken []string
		synctest.Test(t, func(t *testing.T) { broken = h.play(t) })
		if len(broken) > 0 {
			rt.Fatalf("%d promises broken:\n%s", len(broken), strings.Join(broken, "\n"))
		}
	})
}

func addFaults(table *faulter.Table, seed uint64, point faulter.Point, shares map[faulter.Effect]float64) {
	table.Seed(seed)
	for _, effect := range []faulter.Effect{
		faulter.EffectRefuse, faulter.EffectCut, faulter.EffectSilent, faulter.EffectCross,
		faulter.EffectFail, faulter.EffectHang, faulter.EffectLoseAnswer, faulter.EffectSlow,
	} {
		if shares[effect] > 0 {
			table.Add(faulter.Rule{Point: point, Effect: effect, Share: shares[effect], Frame: int(seed % 9), Delay: 700})
		}
	}
}

func (h history) play(t *testing.T) []string {
	f := newFleet(t, 4, 3)
	for i, e := range f.Engines {
		addFaults(&e.Faults, h.seed+uint64(i), engine.PointChat, h.engine)
	}
	for i, d := range f.Desks {
		addFaults(&d.Faults, h.seed+uint64(i), deskservice.PointCall, h.desk)
	}
	addFaults(&f.Store.Faults, h.seed, objectstore.PointPut, h.store)
	nodes := f.Nodes
	var all sync.WaitGroup
	at := func(ms int, do func()) {
		if ms > 0 {
			all.Go(func() {
				time.Sleep(time.Duration(ms) * time.Millisecond)
				do()
			})
		}
	}
	at(h.outage, func() { f.Store.SetDown(true) })
	at(h.outage+h.outageSpan, func() { f.Store.SetDown(false) })
	at(h.kill, func() { f.Kill(nodes[0]) })
	at(h.silence, func() {
		f.Network.Silence(func(_, to string) bool { return strings.HasPrefix(to, "10.2.") || strings.HasPrefix(to, "10.3.") })
	})
	results := make([]seen, len(h.requests))
	for i, r := range h.requests {
		at(r.at+1, func() { results[i] = send(f, i, r) })
	}
	all.Wait()
	for _, e := range f.Engines {
		e.Faults.Clear()
	}
	for _, d := range f.Desks {
		d.Faults.Clear()
	}
	f.Store.Faults.Clear()
	time.Sleep(time.Minute) // bills of a killed instance are taken over meanwhile
	return check(t, f, results)
}

func send(f *fleet.Fleet, i int, r plannedRequest) seen {
	s := seen{request: ident.Request(fmt.Sprintf("r%d", i)), stream: r.stream, prompt: fmt.Sprintf("question %d tokens=%d", i, 3+i%20)}
	var ask fleet.Ask
	switch r.kind {
	case 0:
		s.key = ident.Key(fmt.Sprintf("k%d", r.key))
		s.prompt = ""
		ask = fleet.Register(string(s.key), "body of "+string(s.key))
	case 1:
		ask = fleet.Chat("rulings", s.prompt, r.stream)
	case 2:
		ask = fleet.Chat("appeals", s.prompt, r.stream)
	default:
		ask = fleet.Chat("lookups", s.prompt, r.stream)
	}
	ask.Header[chat.HeaderRequestID] = string(s.request)
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Minute)
	defer cancel()
	s.reply, s.err = f.Send(ctx, f.Next(), ask)
	return s
}

// check compares what callers saw with what backend servers ran and what was billed.
func check(t *testing.T, f *fleet.Fleet, results []seen) []string {
	var broken []string
	fail := func(format string, args ...any) { broken = append(broken, fmt.Sprintf(format, args...)) }
	runs := map[ident.Key]int{}
	for _, d := range f.Desks {
		for key, n := range d.Runs() {
			runs[key] += n
		}
	}
	for key, n := range runs {
		if n > 1 {
			fail("key %s ran %d times", key, n)
		}
	}
	billed, err := billedNames(t, f)
	if err != nil {
		fail("%v", err)
	}
	for _, s := range results {
		if s.err != nil {
			continue // the caller cannot tell, and asks again with the same key
		}
		name := string(s.request)
		if s.key != "" {
			name = string(s.key)
		}
		switch answered, refusal := s.verdict(); {
		case answered && billed[name] != 1:
			fail("%s was answered and billed %d times", name, billed[name])
		case answered:
		case refusal.Outcome == problem.OutcomeNotRun && s.ran(f):
			fail("%s was refused as not run (%s) and ran", s.request, refusal.Detail)
		case s.reply.Status == 200 && refusal.Type == "":
			fail("%s got a wrong or cut answer without notice: %q", s.request, s.reply.Body)
		}
	}
	return broken
}

// verdict tells whether the caller got the whole answer to its own request, and
// otherwise the refusal, also one at the end of a stream.
func (s seen) verdict() (answered bool, refusal problem.Document) {
	if s.reply.Status != 200 {
		_ = json.Unmarshal(s.reply.Body, &refusal) // a refusal without a document has no outcome
		return false, refusal
	}
	if s.key != "" {
		return strings.Contains(string(s.reply.Body), `"echo":"body of `+string(s.key)+`"`), refusal
	}
	version, err := declaration.ParseRef(s.reply.Header.Get(chat.HeaderVersion))
	if err != nil {
		return false, refusal
	}
	want := engine.Text(version, s.prompt)
	if !s.stream {
		var answer chat.Answer
		_ = json.Unmarshal(s.reply.Body, &answer) // a broken answer has another text
		return answer.Text() == want, refusal
	}
	text, whole := streamText(s.reply.Body)
	if _, tail, cut := strings.Cut(string(s.reply.Body), "event: error\ndata: "); cut {
		_ = json.Unmarshal([]byte(strings.TrimSpace(tail)), &refusal) // a broken document has no type
		return false, refusal
	}
	return whole && text == want, refusal
}

func (s seen) ran(f *fleet.Fleet) bool {
	for _, d := range f.Desks {
		if d.Ran(s.request) {
			return true
		}
	}
	for _, e := range f.Engines {
		if e.Ran(s.request) {
			return true
		}
	}
	return false
}

// billedNames counts the bills of each request or key.
func billedNames(t *testing.T, f *fleet.Fleet) (map[string]int, error) {
	days := auditor.SegmentKinds(clock.Millis(time.Now().UnixMilli()), clock.Day)
	records, err := (&auditor.Auditor{Store: f.Store.Storer()}).Records(t.Context(), days)
	if err != nil {
		return nil, err
	}
	names := map[string]int{}
	for _, r := range records {
		names[billedName(r)]++
	}
	return names, nil
}

func billedName(r bill.Record) string { return strings.Split(string(r.ID), "/")[1] }

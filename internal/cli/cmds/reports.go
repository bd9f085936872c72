package cmds

import (
	"context"
	"encoding/json"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/cli/renderer"
	"example.com/dotterelwell/internal/contract/bill"
	"example.com/dotterelwell/internal/contract/claim"
	"example.com/dotterelwell/internal/contract/order"
	"example.com/dotterelwell/internal/contract/storer"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/ident"
	"example.com/dotterelwell/internal/machine/reporter"
	"example.com/dotterelwell/internal/request/auditor"
)

// stepsOf returns the number of steps of a model's declared roll-out.
func stepsOf(present map[string]storer.Object, name declaration.ModelName) (int, error) {
	o, found := present[order.Name(order.SortModel, string(name))]
	if !found {
		return 0, errors.Newf("model %q is not declared", name)
	}
	var model declaration.Model
	if err := json.Unmarshal(o.Value, &model); err != nil {
		return 0, err
	}
	if model.Rollout == nil {
		return 0, errors.Newf("model %q declares no roll-out", name)
	}
	return len(model.Rollout.Steps), nil
}

type statusCmd struct {
	operatorFlags
	JSON bool `arg:"--json" help:"print as JSON"`
}

func (c *statusCmd) run(ctx context.Context, env environment) error {
	var s reporter.FleetStatus
	if err := c.call(ctx, "GET", "/operator/status", nil, &s); err != nil {
		return err
	}
	if c.JSON {
		return printJSON(env.out, s)
	}
	printf(env.out, "%-12s %-14s %-6s %8s %9s %9s %8s %8s  %s\n", "INSTANCE", "ZONE", "READY", "CONFIG", "AGE(MS)", "IN-FLIGHT", "WAITING", "BILLS", "REASON")
	for _, i := range s.Instances {
		printf(env.out, "%-12s %-14s %-6t %8d %9d %9d %8d %8d  %s\n", i.Instance, i.Zone, i.Ready, i.Config, i.ConfigAge, i.InFlight, i.Waiting, i.BillBacklog, i.Reason)
	}
	for _, id := range s.Silent {
		printf(env.out, "%-12s does not answer\n", id)
	}
	printf(env.out, "\n%-14s %s\n", "ZONE", "STATE")
	for _, z := range s.Zones {
		printf(env.out, "%-14s %s\n", z.Name, zoneState(z.Out))
	}
	printf(env.out, "\n%-12s %-14s %-10s %9s %6s %6s\n", "SERVER", "ZONE", "STATE", "IN-FLIGHT", "LIMIT", "LOAD")
	for _, r := range s.Servers {
		printf(env.out, "%-12s %-14s %-10s %9d %6d %6.2f\n", r.Server, r.Zone, serverState(r.Leaving, r.Warm), r.InFlight, r.Limit, r.Load)
	}
	return nil
}

func zoneState(out bool) string {
	if out {
		return "out"
	}
	return "in"
}

func serverState(leaving, warm bool) string {
	switch {
	case leaving:
		return "leaving"
	case warm:
		return "warm"
	}
	return "cold"
}

type timelineCmd struct {
	operatorFlags
	Request ident.Request `help:"only events of this request"`
	Since   string        `help:"only events after this time (RFC 3339) or of this last span, such as 5m"`
	JSON    bool          `arg:"--json" help:"print as JSON"`
	HTML    bool          `arg:"--html" help:"print a self-contained page"`
}

func (c *timelineCmd) run(ctx context.Context, env environment) error {
	since, err := parseSince(c.Since, time.Now())
	if err != nil {
		return err
	}
	query := url.Values{"since-ms": {strconv.FormatInt(int64(since), 10)}}
	if c.Request != "" {
		query.Set("request", string(c.Request))
	}
	var t reporter.Timeline
	if err := c.call(ctx, "GET", "/operator/timeline?"+query.Encode(), nil, &t); err != nil {
		return err
	}
	r := renderer.Renderer{Events: t.Events, Silent: t.Silent}
	switch {
	case c.JSON:
		return printJSON(env.out, t)
	case c.HTML:
		return r.HTML(env.out)
	}
	return r.Text(env.out)
}

func parseSince(s string, now time.Time) (clock.Millis, error) {
	if s == "" {
		return 0, nil
	}
	if span, err := time.ParseDuration(s); err == nil {
		return clock.Millis(now.Add(-span).UnixMilli()), nil
	}
	at, err := time.Parse(time.RFC3339, s)
	if err != nil {
		return 0, errors.Newf("%q is neither a span such as 5m nor a time as in RFC 3339", s)
	}
	return clock.Millis(at.UnixMilli()), nil
}

type qualityCmd struct {
	Show *qualityShowCmd `arg:"subcommand:show" help:"show the estimates of each version in each class"`
}

type qualityShowCmd struct {
	operatorFlags
	JSON bool `arg:"--json" help:"print as JSON"`
}

func (c *qualityShowCmd) run(ctx context.Context, env environment) error {
	var rows []reporter.QualityRow
	if err := c.call(ctx, "GET", "/operator/quality", nil, &rows); err != nil {
		return err
	}
	if c.JSON {
		return printJSON(env.out, rows)
	}
	printf(env.out, "%-12s %-20s %-10s %5s %8s %8s %6s %6s %6s %9s\n", "CLASS", "VERSION", "STATE", "DEPTH", "DECLARED", "SAMPLES", "LOW", "MEAN", "HIGH", "COST")
	for _, r := range rows {
		printf(env.out, "%-12s %-20s %-10s %5d %8.2f %8.0f %6.3f %6.3f %6.3f %9.0f\n", r.Class, r.Version, r.State, r.Depth, float64(r.Declared), r.Samples, r.Low, r.Mean, r.High, r.Cost)
	}
	return nil
}

type requestsCmd struct {
	Find    *requestsFindCmd    `arg:"subcommand:find" help:"tell what became of a request by its key"`
	Unknown *requestsUnknownCmd `arg:"subcommand:unknown" help:"list requests whose outcome is unknown"`
	Settle  *requestsSettleCmd  `arg:"subcommand:settle" help:"record the outcome of such a request"`
}

type requestsFindCmd struct {
	operatorFlags
	Key  ident.Key `arg:"positional,required" help:"the key as WORKSPACE/KEY"`
	JSON bool      `arg:"--json" help:"print as JSON"`
}

func (c *requestsFindCmd) run(ctx context.Context, env environment) error {
	var entry claim.Entry
	if err := c.call(ctx, "GET", "/operator/find?key="+url.QueryEscape(string(c.Key)), nil, &entry); err != nil {
		return err
	}
	if c.JSON {
		return printJSON(env.out, entry)
	}
	printEntries(env, []claim.Entry{entry})
	return nil
}

type requestsUnknownCmd struct {
	operatorFlags
	JSON bool `arg:"--json" help:"print as JSON"`
}

func (c *requestsUnknownCmd) run(ctx context.Context, env environment) error {
	var open []claim.Entry
	if err := c.call(ctx, "GET", "/operator/unknown", nil, &open); err != nil {
		return err
	}
	if c.JSON {
		return printJSON(env.out, open)
	}
	printEntries(env, open)
	return nil
}

func printEntries(env environment, entries []claim.Entry) {
	printf(env.out, "%-32s %-9s %6s %-14s %-24s %s\n", "KEY", "STATE", "STATUS", "SERVICE", "SINCE", "REQUEST")
	for _, e := range entries {
		printf(env.out, "%-32s %-9s %6d %-14s %-24s %s\n", e.Key, e.State, e.Status, e.Service, e.At.Time().UTC().Format(time.RFC3339), e.Request)
	}
}

type requestsSettleCmd struct {
	operatorFlags
	Key    ident.Key `arg:"positional,required" help:"the key as WORKSPACE/KEY"`
	Ran    bool      `help:"the request ran"`
	NotRun bool      `arg:"--not-run" help:"the request has not run and cannot run any more; its key may be used again"`
	Status int       `help:"the status that the service answered, when it ran"`
}

func (c *requestsSettleCmd) run(ctx context.Context, env environment) error {
	if c.Ran == c.NotRun {
		return errors.New("give either --ran or --not-run")
	}
	var entry claim.Entry
	body := reporter.Settlement{Key: c.Key, Ran: c.Ran, Status: c.Status, By: operatorName()}
	if err := c.call(ctx, "POST", "/operator/settle", body, &entry); err != nil {
		return err
	}
	printf(env.out, "%s is settled\n", c.Key)
	return nil
}

type billsCmd struct {
	Sum *billsSumCmd `arg:"subcommand:sum" help:"sum the bills of a day by workspace"`
}

type billsSumCmd struct {
	platformFlags
	Workspace declaration.WorkspaceName `help:"only this workspace"`
	Day       string                    `help:"the day in UTC as 2006-01-02; today when left out"`
	JSON      bool                      `arg:"--json" help:"print as JSON"`
}

func (c *billsSumCmd) run(ctx context.Context, env environment) error {
	day := c.Day
	if day == "" {
		day = time.Now().UTC().Format("2006-01-02")
	}
	kind, err := bill.KindOfDay(day)
	if err != nil {
		return err
	}
	records, err := (&auditor.Auditor{Store: c.store()}).Records(ctx, []storer.ObjectKind{kind})
	if err != nil {
		return err
	}
	totals := []auditor.Total{}
	for _, t := range auditor.SumByWorkspace(records) {
		if c.Workspace == "" || t.Workspace == c.Workspace {
			totals = append(totals, t)
		}
	}
	if c.JSON {
		return printJSON(env.out, totals)
	}
	printf(env.out, "%-20s %8s %12s %12s %14s\n", "WORKSPACE", "BILLS", "PROMPT", "ANSWER", "COST(MICROS)")
	for _, t := range totals {
		printf(env.out, "%-20s %8d %12d %12d %14d\n", t.Workspace, t.Bills, t.Prompt, t.Answer, t.Cost)
	}
	return nil
}

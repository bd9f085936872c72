package host

import (
	"context"
	"net/http"

	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/contract/duty"
	"example.com/dotterelwell/internal/contract/problem"
	"example.com/dotterelwell/internal/duty/autoscaler"
	"example.com/dotterelwell/internal/duty/counter"
	"example.com/dotterelwell/internal/duty/demander"
	"example.com/dotterelwell/internal/duty/leaser"
	"example.com/dotterelwell/internal/duty/pacer"
	"example.com/dotterelwell/internal/duty/settler"
	"example.com/dotterelwell/internal/link/gossiper"
	"example.com/dotterelwell/internal/link/timekeeper"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/fault"
	"example.com/dotterelwell/internal/machine/ident"
	"example.com/dotterelwell/platform"
)

// dutyTimeout bounds a call of the platform for a duty.
const dutyTimeout = 2 * clock.Second

// callPart is the part of the calls accepted by the platform that the holders of all duties make. The
// rest is for calls that arrive unevenly, or of a holder before.
const callPart = 0.8

// duties are the parts of an instance that work for the whole fleet towards the platform. Without
// such work in the settings all fields are nil.
type duties struct {
	platform   *duty.Platform
	timekeeper *timekeeper.Timekeeper
	leasers    map[duty.Name]*leaser.Leaser
	counter    *counter.Counter
	settler    *settler.Settler
	demander   *demander.Demander
	autoscaler *autoscaler.Autoscaler
	client     *http.Client
}

func (d *duties) close() {
	if d.client != nil {
		d.client.CloseIdleConnections()
	}
}

// wireDuties builds what the settings' duties need.
func (h *Host) wireDuties() {
	if h.Profile.Duties.Address == "" || len(h.Profile.Duties.Names()) == 0 {
		return
	}
	h.duties.client = &http.Client{Transport: &http.Transport{DialContext: h.outside.DialFunc, MaxIdleConnsPerHost: 2, DisableCompression: true}}
	d := &h.duties
	d.platform = platform.NewDutyPlatform(h.Profile.Duties.Address, d.client, dutyTimeout)
	d.timekeeper = &timekeeper.Timekeeper{Clock: h.Clock}
	h.Gossiper.Timekeeper = d.timekeeper
	d.leasers = map[duty.Name]*leaser.Leaser{}
	for _, name := range h.Profile.Duties.Names() {
		d.leasers[name] = h.newLeaser(name)
	}
	if h.Profile.Duties.Has(duty.Metering) {
		h.wireMetering()
	}
	if h.Profile.Duties.Has(duty.Scaling) {
		h.wireScaling()
	}
}

func (h *Host) newLeaser(name duty.Name) *leaser.Leaser {
	l := &leaser.Leaser{
		Clock: h.Clock, Store: h.Store, Duty: name, Instance: h.Profile.Instance, Incarnation: h.tallier.Owner,
		LeaseFunc:          func() clock.Millis { return h.currentBounds().Lease },
		CandidateFunc:      func() bool { return h.Gossiper.HoldsDuty(declaration.ServiceName(name)) },
		TouchFunc:          h.touch,
		StoppingFunc:       func() bool { return h.draining.Load() || !h.Enlister.Synced() },
		StoreElsewhereFunc: func() bool { return h.Gossiper.StoreElsewhere(h.Gossiper.DutyKind) },
		OnSilent:           func(holder ident.Instance) { h.Gossiper.SendTo(context.Background(), holder) },
		OnClaim: func(before ident.Instance) {
			if before != "" && before != h.Profile.Instance {
				h.Gossiper.SendTo(context.Background(), before)
			}
			h.Gossiper.SendToNeighbours(context.Background())
		},
	}
	h.Meter.Gauge("duty_held_"+string(name), "1 while this instance holds the duty "+string(name)+".", func() float64 {
		if _, held := l.Held(); held {
			return 1
		}
		return 0
	})
	return l
}

// quietSpanOfPeers is the time without a message of any peer after which an instance counts as cut
// off from all. It exceeds two rounds.
const quietSpanOfPeers clock.Millis = 1600

// touch returns the share of the instances that this one reaches.
func (h *Host) touch() float64 {
	if !h.Gossiper.HeardWithin(quietSpanOfPeers) {
		return 0
	}
	_, share := h.Gossiper.Reachable()
	return share
}

func (h *Host) wireMetering() {
	d := &h.duties
	held := d.leasers[duty.Metering]
	d.counter = &counter.Counter{
		NowFunc: d.timekeeper.Now, LengthFunc: func() clock.Millis { return h.currentBounds().UsagePeriod },
		Incarnation: h.tallier.Owner, Zone: h.Profile.Zone,
	}
	h.Gossiper.UsageFunc = h.usageFor
	h.Gossiper.HolderFunc = h.meteringHolder
	h.Runner.OnBegin = d.counter.Count
	d.settler = &settler.Settler{
		Clock: h.Clock, Store: h.Store, Platform: h.platformFor(duty.Metering), HeldFunc: held.Held, OnSuperseded: held.Superseded, OnStoreError: held.Doubt,
		NowFunc: d.timekeeper.Now, EndFunc: d.counter.End, PeriodFunc: d.counter.PeriodAt,
		TotalFunc: func(p duty.Period) map[declaration.WorkspaceName]int { return d.counter.Total(p) },
		FirstFunc: d.counter.First, ProgressFunc: d.counter.Progress, OnProgress: d.counter.NoteProgress,
		KeepSpan: counter.KeepSpan, TouchFunc: h.touch, LateFunc: func() clock.Millis { return h.currentBounds().UsageDelay },
	}
	gauge := func(name, help string, read func(settler.Stats) int) {
		h.Meter.Gauge(name, help, func() float64 { return float64(read(d.settler.Stats())) })
	}
	gauge("usage_reports", "Usage reports that the platform acknowledged to this instance.", func(s settler.Stats) int { return s.Sent })
	gauge("usage_reports_late", "Usage reports that were acknowledged after they were due.", func(s settler.Stats) int { return s.Late })
	gauge("usage_reports_lost", "Periods whose usage could not be reported.", func(s settler.Stats) int { return s.Lost })
	gauge("usage_backlog", "Periods whose usage is fixed and not reported yet.", func(s settler.Stats) int { return s.Backlog })
	h.Meter.Gauge("usage_overdue_seconds", "For how long the oldest report of usage that is not known to be done has been late.", func() float64 {
		_, since, _ := d.counter.Overdue(h.currentBounds().UsageDelay)
		return max(since, 0).Duration().Seconds()
	})
	h.Meter.Gauge("clock_offset_seconds", "How far the median of the fleet's clocks is ahead of this instance's.", func() float64 { return d.timekeeper.Offset().Duration().Seconds() })
}

// platformFor returns a client for one duty, whose calls keep to the duty's part of those that the
// platform accepts. Others fail with duty.KindPaced. The leaser learns whether calls are
// answered.
func (h *Host) platformFor(name duty.Name) *duty.Platform {
	p := &pacer.Pacer{Clock: h.Clock, PerSecond: callPart * h.Profile.Duties.DutyCallsPerSecond / float64(len(h.Profile.Duties.Names()))}
	paced := func(op string, call func() error) error {
		if !p.Take() {
			return fault.Newf(op, duty.KindPaced, "over %g calls in a second", p.PerSecond)
		}
		err := call()
		h.duties.leasers[name].NotePlatform(duty.KindOf(err) != duty.KindUnavailable)
		return err
	}
	to := h.duties.platform
	return &duty.Platform{
		ReportFunc: func(ctx context.Context, authority duty.Authority, usage duty.Usage) error {
			return paced("report usage", func() error { return to.Report(ctx, authority, usage) })
		},
		ScaleFunc: func(ctx context.Context, authority duty.Authority, order duty.Order) error {
			return paced("order servers", func() error { return to.Scale(ctx, authority, order) })
		},
	}
}

// problems returns what an operator should look into.
func (h *Host) problems() []problem.Document {
	problems := []problem.Document{}
	if h.duties.counter == nil {
		return problems
	}
	if period, since, late := h.duties.counter.Overdue(h.currentBounds().UsageDelay); late {
		problems = append(problems, problem.ForOperators(problem.TypeUsageLate, "Usage is not reported in time",
			"the report of period %d was due %d s ago; the holder of the duty is %q", period, since/clock.Second, h.meteringHolder()))
	}
	return problems
}

// meteringHolder returns the instance that holds the duty of metering, as far as this one knows.
func (h *Host) meteringHolder() ident.Instance {
	claim, _ := h.duties.leasers[duty.Metering].Claim()
	return claim.Holder
}

// usageFor returns the counts that a message to a peer carries. Instances tell theirs to those that
// they call in their zone, among them its watchers. A watcher tells its zone's to those of other
// zones, and all to the holder. In a small fleet all tell theirs to whom they call.
func (h *Host) usageFor(peer gossiper.Peer, asked bool) counter.Report {
	c := h.duties.counter
	report := counter.Report{Zone: h.Profile.Zone}
	report.Fixed, report.Sent = c.Progress()
	large := h.Gossiper.InLargeFleet()
	holder := peer.Instance == h.meteringHolder()
	if !asked && (!large || peer.Zone == h.Profile.Zone) || !large && holder {
		report.Own = c.Own()
	}
	if !large || !h.Gossiper.Watches(h.Gossiper.WatchedKind) {
		return report
	}
	switch {
	case holder:
		report.Sums = c.Sums(true)
	case !asked && peer.Zone != h.Profile.Zone:
		report.Sums = c.Sums(false)
	}
	return report
}

// claims returns what messages tell of duties.
func (h *Host) claims() []leaser.Claim {
	var claims []leaser.Claim
	for _, l := range h.duties.leasers {
		if claim, known := l.Claim(); known {
			claims = append(claims, claim)
		}
	}
	return claims
}

// mergeDuties takes in what a peer tells of duties and usage.
func (h *Host) mergeDuties(n gossiper.Message) {
	for _, claim := range n.Duties {
		if l := h.duties.leasers[claim.Duty]; l != nil {
			l.Merge(claim)
		}
	}
	if h.duties.demander != nil {
		h.duties.demander.Record(n.From, n.Demand)
		h.duties.demander.RecordZones(n.ZoneDemands)
	}
	if h.duties.counter != nil {
		h.duties.counter.Merge(n.Incarnation, n.Usage)
	}
}

// tellLastCounts tells all neighbours what this instance has counted, before it stops: the watcher of
// its zone may stop soon after it.
func (h *Host) tellLastCounts() {
	if h.duties.counter != nil {
		h.Gossiper.SendToNeighbours(context.Background())
	}
}

// dutyLoops returns what runs for duties.
func (h *Host) dutyLoops() []func(context.Context) error {
	var loops []func(context.Context) error
	for _, l := range h.duties.leasers {
		loops = append(loops, l.Run)
	}
	if h.duties.settler != nil {
		loops = append(loops, h.duties.settler.Run)
	}
	if h.duties.autoscaler != nil {
		loops = append(loops, h.duties.autoscaler.Run)
	}
	return loops
}

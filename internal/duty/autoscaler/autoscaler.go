// Package autoscaler orders backend servers from the platform while this instance holds the duty.
//
// The decisions are those of package scaler. A call that gets no answer may take effect seconds later,
// after newer calls. So only the newest order of a service and zone is ever sent again, and it is
// repeated until no earlier call can take effect any longer.
package autoscaler

import (
	"cmp"
	"context"
	"slices"
	"sync"

	"k8s.io/klog/v2"

	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/contract/duty"
	"example.com/dotterelwell/internal/duty/scaler"
	"example.com/dotterelwell/internal/machine/clock"
)

const (
	// TickEvery is the interval of the decisions.
	TickEvery clock.Millis = 500
	// callTimeout bounds a call of the platform.
	callTimeout = 2 * clock.Second
	// firstBackoff is the pause after a first failed call; maxBackoff bounds its doubling.
	firstBackoff clock.Millis = 500
	maxBackoff                = 8 * clock.Second
	// lateSpan is how long after a call without an answer the call may still take effect.
	lateSpan = 20 * clock.Second
	// repeatEvery is the pause between two calls with the newest order in that time.
	repeatEvery = 5 * clock.Second
	// maxGap is the longest time without decisions after which the history is still used.
	maxGap = 4 * clock.Second
	// logEvery is the interval of the log lines on a service whose number of servers does not change.
	logEvery = 10 * clock.Second
	// callPart is the part of the platform's limit of calls that orders may use. The rest is for other
	// duties and for calls that arrive unevenly.
	callPart = 0.25
)

// Subject is a service in a zone.
type Subject struct {
	Service declaration.ServiceName
	Zone    declaration.ZoneName
}

// Autoscaler decides and orders. Set the exported fields before use.
type Autoscaler struct {
	Clock *clock.Clock
	// HeldFunc returns the authority of this instance and whether it holds the duty.
	HeldFunc func() (duty.Authority, bool)
	// SupersededFunc is called when the platform has seen a higher term.
	SupersededFunc func(term duty.Term)
	// ScaleFunc gives an order to the platform.
	ScaleFunc func(ctx context.Context, authority duty.Authority, order duty.Order) error
	// StatesFunc returns the state of each service whose servers are ordered. It returns false while
	// this instance's view of the servers is out of date.
	StatesFunc func() ([]scaler.State, bool)
	// PerSecond is the number of calls that the platform accepts in a second.
	PerSecond float64
	// OnState, when set, is called with the number of servers that are present and the number ordered
	// under this term, 0 for none, at each decision. OnLost, when set, is called when the duty is lost.
	OnState func(subject Subject, present, desired int)
	OnLost  func()
	// OnCall, when set, is called with the result of each call: "done" or the kind of the error.
	OnCall func(subject Subject, result string)

	// mu guards the fields below, which calls change when they end.
	mu      sync.Mutex
	term    duty.Term
	scalers map[declaration.ServiceName]*scaler.Scaler
	orders  map[Subject]*order
	// decidedAt is the time of the last decision.
	decidedAt clock.Millis
	holds     bool
	// loggedAt is when the state of each service was last logged.
	loggedAt map[declaration.ServiceName]clock.Millis
}

// order is the newest order for a subject.
type order struct {
	duty.Order
	lowers    bool
	decidedAt clock.Millis
	// dueAt is when the order is to be sent; 0 if it needs not be.
	dueAt   clock.Millis
	backoff clock.Millis
	// unansweredAt is the time of the last call for the subject that may still take effect; 0 if there
	// is none.
	unansweredAt clock.Millis
}

// Run decides and orders until ctx ends.
func (a *Autoscaler) Run(ctx context.Context) error {
	for {
		if err := a.Clock.Sleep(ctx, TickEvery); err != nil {
			return nil
		}
		a.Tick(ctx)
	}
}

// Tick decides once and sends the orders that are due.
func (a *Autoscaler) Tick(ctx context.Context) {
	authority, held := a.HeldFunc()
	if !held {
		a.lose()
		return
	}
	a.decide(authority)
	var calls sync.WaitGroup
	for _, due := range a.due() {
		calls.Go(func() { a.send(ctx, due) })
	}
	calls.Wait()
}

// lose notes that this instance does not hold the duty.
func (a *Autoscaler) lose() {
	a.mu.Lock()
	lost := a.holds
	a.holds = false
	a.mu.Unlock()
	if lost && a.OnLost != nil {
		a.OnLost()
	}
}

// Desired returns the newest order for each subject that this instance gave under its current term.
func (a *Autoscaler) Desired() map[Subject]int {
	a.mu.Lock()
	defer a.mu.Unlock()
	desired := map[Subject]int{}
	for subject, o := range a.orders {
		desired[subject] = o.Servers
	}
	return desired
}

// decide takes the decisions of all services. A new term begins without a history: what other
// holders ordered is only known from the servers that are present.
func (a *Autoscaler) decide(authority duty.Authority) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.Clock.Now()
	if authority.Term != a.term || a.scalers == nil {
		a.term, a.scalers, a.orders = authority.Term, map[declaration.ServiceName]*scaler.Scaler{}, map[Subject]*order{}
	}
	if now-a.decidedAt > maxGap {
		clear(a.scalers)
	}
	a.holds = true
	states, current := a.StatesFunc()
	if !current {
		return
	}
	a.decidedAt = now
	for _, state := range states {
		s := a.scalers[state.Service.Name]
		if s == nil {
			s = &scaler.Scaler{}
			a.scalers[state.Service.Name] = s
		}
		a.holdBack(state)
		state.Unsettled = a.unsettled(state.Service.Name)
		for _, d := range s.Decide(state) {
			klog.InfoS("Servers are ordered", "service", d.Order.Service, "zone", d.Order.Zone, "servers", d.Order.Servers, "before", d.Before, "present", state.Zones[d.Order.Zone].Present,
				"needed", d.Needed, "expected-work", d.Expected, "busy-slots", state.Demand.Busy, "backlog-ms", state.Demand.Backlog, "reason", d.Reason, "term", authority.Term)
			a.replace(d, now)
		}
		a.report(state, s.Expected(state))
	}
}

// report logs the state of a service and tells OnState of its zones. The lock must be held.
func (a *Autoscaler) report(state scaler.State, expected float64) {
	if at, logged := a.loggedAt[state.Service.Name]; !logged || state.Now-at >= logEvery {
		if a.loggedAt == nil {
			a.loggedAt = map[declaration.ServiceName]clock.Millis{}
		}
		a.loggedAt[state.Service.Name] = state.Now
		d := state.Demand
		klog.InfoS("Demand for servers", "service", state.Service.Name, "work-ms-per-s", int(d.Work), "requests-per-s", d.Requests, "backlog-ms", int(d.Backlog), "busy-slots", d.Busy,
			"whole", d.Whole, "rollout-open", state.RolloutOpen, "mixed-releases", state.Mixed, "zones", state.Zones, "expected-work", expected, "term", a.term)
	}
	if a.OnState == nil {
		return
	}
	for zone, servers := range state.Zones {
		subject, desired := Subject{state.Service.Name, zone}, 0
		if o := a.orders[subject]; o != nil {
			desired = o.Servers
		}
		a.OnState(subject, servers.Present, desired)
	}
}

// holdBack drops the orders that are to be sent again and would take servers away in a roll-out: the
// platform counts the servers of both sides. The lock must be held.
func (a *Autoscaler) holdBack(state scaler.State) {
	for zone, servers := range state.Zones {
		o := a.orders[Subject{state.Service.Name, zone}]
		if o == nil || !state.RolloutOpen && !state.Mixed || o.Servers >= servers.Present+servers.OtherSide {
			continue
		}
		o.dueAt, o.backoff = 0, 0
		if state.Now-o.unansweredAt >= lateSpan {
			o.unansweredAt = 0
		}
	}
}

// unsettled reports whether an order for a service has not been answered, or an earlier call may
// still take effect. The lock must be held.
func (a *Autoscaler) unsettled(service declaration.ServiceName) bool {
	for subject, o := range a.orders {
		if subject.Service == service && (o.dueAt > 0 || o.unansweredAt > 0) {
			return true
		}
	}
	return false
}

// replace makes a decision the newest order of its subject. The lock must be held.
func (a *Autoscaler) replace(d scaler.Decision, now clock.Millis) {
	subject := Subject{d.Order.Service, d.Order.Zone}
	newest := &order{Order: d.Order, lowers: d.Reason == scaler.ReasonSurplus, decidedAt: now, dueAt: now}
	if before := a.orders[subject]; before != nil {
		newest.unansweredAt = before.unansweredAt
		if before.dueAt > now && before.backoff > 0 {
			newest.dueAt, newest.backoff = before.dueAt, before.backoff
		}
	}
	a.orders[subject] = newest
}

// due returns the orders to send now: those for more servers first, and as many as the platform
// accepts.
func (a *Autoscaler) due() []*order {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.Clock.Now()
	var due []*order
	for _, o := range a.orders {
		if o.dueAt > 0 && now >= o.dueAt {
			due = append(due, o)
		}
	}
	slices.SortFunc(due, func(x, y *order) int {
		if x.lowers != y.lowers {
			if y.lowers {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(x.decidedAt, y.decidedAt), cmp.Compare(x.Service, y.Service), cmp.Compare(x.Zone, y.Zone))
	})
	perTick := max(int(callPart*a.PerSecond*float64(TickEvery)/float64(clock.Second)), 1)
	return due[:min(len(due), perTick)]
}

// send gives one order to the platform and records the result.
func (a *Autoscaler) send(ctx context.Context, o *order) {
	authority, held := a.HeldFunc()
	if !held {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	began := a.Clock.Now()
	err := a.ScaleFunc(ctx, authority, o.Order)
	a.mu.Lock()
	result := a.recordResult(o, authority.Term, err)
	a.mu.Unlock()
	if err != nil {
		klog.InfoS("Order of servers failed", "service", o.Service, "zone", o.Zone, "servers", o.Servers, "term", authority.Term, "took-ms", a.Clock.Now()-began, "err", err)
	}
	if a.OnCall != nil {
		a.OnCall(Subject{o.Service, o.Zone}, result)
	}
	if result == string(duty.KindSuperseded) {
		a.SupersededFunc(authority.Term)
	}
}

// recordResult notes the result of a call. The lock must be held.
func (a *Autoscaler) recordResult(o *order, term duty.Term, err error) (result string) {
	now := a.Clock.Now()
	switch {
	case err == nil:
		result, o.dueAt, o.backoff = "done", 0, 0
		if o.unansweredAt > 0 {
			if now-o.unansweredAt >= lateSpan {
				o.unansweredAt = 0
			} else {
				o.dueAt = min(now+repeatEvery, o.unansweredAt+lateSpan)
			}
		}
		return result
	case duty.KindOf(err) == duty.KindSuperseded:
		if term == a.term {
			clear(a.orders)
			clear(a.scalers)
		}
		return string(duty.KindSuperseded)
	case duty.KindOf(err) == duty.KindRejected:
		o.dueAt = 0 // it would be rejected again
		return string(duty.KindRejected)
	case duty.KindOf(err) == duty.KindBusy, duty.KindOf(err) == duty.KindPaced:
		result = string(duty.KindBusy)
		if o.lowers && o.unansweredAt == 0 {
			// Servers are only taken away on a recent decision.
			a.withdraw(o)
			return result
		}
	default:
		result, o.unansweredAt = string(duty.KindUnavailable), now
	}
	o.backoff = min(max(2*o.backoff, firstBackoff), maxBackoff)
	o.dueAt = now + o.backoff
	return result
}

// withdraw forgets an order that was not carried out. The lock must be held.
func (a *Autoscaler) withdraw(o *order) {
	delete(a.orders, Subject{o.Service, o.Zone})
	if s := a.scalers[o.Service]; s != nil {
		s.Withdraw(o.Zone)
	}
}

package autoscaler_test

import (
	"context"
	"slices"
	"sync"
	"testing"

	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/contract/duty"
	"example.com/dotterelwell/internal/contract/routing"
	"example.com/dotterelwell/internal/duty/autoscaler"
	"example.com/dotterelwell/internal/duty/scaler"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/fault"
)

// call is an order that reached the platform.
type call struct {
	at        clock.Millis
	authority duty.Authority
	order     duty.Order
}

// world is a platform that keeps servers, and the demand that holders see.
type world struct {
	now    clock.Millis
	demand float64
	// answer returns the error of a call; nil carries all out.
	answer func(call) error

	// otherSide is the number of servers of another release in each zone, during a roll-out.
	otherSide int

	mu      sync.Mutex
	servers map[declaration.ZoneName]int
	calls   []call
	late    []call // calls to be carried out at their time
}

func newWorld(each int) *world {
	return &world{now: 1, demand: 20, servers: map[declaration.ZoneName]int{"a": each, "b": each, "c": each}}
}

func (w *world) holder(authority duty.Authority) *autoscaler.Autoscaler {
	return &autoscaler.Autoscaler{
		Clock:    &clock.Clock{NowFunc: func() clock.Millis { return w.now }},
		HeldFunc: func() (duty.Authority, bool) { return authority, true },
		ScaleFunc: func(_ context.Context, authority duty.Authority, o duty.Order) error {
			return w.scale(authority, o)
		},
		SupersededFunc: func(duty.Term) {},
		StatesFunc:     w.states, PerSecond: 50,
	}
}

func (w *world) scale(authority duty.Authority, o duty.Order) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	made := call{w.now, authority, o}
	w.calls = append(w.calls, made)
	if w.answer != nil {
		if err := w.answer(made); err != nil {
			return err
		}
	}
	w.servers[o.Zone] = o.Servers
	return nil
}

func (w *world) states() ([]scaler.State, bool) {
	state := scaler.State{
		Now: w.now, Target: 4 * clock.Second,
		Service: &routing.Service{Name: "llm", Warmup: 3 * clock.Second, Scaling: &routing.Scaling{Min: 5, Max: 60, Startup: 8 * clock.Second}},
		Demand:  scaler.Demand{Work: 1000 * w.demand, Requests: 5 * w.demand, Whole: true},
		Zones:   map[declaration.ZoneName]scaler.Servers{},
	}
	state.RolloutOpen = w.otherSide > 0
	w.mu.Lock()
	defer w.mu.Unlock()
	for name, n := range w.servers {
		state.Zones[name] = scaler.Servers{Present: n, OtherSide: w.otherSide, Ready: n}
	}
	return []scaler.State{state}, true
}

// play ticks the holders until a time, and carries late calls out.
func (w *world) play(until clock.Millis, holders ...*autoscaler.Autoscaler) {
	for ; w.now < until; w.now += autoscaler.TickEvery {
		for _, c := range w.late {
			if c.at <= w.now && c.at > w.now-autoscaler.TickEvery {
				w.mu.Lock()
				w.servers[c.order.Zone] = c.order.Servers
				w.mu.Unlock()
			}
		}
		for _, h := range holders {
			h.Tick(context.Background())
		}
	}
}

func failure(kind duty.Kind) error { return fault.Newf("scale", kind, "test") }

// TestLateOrder has a call that gets no answer and takes effect 12 s later, after a newer order with
// another number. The newer number must stand in the end.
func TestLateOrder(t *testing.T) {
	w := newWorld(12)
	h := w.holder(duty.Authority{Holder: "x", Term: 3})
	lost := map[declaration.ZoneName]bool{}
	w.answer = func(c call) error {
		if !lost[c.order.Zone] {
			lost[c.order.Zone] = true
			c.at += 12 * clock.Second
			w.late = append(w.late, c)
			return failure(duty.KindUnavailable)
		}
		return nil
	}
	w.demand = 25
	w.play(6*clock.Second, h)
	if len(w.late) != 3 {
		t.Fatalf("%d calls got no answer, want one for each zone", len(w.late))
	}
	w.demand = 40
	w.play(16*clock.Second, h)
	desired := h.Desired()
	for _, c := range w.late {
		if newest := desired[autoscaler.Subject{Service: "llm", Zone: c.order.Zone}]; newest == c.order.Servers {
			t.Fatalf("no newer order followed the lost order %+v", c.order)
		}
	}
	w.play(45*clock.Second, h)
	for subject, newest := range h.Desired() {
		if w.servers[subject.Zone] != newest || newest != desired[subject] {
			t.Errorf("zone %s keeps %d servers, the newest order is %d, and was %d before the late call", subject.Zone, w.servers[subject.Zone], newest, desired[subject])
		}
	}
}

// TestUnansweredOrderBlocksFewer takes no servers away while an earlier order may still take effect.
func TestUnansweredOrderBlocksFewer(t *testing.T) {
	w := newWorld(12)
	h := w.holder(duty.Authority{Holder: "x", Term: 3})
	w.answer = func(call) error { return failure(duty.KindUnavailable) }
	w.demand = 25
	w.play(6*clock.Second, h)
	w.demand = 2
	w.play(2*60*clock.Second, h)
	for _, c := range w.calls {
		if c.order.Servers <= 12 {
			t.Errorf("order %+v disagrees with one that is unanswered", c)
		}
	}
	if n := len(w.calls); n > 3*(2*60/8+6) {
		t.Errorf("%d calls to a platform that is silent for 2 minutes", n)
	}
}

// TestSuperseded has a platform that has seen a higher term. The old term must not be used again.
func TestSuperseded(t *testing.T) {
	w := newWorld(12)
	h := w.holder(duty.Authority{Holder: "x", Term: 3})
	var mu sync.Mutex // zones are ordered at the same time
	superseded := map[duty.Term]bool{}
	held := h.HeldFunc
	h.SupersededFunc = func(term duty.Term) {
		mu.Lock()
		defer mu.Unlock()
		superseded[term] = true
	}
	h.HeldFunc = func() (duty.Authority, bool) {
		authority, ok := held()
		mu.Lock()
		defer mu.Unlock()
		return authority, ok && !superseded[authority.Term]
	}
	w.answer = func(call) error { return failure(duty.KindSuperseded) }
	w.demand = 60
	w.play(60*clock.Second, h)
	if !superseded[3] {
		t.Fatal("the holder was not told that its term is superseded")
	}
	if first := w.calls[0].at; slices.ContainsFunc(w.calls, func(c call) bool { return c.at > first }) {
		t.Errorf("calls %+v after the first refusal", w.calls)
	}
}

// TestNewHolder has a holder that takes over after another one has raised the number. It must count
// what is present, and must not order anything before it has watched the demand: first it may see the
// reports of instances that have just been replaced beside those of their successors.
func TestNewHolder(t *testing.T) {
	w := newWorld(12)
	first := w.holder(duty.Authority{Holder: "x", Term: 3})
	w.demand = 40
	w.play(30*clock.Second, first)
	raised := w.servers["a"]
	if raised <= 12 {
		t.Fatalf("the first holder keeps %d servers", raised)
	}
	before, took := len(w.calls), w.now
	second := w.holder(duty.Authority{Holder: "y", Term: 4})
	w.demand = 70
	w.play(took+2*clock.Second, second)
	w.demand = 10
	w.play(took+20*clock.Second, second)
	if len(w.calls) > before {
		t.Errorf("the new holder orders %+v at once", w.calls[before:])
	}
	w.demand = 80
	w.play(took+23*clock.Second, second)
	if len(w.calls) == before {
		t.Fatal("the new holder orders nothing for a jump")
	}
	for _, c := range w.calls[before:] {
		if c.order.Servers <= raised || c.authority.Term != 4 {
			t.Errorf("call %+v beside %d servers that are present", c, raised)
		}
	}
}

// TestBusy has a platform that accepts no calls for some seconds. Orders for more servers follow with
// pauses until they are accepted, an order for fewer is given up.
func TestBusy(t *testing.T) {
	w := newWorld(12)
	h := w.holder(duty.Authority{Holder: "x", Term: 3})
	w.demand = 40
	w.answer = func(c call) error {
		if c.at < 15*clock.Second {
			return failure(duty.KindBusy)
		}
		return nil
	}
	w.play(15*clock.Second, h)
	if n := len(w.calls); n < 3 || n > 3*6 {
		t.Errorf("%d calls to a busy platform in 10 s", n)
	}
	w.play(30*clock.Second, h)
	if w.servers["a"] <= 12 {
		t.Errorf("%d servers after the platform was busy", w.servers["a"])
	}
	began := len(w.calls)
	w.demand = 5
	w.answer = func(call) error { return failure(duty.KindBusy) }
	w.play(60*clock.Second, h)
	w.answer, w.demand = nil, 40
	lowered, present := len(w.calls), w.servers["a"]
	w.play(75*clock.Second, h)
	if lowered == began {
		t.Fatal("no order for fewer servers was tried")
	}
	for _, c := range w.calls[lowered:] {
		if c.order.Servers < present {
			t.Errorf("call %+v repeats a refused order for fewer servers", c)
		}
	}
}

// TestCallLimit keeps the calls to a part of what the platform accepts from all duties together.
func TestCallLimit(t *testing.T) {
	w := newWorld(12)
	h := w.holder(duty.Authority{Holder: "x", Term: 3})
	h.PerSecond = 2
	w.demand = 40
	w.play(10*clock.Second, h)
	perTick := map[clock.Millis]int{}
	for _, c := range w.calls {
		perTick[c.at]++
		if perTick[c.at] > 1 {
			t.Errorf("%d calls at once where 2 a second are accepted", perTick[c.at])
		}
	}
	if len(perTick) < 3 {
		t.Errorf("calls %+v, want one for each zone", w.calls)
	}
}

// TestStaleServers orders nothing while the instance's view of the servers is out of date.
func TestStaleServers(t *testing.T) {
	w := newWorld(12)
	h := w.holder(duty.Authority{Holder: "x", Term: 3})
	h.StatesFunc = func() ([]scaler.State, bool) {
		states, _ := w.states()
		return states, false
	}
	w.demand = 80
	w.play(60*clock.Second, h)
	if len(w.calls) > 0 {
		t.Errorf("calls %+v", w.calls)
	}
}

// TestUnansweredOrderBeforeRollout has an order that gets no answer, and then a roll-out with as many
// servers of another release. To repeat the order would take servers away.
func TestUnansweredOrderBeforeRollout(t *testing.T) {
	w := newWorld(12)
	h := w.holder(duty.Authority{Holder: "x", Term: 3})
	w.answer = func(call) error { return failure(duty.KindUnavailable) }
	w.demand = 30
	w.play(6*clock.Second, h)
	before := len(w.calls)
	if before == 0 {
		t.Fatal("nothing was ordered")
	}
	w.otherSide, w.answer = 12, nil
	w.play(60*clock.Second, h)
	for _, c := range w.calls[before:] {
		if c.order.Servers < 24 {
			t.Errorf("call %+v while 24 servers of both sides are present", c)
		}
	}
}

package scaler_test

import (
	"math"
	"testing"

	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/contract/routing"
	"example.com/dotterelwell/internal/duty/scaler"
	"example.com/dotterelwell/internal/machine/clock"
)

// fleet plays demand against servers that appear a startup time after their order.
type fleet struct {
	scaler  scaler.Scaler
	now     clock.Millis
	service routing.Service
	// work is the demand in servers at a time since the start.
	work func(at clock.Millis) float64
	// zones holds the servers that the platform keeps; servers in excess of an order leave at once.
	zones map[declaration.ZoneName]*scaler.Servers
	// change, when set, edits the state before a decision.
	change func(state *scaler.State)

	arrivals []arrival
	orders   []order
}

type arrival struct {
	at      clock.Millis
	zone    declaration.ZoneName
	servers int
}

type order struct {
	at              clock.Millis
	zone            declaration.ZoneName
	before, servers int
}

func newFleet(each int, work func(at clock.Millis) float64) *fleet {
	f := &fleet{
		work:    work,
		service: routing.Service{Name: "llm", Warmup: 3 * clock.Second, Scaling: &routing.Scaling{Min: 10, Max: 60, Startup: 8 * clock.Second}, Engine: &routing.Engine{Slots: 64}},
		zones:   map[declaration.ZoneName]*scaler.Servers{},
	}
	for _, name := range []declaration.ZoneName{"a", "b", "c"} {
		f.zones[name] = &scaler.Servers{Present: each, Ready: each}
	}
	return f
}

// play runs until a time, with a decision each half second, and calls check, when set, after each.
func (f *fleet) play(until clock.Millis, check func(at clock.Millis)) {
	const step clock.Millis = 500
	for ; f.now < until; f.now += step {
		for _, a := range f.arrivals {
			if a.at == f.now {
				f.zones[a.zone].Present += a.servers
				f.zones[a.zone].Ready += a.servers
			}
		}
		demand := f.work(f.now)
		state := scaler.State{
			Now: f.now + 1, Service: &f.service, Target: 4 * clock.Second,
			Demand: scaler.Demand{Work: 1000 * demand, Requests: 5 * demand, Whole: true},
			Zones:  map[declaration.ZoneName]scaler.Servers{},
		}
		for name, z := range f.zones {
			if z.Present > 0 {
				state.Zones[name] = *z
			}
		}
		if f.change != nil {
			f.change(&state)
		}
		for _, d := range f.scaler.Decide(state) {
			z := f.zones[d.Order.Zone]
			f.orders = append(f.orders, order{f.now, d.Order.Zone, z.Present, d.Order.Servers})
			if more := d.Order.Servers - z.Present; more > 0 {
				f.arrivals = append(f.arrivals, arrival{f.now + f.service.Scaling.Startup + f.service.Warmup, d.Order.Zone, more})
			} else {
				z.Present += more
				z.Ready = min(z.Ready, z.Present)
			}
		}
		if check != nil {
			check(f.now)
		}
	}
}

// ready returns the servers that take work, and those that remain without the zone that has most.
func (f *fleet) ready() (all, withoutLargest int) {
	largest := 0
	for _, z := range f.zones {
		all += z.Ready
		largest = max(largest, z.Ready)
	}
	return all, all - largest
}

func (f *fleet) count(lower bool) int {
	n := 0
	for _, o := range f.orders {
		if (o.servers < o.before) == lower {
			n++
		}
	}
	return n
}

// TestWave has demand that rises and falls by a quarter within seconds. Servers taken away in a
// trough are missing at the next crest, before they can be had again.
func TestWave(t *testing.T) {
	f := newFleet(30, func(at clock.Millis) float64 {
		return 36 * (1 + 0.27*math.Sin(2*math.Pi*float64(at)/11000))
	})
	f.play(3*60*clock.Second, func(at clock.Millis) {
		if _, rest := f.ready(); float64(rest)*0.9 < f.work(at) {
			t.Fatalf("%d ms: %d servers outside the largest zone for the work of %.1f", at, rest, f.work(at))
		}
	})
	if len(f.orders) > 6 {
		t.Errorf("%d orders under a steady wave: %v", len(f.orders), f.orders)
	}
}

// TestJump has demand that doubles at once. Servers must be ordered within two seconds, enough for
// all of it, and no more orders follow.
func TestJump(t *testing.T) {
	const at = 30 * clock.Second
	f := newFleet(30, func(now clock.Millis) float64 {
		if now >= at {
			return 90
		}
		return 45
	})
	f.play(at+4*clock.Second, nil)
	if f.count(false) == 0 || f.orders[0].at > at+2*clock.Second {
		t.Fatalf("orders %v, want more servers within 2 s of the jump", f.orders)
	}
	f.play(at+25*clock.Second, nil)
	all, rest := f.ready()
	if float64(all)*0.7 < 90 || float64(rest)*0.9 < 90 {
		t.Errorf("%d servers, %d without the largest zone, for the work of 90", all, rest)
	}
	for _, o := range f.orders {
		if o.at >= at && o.servers < o.before {
			t.Errorf("order %+v takes servers away soon after the jump", o)
		}
	}
}

// TestZoneOutAndBack loses the servers of one zone. The others must get room for the whole demand, no
// order may go to the lost zone, and its return must not take servers away at once.
func TestZoneOutAndBack(t *testing.T) {
	const out, back = 30 * clock.Second, 60 * clock.Second
	f := newFleet(30, func(clock.Millis) float64 { return 50 })
	f.play(out, nil)
	f.zones["a"] = &scaler.Servers{}
	f.play(back, nil)
	for _, o := range f.orders {
		if o.zone == "a" || o.servers <= o.before {
			t.Errorf("order %+v while zone a is out", o)
		}
	}
	if all, _ := f.ready(); float64(all)*0.7 < 50 {
		t.Errorf("%d servers for the work of 50 after a zone was lost", all)
	}
	f.zones["a"] = &scaler.Servers{Present: 30, Cold: 30}
	f.play(back+3*clock.Second, nil)
	f.zones["a"].Cold, f.zones["a"].Ready = 0, 30
	lowered := f.count(true)
	f.play(back+20*clock.Second, nil)
	if f.count(true) != lowered {
		t.Errorf("orders %v take servers away within 20 s of the zone's return", f.orders)
	}
}

// TestEvacuation empties a zone by order of the operators. Its servers are no room, and are not
// reduced meanwhile, because they are wanted again.
func TestEvacuation(t *testing.T) {
	f := newFleet(30, func(clock.Millis) float64 { return 50 })
	f.change = func(state *scaler.State) {
		if state.Now > 20*clock.Second {
			servers := state.Zones["b"]
			servers.Evacuated, servers.Ready = true, 0
			state.Zones["b"] = servers
		}
	}
	f.play(2*60*clock.Second, nil)
	asked := map[declaration.ZoneName]bool{}
	for _, o := range f.orders {
		asked[o.zone] = true
	}
	if f.count(true) > 0 || asked["b"] || !asked["a"] || !asked["c"] {
		t.Errorf("orders %v, want more for each of the other zones, none for zone b and no fewer anywhere", f.orders)
	}
}

// rollOut adds as many servers of another release until a time.
func (f *fleet) rollOut(until clock.Millis) {
	f.change = func(state *scaler.State) {
		if state.Now < until {
			state.RolloutOpen = true
			for name, servers := range state.Zones {
				servers.OtherSide = servers.Present
				state.Zones[name] = servers
			}
		}
	}
}

// TestRollout has a roll-out with little demand. Which servers remain is not certain, and nothing may be
// taken away until it is over.
func TestRollout(t *testing.T) {
	f := newFleet(30, func(clock.Millis) float64 { return 20 })
	f.rollOut(60 * clock.Second)
	f.play(75*clock.Second, nil)
	if len(f.orders) > 0 {
		t.Errorf("orders %v during a roll-out or within 15 s of its end", f.orders)
	}
	f.play(3*60*clock.Second, nil)
	if f.count(true) == 0 {
		t.Error("no servers are taken away long after the roll-out")
	}
}

// TestRolloutUnderLoad has a roll-out with more demand than one side can carry. The platform counts
// the servers of both sides: an order for more than one side, and less than both, takes servers away. At
// the maximum nothing can be ordered; after the roll-out the demand must be met.
func TestRolloutUnderLoad(t *testing.T) {
	f := newFleet(30, func(clock.Millis) float64 { return 80 })
	f.rollOut(30 * clock.Second)
	f.play(30*clock.Second, nil)
	if len(f.orders) > 0 {
		t.Fatalf("orders %v at the maximum of 60 servers of both sides", f.orders)
	}
	f.play(50*clock.Second, nil)
	if all, _ := f.ready(); float64(all)*0.7 < 80 {
		t.Errorf("%d servers for the work of 80, orders %v", all, f.orders)
	}

	f = newFleet(20, func(clock.Millis) float64 { return 60 })
	f.rollOut(30 * clock.Second)
	f.play(30*clock.Second, nil)
	if f.count(false) == 0 {
		t.Error("no orders below the maximum")
	}
	for _, o := range f.orders {
		if o.servers <= 40 {
			t.Errorf("order %+v takes servers of the 40 of both sides away", o)
		}
	}
}

// TestNight has demand that falls to a tenth. Servers go in steps of an eighth, a lead time apart, and
// never below the minimum or the room for the loss of a zone.
func TestNight(t *testing.T) {
	f := newFleet(40, func(at clock.Millis) float64 { return max(60-float64(at)/2000, 6) })
	f.play(6*60*clock.Second, func(at clock.Millis) {
		if _, rest := f.ready(); float64(rest)*0.9 < f.work(at) {
			t.Fatalf("%d ms: %d servers outside the largest zone for the work of %.1f", at, rest, f.work(at))
		}
	})
	last := map[declaration.ZoneName]order{}
	for _, o := range f.orders {
		if o.servers >= o.before || o.before-o.servers > max(o.before/8, 1) {
			t.Errorf("order %+v is no step down of an eighth", o)
		}
		if before := last[o.zone]; before.servers > 0 && o.at-before.at < 11*clock.Second {
			t.Errorf("order %+v follows %+v within the lead time", o, before)
		}
		last[o.zone] = o
	}
	for name, z := range f.zones {
		if z.Present != 10 {
			t.Errorf("zone %s has %d servers in the night, want the minimum of 10", name, z.Present)
		}
	}
}

// TestThirdLostBesideJump loses a third of the servers, which the platform starts again, while demand
// jumps. The platform still counts the lost ones: an order of less than it keeps takes servers away.
func TestThirdLostBesideJump(t *testing.T) {
	const at = 30 * clock.Second
	f := newFleet(30, func(now clock.Millis) float64 {
		if now >= at {
			return 60
		}
		return 49
	})
	f.play(at, nil)
	for _, z := range f.zones {
		z.Present, z.Ready = 20, 20
	}
	f.play(at+3*clock.Second, nil)
	if len(f.orders) < 3 {
		t.Fatalf("orders %v, want one for each zone within 3 s", f.orders)
	}
	for _, o := range f.orders {
		if o.servers <= 30 {
			t.Errorf("order %+v is not above the 30 servers that the platform keeps", o)
		}
	}
}

// TestUnsureDemand takes nothing away while the reports of many instances are missing, and orders
// more for the demand that is seen.
func TestUnsureDemand(t *testing.T) {
	f := newFleet(30, func(now clock.Millis) float64 {
		if now < 60*clock.Second {
			return 10
		}
		return 80
	})
	f.change = func(state *scaler.State) { state.Demand.Whole = false }
	f.play(60*clock.Second, nil)
	if len(f.orders) > 0 {
		t.Errorf("orders %v on half of the reports", f.orders)
	}
	f.play(64*clock.Second, nil)
	if f.count(false) == 0 {
		t.Error("no order for the demand that is seen")
	}
}

// TestNoDemandYet gives no orders before the first request, after which servers would be missing.
func TestNoDemandYet(t *testing.T) {
	f := newFleet(30, func(clock.Millis) float64 { return 0 })
	f.play(5*60*clock.Second, nil)
	if len(f.orders) > 0 {
		t.Errorf("orders %v without any request", f.orders)
	}
}

// TestLongQueue orders more servers for work that waits although few requests arrive.
func TestLongQueue(t *testing.T) {
	f := newFleet(10, func(clock.Millis) float64 { return 10 })
	f.change = func(state *scaler.State) { state.Demand.Backlog = 20 * 11 * 1000 }
	f.play(10*clock.Second, nil)
	if f.count(false) < 3 {
		t.Errorf("orders %v, want more servers for a queue of 22 s at each of ten", f.orders)
	}
}

// TestRamp has demand that grows for minutes, in a deployment of one zone, which has no room for the
// loss of another. Servers must be ordered for the demand at the time they serve.
func TestRamp(t *testing.T) {
	f := newFleet(60, func(at clock.Millis) float64 { return 20 + float64(at)/2000 })
	delete(f.zones, "b")
	delete(f.zones, "c")
	f.service.Scaling.Max = 200
	f.play(3*60*clock.Second, func(at clock.Millis) {
		if all, _ := f.ready(); float64(all)*0.7 < f.work(at) {
			t.Fatalf("%d ms: %d servers for the work of %.1f", at, all, f.work(at))
		}
	})
}

// TestRestartUnderOtherNames has servers that crash and start again under other names, beside entries
// that have not lapsed yet, while demand jumps. What is ordered is based on the servers that there are.
func TestRestartUnderOtherNames(t *testing.T) {
	const at = 40 * clock.Second
	f := newFleet(30, func(now clock.Millis) float64 {
		if now >= at {
			return 70
		}
		return 49
	})
	f.change = func(state *scaler.State) {
		if state.Now >= at-4*clock.Second && state.Now < at-clock.Second {
			for name, servers := range state.Zones {
				servers.Present += 10
				state.Zones[name] = servers
			}
		}
	}
	f.play(at+4*clock.Second, nil)
	if len(f.orders) < 3 {
		t.Fatalf("orders %v, want one for each zone", f.orders)
	}
	for _, o := range f.orders {
		if o.servers > 39 {
			t.Errorf("order %+v counts servers twice", o)
		}
	}
}

// TestLateEntryOfOldRelease has the entry of a server of the release before appear once more after a
// roll-out. What was ordered meanwhile still comes, and is not ordered again.
func TestLateEntryOfOldRelease(t *testing.T) {
	f := newFleet(30, func(clock.Millis) float64 { return 80 })
	f.rollOut(20 * clock.Second)
	rollOut := f.change
	f.change = func(state *scaler.State) {
		rollOut(state)
		state.Mixed = state.Now > 26*clock.Second && state.Now < 27*clock.Second
	}
	f.play(40*clock.Second, nil)
	if len(f.orders) != 3 {
		t.Errorf("orders %v, want one for each zone", f.orders)
	}
}

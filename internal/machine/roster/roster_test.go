package roster_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/contract/backend"
	"example.com/dotterelwell/internal/contract/storer"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/fault"
	"example.com/dotterelwell/internal/machine/ident"
	"example.com/dotterelwell/internal/machine/roster"
	"example.com/dotterelwell/internal/standin/property"
	"example.com/dotterelwell/internal/zone/curator"
)

// table is a roster whose clock, view and servers are set by a test.
type table struct {
	*roster.Roster
	now     clock.Millis
	view    *curator.View
	servers map[string]backend.Server
}

func newTable(instance ident.Instance, instances []string, coldRate float64) *table {
	t := &table{now: 100_000, view: &curator.View{}, servers: map[string]backend.Server{}}
	t.Roster = &roster.Roster{
		Clock: &clock.Clock{NowFunc: func() clock.Millis { return t.now }}, Instance: instance, Zone: "a",
		ViewFunc: func() *curator.View { return t.view },
		DecodeFunc: func(o storer.Object) (backend.Server, error) {
			server, found := t.servers[o.Name]
			if !found {
				return server, fault.Newf("decode", backend.KindInvalid, "spoiled")
			}
			return server, nil
		},
		InstancesFunc: func() []string { return instances },
		ColdRateFunc:  func(declaration.ServiceName) float64 { return coldRate },
	}
	return t
}

func (t *table) put(servers ...backend.Server) {
	var objects []storer.Object
	for _, s := range servers {
		s.Service = "engines"
		if s.Zone == "" {
			s.Zone = "a"
		}
		if s.Release == "" {
			s.Release = "v1"
		}
		t.servers[string(s.ID)] = s
		objects = append(objects, storer.Object{Name: string(s.ID)})
	}
	t.Apply(objects)
}

// take acquires slots until Acquire fails, but no more than most.
func (t *table) take(want roster.Want, most int) []*roster.Slot {
	want.Service = "engines"
	var slots []*roster.Slot
	for range most {
		slot, err := t.Acquire(want)
		if err != nil {
			break
		}
		slots = append(slots, slot)
	}
	return slots
}

func count(slots []*roster.Slot) map[ident.Server]int {
	counts := map[ident.Server]int{}
	for _, s := range slots {
		counts[s.Server.ID]++
	}
	return counts
}

// TestColdShares checks that all instances together never send more requests per second to a
// cold server than its limit, for any number of instances.
func TestColdShares(t *testing.T) {
	// Guards against dropping start times that still count, which happened with a single
	// instance and a rate above 32.
	t.Run("one instance, 40 a second", func(t *testing.T) {
		one := newTable("x", []string{"x"}, 40)
		one.put(backend.Server{ID: "s", ColdFor: 60 * clock.Second})
		if got := len(one.take(roster.Want{}, 300)); got != 40 {
			t.Errorf("%d requests at once, the server bears 40", got)
		}
	})
	property.Check(t, 100, func(t *rapid.T) {
		rate := rapid.Float64Range(1, 80).Draw(t, "rate")
		var names []string
		for i := range rapid.IntRange(1, 60).Draw(t, "instances") {
			names = append(names, fmt.Sprintf("instance-%d", i))
		}
		var tables []*table
		for _, name := range names {
			one := newTable(ident.Instance(name), names, rate)
			one.put(backend.Server{ID: "s", ColdFor: 60 * clock.Second})
			tables = append(tables, one)
		}
		var starts []clock.Millis
		for range 60 {
			step := clock.Millis(rapid.IntRange(1, 200).Draw(t, "step"))
			for _, one := range tables {
				one.now += step
				for range one.take(roster.Want{}, 100) {
					starts = append(starts, one.now)
				}
			}
		}
		for i := range starts {
			in := 0
			for _, at := range starts[i:] {
				if at-starts[i] < clock.Second {
					in++
				}
			}
			if float64(in) > rate {
				t.Fatalf("%d requests in a second, the server bears %.1f", in, rate)
			}
		}
	})
}

// TestLongPrompts checks that long prompts that arrive together go to different servers, and
// that a short prompt goes to a server that has no prompt left to process, even if its count of
// requests is equal or higher.
func TestLongPrompts(t *testing.T) {
	tab := newTable("x", []string{"x"}, 0)
	tab.put(backend.Server{ID: "s1"}, backend.Server{ID: "s2"}, backend.Server{ID: "s3"})
	long := tab.take(roster.Want{OwnWork: 3000}, 3)
	if got := count(long); len(got) != 3 {
		t.Errorf("long prompts went to %v", got)
	}
	long[0].RecordHead(roster.ServerStatus{Accepted: true}) // its prompt is read
	for _, s := range tab.take(roster.Want{OwnWork: 50}, 5) {
		if s.Server.ID != long[0].Server.ID {
			t.Errorf("a short prompt waits at %s behind a long one", s.Server.ID)
		}
	}
}

// TestPeersPrompts checks that load reported by other instances counts, and counts less as the
// report ages.
func TestPeersPrompts(t *testing.T) {
	tab := newTable("x", []string{"x", "y"}, 0)
	tab.put(backend.Server{ID: "s1"}, backend.Server{ID: "s2"})
	tab.SetPeerLoads(map[ident.Server]roster.Load{"s1": {Requests: 1, Pending: 2000}}, 0)
	if got := count(tab.take(roster.Want{OwnWork: 100}, 4)); got["s1"] > 0 {
		t.Errorf("went to %v", got)
	}
	tab.now += 2 * clock.Second
	if wait, _, _ := tab.Estimate(roster.Want{Service: "engines", OwnWork: 100}); wait > 200 {
		t.Errorf("waits %v ms for what has been worked on", wait)
	}
}

// TestSharedParts checks that all instances send requests with the same shared part to one
// server while it is not busy, and elsewhere when it is.
func TestSharedParts(t *testing.T) {
	owners := map[ident.Server]int{}
	for _, name := range []ident.Instance{"x", "y", "z"} {
		tab := newTable(name, []string{"x", "y", "z"}, 0)
		tab.put(backend.Server{ID: "s1"}, backend.Server{ID: "s2"}, backend.Server{ID: "s3"})
		want := roster.Want{SharedPart: "p/large", SharedWork: 400, OwnWork: 100}
		for _, s := range tab.take(want, 1) {
			owners[s.Server.ID]++
		}
		if got := count(tab.take(want, 8)); len(got) < 2 {
			t.Errorf("a busy server got all of %v", got)
		}
	}
	if len(owners) != 1 {
		t.Errorf("the shared part went to %v, want one server", owners)
	}
}

// TestFailures checks that a server that could not be reached is avoided, and after its backoff
// gets requests at the rate of a cold server.
func TestFailures(t *testing.T) {
	tab := newTable("x", []string{"x"}, 1)
	tab.put(backend.Server{ID: "s1"}, backend.Server{ID: "s2"})
	for _, s := range tab.take(roster.Want{Exclude: []ident.Server{"s2"}}, 1) {
		s.Release(roster.ResultUnreachable)
	}
	if got := count(tab.take(roster.Want{}, 6)); got["s1"] > 0 {
		t.Errorf("an unreachable server got requests: %v", got)
	}
	tab.now += 10 * clock.Second
	slots := tab.take(roster.Want{Exclude: []ident.Server{"s2"}}, 6)
	if len(slots) != 1 {
		t.Errorf("a server that could not be reached got %d requests at once, want 1", len(slots))
	}
}

// TestLastCheck checks that Acquire takes no slot and returns KindDenied when MayRunFunc fails.
func TestLastCheck(t *testing.T) {
	tab := newTable("x", []string{"x"}, 0)
	tab.put(backend.Server{ID: "s1"})
	_, err := tab.Acquire(roster.Want{Service: "engines", MayRunFunc: func(*curator.View) error {
		return fault.Newf("check", backend.KindInvalid, "no")
	}})
	if roster.KindOf(err) != roster.KindDenied || len(tab.Loads()) > 0 {
		t.Errorf("error %v, loads %v", err, tab.Loads())
	}
}

// TestStrangeRelease checks that servers of an unknown release get no requests until the
// roll-out order for the release has had time to arrive.
func TestStrangeRelease(t *testing.T) {
	tab := newTable("x", []string{"x"}, 0)
	tab.put(backend.Server{ID: "s1"})
	tab.put(backend.Server{ID: "n1", Release: "v2"})
	if got := count(tab.take(roster.Want{}, 6)); got["n1"] > 0 {
		t.Errorf("a server of an unknown release got requests: %v", got)
	}
	tab.now += 2 * clock.Second
	if got := count(tab.take(roster.Want{}, 20)); got["n1"] == 0 {
		t.Error("a release without an order is never used")
	}
}

// TestSides checks that requests stay on the side of the roll-out that SideFunc chose, that they
// fall back to the old side when the new one has no capacity, and that they do not when the
// choice is strict.
func TestSides(t *testing.T) {
	tab := newTable("x", []string{"x"}, 1)
	tab.put(backend.Server{ID: "o1"}, backend.Server{ID: "n1", Release: "v2", ColdFor: 9 * clock.Second})
	order := backend.Rollout{Service: "engines", Target: "v2"}
	tab.view = &curator.View{Rollouts: map[declaration.ServiceName]backend.Rollout{"engines": order}}
	side := func(s roster.Side, strict bool) roster.Want {
		return roster.Want{SideFunc: func(backend.Rollout) (roster.Side, bool) { return s, strict }}
	}
	if got := count(tab.take(side(roster.SideOld, true), 5)); got["o1"] != 5 {
		t.Errorf("old side: %v", got)
	}
	if got := count(tab.take(side(roster.SideNew, false), 5)); got["n1"] != 1 || got["o1"] != 4 {
		t.Errorf("new side while it is cold: %v", got)
	}
	if got := count(tab.take(side(roster.SideNew, true), 5)); got["o1"] > 0 {
		t.Errorf("new side alone: %v", got)
	}
}

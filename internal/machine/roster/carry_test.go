package roster_test

import (
	"testing"

	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/contract/backend"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/ident"
	"example.com/dotterelwell/internal/machine/roster"
	"example.com/dotterelwell/internal/zone/curator"
)

// TestMayCarry guards against connections that are carried for a peer to servers that this instance may send nothing to itself.
func TestMayCarry(t *testing.T) {
	one := newTable("x", []string{"x"}, 0)
	out := map[declaration.ZoneName]bool{}
	one.ViewFunc = func() *curator.View { return &curator.View{EvacuatedZones: out} }
	one.put(backend.Server{ID: "sound", Address: "a-sound", Zone: "here"})
	one.put(backend.Server{ID: "leaving", Address: "a-leaving", Leaving: true})
	one.put(backend.Server{ID: "paused", Address: "a-paused", Born: 7})
	one.put(backend.Server{ID: "departing", Address: "a-departing"})
	one.MergePauses([]roster.PauseReport{
		{Server: backend.Incarnation{ID: "paused", Address: "a-paused", Born: 7}, Left: 500},
		{Server: backend.Incarnation{ID: "sound", Address: "a-sound", Born: 6}, Left: 500}, // an earlier incarnation
		{Server: backend.Incarnation{ID: "unknown"}, Left: 500},
	})
	one.MergeDeparting([]backend.Incarnation{{ID: "departing", Address: "a-departing"}})
	for address, want := range map[ident.Address]roster.Kind{
		"a-sound": "", "a-leaving": roster.KindNoServer, "a-paused": roster.KindPaused, "a-departing": roster.KindNoServer, "a-unknown": roster.KindNoServer,
	} {
		if got := roster.KindOf(one.MayCarry(address)); got != want {
			t.Errorf("%s: kind %q, want %q", address, got, want)
		}
	}
	one.now += 600
	if err := one.MayCarry("a-paused"); err != nil {
		t.Errorf("after the pause: %v", err)
	}
	out["here"] = true
	if err := one.MayCarry("a-sound"); err == nil {
		t.Error("a connection into a zone out of service is carried")
	}
}

// TestPausesThroughPeers guards against peers not being told that a server wants no requests, or being told of pauses that servers asked of this
// instance alone.
func TestPausesThroughPeers(t *testing.T) {
	one := newTable("x", []string{"x"}, 0)
	one.RandIntNFunc = func(int) int { return 0 }
	for _, id := range []ident.Server{"direct", "through"} {
		one.put(backend.Server{ID: id, Address: ident.Address("a-" + id)})
		slot, err := one.Acquire(roster.Want{Service: "engines"})
		if err != nil || slot.Server.ID != id {
			t.Fatalf("slot %+v, error %v", slot, err)
		}
		slot.RecordHead(roster.ServerStatus{RetryAfter: 2 * clock.Second, ThroughPeer: id == "through"})
		slot.Release(roster.ResultNotRun)
	}
	one.now += 500
	reports := one.PauseReports()
	if len(reports) != 1 || reports[0].Server.ID != "through" || reports[0].Left != 1500 {
		t.Errorf("reports %+v", reports)
	}
	one.now += 1500
	if reports := one.PauseReports(); len(reports) != 0 {
		t.Errorf("reports %+v after the pause", reports)
	}
}

// TestDirectLinksFirst guards against requests going to servers that are only reached through peers while others are reached directly, and against
// no server being used when none is.
func TestDirectLinksFirst(t *testing.T) {
	one := newTable("x", []string{"x"}, 0)
	lost := map[ident.Address]bool{"a-1": true, "a-2": true}
	one.LostFunc = func(address ident.Address) bool { return lost[address] }
	for _, id := range []ident.Server{"1", "2", "3"} {
		one.put(backend.Server{ID: id, Address: ident.Address("a-" + id)})
	}
	if got := count(one.take(roster.Want{}, 20)); got["3"] != 20 {
		t.Errorf("requests by server: %v", got)
	}
	lost["a-3"] = true
	if got := count(one.take(roster.Want{}, 30)); len(got) < 2 {
		t.Errorf("requests by server: %v, when all links are lost", got)
	}
}

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

// TestCensus guards against servers being taken away because of others that don't work: leaving, cold,
// unreachable, or on the side of a roll-out that will be stopped.
func TestCensus(t *testing.T) {
	table := newTable("x", []string{"x"}, 0)
	table.put(
		backend.Server{ID: "a1"}, backend.Server{ID: "a2"}, backend.Server{ID: "a3", Leaving: true},
		backend.Server{ID: "a4", ColdFor: 2 * clock.Second}, backend.Server{ID: "a5", Release: "v2"},
		backend.Server{ID: "b1", Zone: "b", Release: "v2"}, backend.Server{ID: "b2", Zone: "b", Release: "v2"}, backend.Server{ID: "b3", Zone: "b"},
	)
	table.view = &curator.View{Rollouts: map[declaration.ServiceName]backend.Rollout{"engines": {Service: "engines", Target: "v2"}}}
	got := table.Census("engines")
	if want := (roster.Census{Present: 4, OtherSide: 1, Mixed: true, Ready: 2, Cold: 1}); got["a"] != want {
		t.Errorf("zone a: %+v, want %+v", got["a"], want)
	}
	if want := (roster.Census{Present: 2, OtherSide: 1, Mixed: true, Ready: 2}); got["b"] != want {
		t.Errorf("zone b: %+v, want %+v", got["b"], want)
	}

	table.view = &curator.View{}
	table.now += 3 * clock.Second
	slot := table.take(roster.Want{Exclude: []ident.Server{"a2", "a4", "a5", "b1", "b2", "b3"}}, 1)[0]
	slot.Release(roster.ResultUnreachable)
	if got := table.Census("engines")["a"]; got.Present != 5 || got.Ready != 3 || got.Cold != 0 {
		t.Errorf("zone a after the cold start of one server and a failed connection to another: %+v, want 3 of 5 ready", got)
	}
}

// TestCensusLoad counts the requests of all instances, and the work that this one sent. Attempts that
// no server ran are no demand: many follow each other while servers are down.
func TestCensusLoad(t *testing.T) {
	table := newTable("x", []string{"x"}, 0)
	table.put(backend.Server{ID: "a1"})
	table.SetPeerLoads(map[ident.Server]roster.Load{"a1": {Requests: 3, Pending: 500}}, 100)
	slots := table.take(roster.Want{OwnWork: 200, SharedWork: 50}, 2)
	if got := table.Census("engines")["a"]; got.Busy != 5 || got.Backlog != 900 {
		t.Errorf("census %+v, want 5 requests and 900 ms", got)
	}
	if got := table.Sent()["engines"]; got != (roster.Sent{Requests: 2, Work: 500}) {
		t.Errorf("sent %+v", got)
	}
	slots[0].Release(roster.ResultUnreachable)
	slots[1].Release(roster.ResultLost)
	if got := table.Sent()["engines"]; got != (roster.Sent{Requests: 1, Work: 250}) {
		t.Errorf("sent %+v after one of the two did not reach the server", got)
	}
}

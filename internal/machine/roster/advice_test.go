package roster_test

import (
	"testing"

	"pgregory.net/rapid"

	"example.com/dotterelwell/internal/contract/backend"
	"example.com/dotterelwell/internal/contract/storer"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/ident"
	"example.com/dotterelwell/internal/machine/roster"
	"example.com/dotterelwell/internal/standin/property"
)

// TestPausesAndDepartures plays random answers and checks for every slot that its server is
// not in a pause that it asked for, has not said that it is leaving, and has no other request
// in flight when it gets its first request after a pause.
func TestPausesAndDepartures(t *testing.T) {
	property.Check(t, 200, func(t *rapid.T) {
		one := newTable("x", []string{"x"}, 0)
		one.RandIntNFunc = func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "draw") }
		ids := []ident.Server{"s-0", "s-1", "s-2"}
		born := map[ident.Server]clock.Millis{}
		put := func(id ident.Server) {
			one.put(backend.Server{ID: id, Address: ident.Address("a-" + id), Born: born[id]})
		}
		for _, id := range ids {
			put(id)
		}
		pausedUntil := map[ident.Server]clock.Millis{}
		onTrial := map[ident.Server]*roster.Slot{}
		leaving := map[backend.Incarnation]bool{}
		paused := map[ident.Server]bool{} // it has accepted no request since its last pause
		var slots []*roster.Slot
		for range 60 {
			one.now += clock.Millis(rapid.IntRange(0, 400).Draw(t, "step"))
			id := rapid.SampledFrom(ids).Draw(t, "server")
			switch rapid.SampledFrom([]string{"take", "take", "take", "answer", "answer", "forget", "restart", "hear"}).Draw(t, "what") {
			case "take":
				slot, err := one.Acquire(roster.Want{Service: "engines"})
				if err != nil {
					continue
				}
				id = slot.Server.ID
				if one.now < pausedUntil[id] {
					t.Fatalf("%s got a request %d ms before the end of its pause", id, pausedUntil[id]-one.now)
				}
				if leaving[slot.Server.Incarnation()] {
					t.Fatalf("%s got a request though it is leaving", id)
				}
				if paused[id] {
					if onTrial[id] != nil {
						t.Fatalf("%s got a second request after its pause before it answered the first", id)
					}
					onTrial[id] = slot
				}
				slots = append(slots, slot)
			case "answer":
				if len(slots) == 0 {
					continue
				}
				n := rapid.IntRange(0, len(slots)-1).Draw(t, "slot")
				slot := slots[n]
				slots = append(slots[:n], slots[n+1:]...)
				id = slot.Server.ID
				status := roster.ServerStatus{
					Accepted:   rapid.Bool().Draw(t, "taken"),
					Leaving:    rapid.IntRange(0, 9).Draw(t, "leaving") == 0,
					RetryAfter: rapid.SampledFrom([]clock.Millis{0, 0, 300, 2000}).Draw(t, "retry after"),
				}
				slot.RecordHead(status)
				slot.Release(roster.ResultOK)
				if slot.Server.Born != born[id] {
					continue // an answer of an earlier incarnation
				}
				if status.RetryAfter > 0 {
					pausedUntil[id] = max(pausedUntil[id], one.now+status.RetryAfter)
					paused[id] = true
				}
				if onTrial[id] == slot {
					delete(onTrial, id)
					paused[id] = !status.Accepted || one.now < pausedUntil[id]
				}
				if status.Leaving {
					leaving[slot.Server.Incarnation()] = true
				}
			case "hear":
				run := backend.Incarnation{ID: id, Address: ident.Address("a-" + id), Born: born[id]}
				one.MergeDeparting([]backend.Incarnation{run})
				leaving[run] = true
			case "forget": // the entry is deleted and comes back
				one.Apply([]storer.Object{{Name: string(id), Deleted: true}})
				put(id)
			case "restart":
				born[id]++
				put(id)
				delete(onTrial, id)
				delete(pausedUntil, id)
				delete(paused, id)
			}
		}
	})
}

// TestReturnsAreSpread checks that instances to which one server sent the same Retry-After
// return at different moments.
func TestReturnsAreSpread(t *testing.T) {
	const instances, pause = 60, 4 * clock.Second
	back := map[clock.Millis]int{}
	for range instances {
		one := newTable("x", []string{"x"}, 0)
		one.put(backend.Server{ID: "s"})
		slot := one.take(roster.Want{}, 1)[0]
		slot.RecordHead(roster.ServerStatus{RetryAfter: pause})
		slot.Release(roster.ResultNotRun)
		from := one.now
		for len(one.take(roster.Want{}, 1)) == 0 {
			one.now += 100
		}
		if one.now < from+pause {
			t.Fatalf("back after %d ms", one.now-from)
		}
		back[one.now-from]++
	}
	for at, n := range back {
		if n > instances/2 {
			t.Errorf("%d of %d instances are back after %d ms", n, instances, at)
		}
	}
}

// TestFailedServerReturns checks that a server that failed most of its requests gets requests
// again 90 s later, though the other servers never failed. It guards against a failure share
// that does not decay: a server that had failed for a while stayed unused for good.
func TestFailedServerReturns(t *testing.T) {
	one := newTable("x", []string{"x"}, 0)
	draw := 0
	one.RandIntNFunc = func(n int) int { draw++; return draw % n }
	one.put(backend.Server{ID: "s-0"}, backend.Server{ID: "s-1"}, backend.Server{ID: "s-2"})
	spread := func(requests int) map[ident.Server]int {
		slots := one.take(roster.Want{}, requests)
		counts := count(slots)
		for _, slot := range slots {
			slot.RecordHead(roster.ServerStatus{Accepted: true})
			result := roster.ResultOK
			if slot.Server.ID == "s-0" && one.now < 110_000 {
				result = roster.ResultError
			}
			slot.Release(result)
		}
		return counts
	}
	for one.now < 110_000 {
		spread(30)
		one.now += 100
	}
	if got := spread(30)["s-0"]; got > 3 {
		t.Errorf("%d of 30 requests to a server that failed all of its own until now", got)
	}
	one.now += 90 * clock.Second
	if got := spread(30)["s-0"]; got < 5 {
		t.Errorf("%d of 30 requests to the server 90 s later, want its part", got)
	}
}

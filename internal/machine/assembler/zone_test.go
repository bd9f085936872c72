package assembler_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/contract/chat"
	"example.com/dotterelwell/internal/contract/lister"
	"example.com/dotterelwell/internal/contract/order"
	"example.com/dotterelwell/internal/contract/problem"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/loader"
	"example.com/dotterelwell/internal/standin/fleet"
)

// steadyLoad sends requests at a rate until ctx ends and returns what came of them.
type steadyLoad struct {
	mu      sync.Mutex
	sent    int
	failed  map[string]int
	reasons map[string]int
	times   []time.Duration
	done    sync.WaitGroup
}

func (l *steadyLoad) run(ctx context.Context, f *fleet.Fleet, route string, perSecond int) {
	l.failed, l.reasons = map[string]int{}, map[string]int{}
	rng := rand.New(rand.NewPCG(7, 7))
	for i := 0; ctx.Err() == nil; i++ {
		time.Sleep(time.Duration(rng.ExpFloat64() * float64(time.Second) / float64(perSecond)))
		l.done.Go(func() {
			start := time.Now()
			reply, err := f.Send(context.Background(), f.Next(), fleet.Chat(route, fmt.Sprintf("%s %d tokens=8", route, i), false))
			l.mu.Lock()
			defer l.mu.Unlock()
			l.sent++
			l.times = append(l.times, time.Since(start))
			if err != nil || reply.Status != 200 {
				l.failed[route]++
				l.reasons[fmt.Sprintf("%v %s", err, reply.Body)]++
			}
		})
	}
	l.done.Wait()
}

// phase returns the 99th percentile of the times since the last call.
func (l *steadyLoad) phase() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	times := l.times
	l.times = nil
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return times[len(times)*99/100]
}

// zoneOut gives the order to take a zone out.
func zoneOut(t *testing.T, f *fleet.Fleet, zone declaration.ZoneName) {
	t.Helper()
	if _, err := f.Submitter().Give(t.Context(), order.SortZoneOut, string(zone), order.Order{By: "test"}); err != nil {
		t.Fatal(err)
	}
}

// TestZoneOut takes a zone out under load and brings it back: its servers get no new
// work within 3 s, patient requests do not fail, and the servers come back cold and
// do not fall over. Half of the instances have lost the store meanwhile.
func TestZoneOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 6, 6)
		load, patient := &steadyLoad{}, &steadyLoad{}
		ctx, cancel := context.WithCancel(t.Context())
		var both sync.WaitGroup
		both.Go(func() { load.run(ctx, f, "lookups", 40) })
		both.Go(func() { patient.run(ctx, f, "rulings", 20) })
		time.Sleep(5 * time.Second)
		for _, n := range f.Nodes[:3] {
			f.CutPlatform(n, true)
		}
		quiet := load.phase()
		ordered := time.Now()
		zoneOut(t, f, f.Zones[0])
		time.Sleep(10 * time.Second)
		moving := load.phase()
		last := time.Time{}
		for _, i := range []int{0, 3} {
			if at := f.Engines[i].Stats().LastStart; at.After(last) {
				last = at
			}
		}
		if late := last.Sub(ordered); late > 3*time.Second {
			t.Errorf("the last new work in the zone came %v after the order", late)
		} else {
			t.Logf("the last new work in the zone came %v after the order", late)
		}
		for _, n := range f.Nodes {
			if out := n.Settings.Zone == f.Zones[0]; out == n.Status().Ready {
				t.Errorf("%s in zone %s: ready %v", n.Settings.Instance, n.Settings.Zone, n.Status().Ready)
			}
		}
		for _, i := range []int{0, 3} {
			f.Engines[i].SetCold()
		}
		for _, n := range f.Nodes[:3] {
			f.CutPlatform(n, false)
		}
		if err := f.Submitter().Revoke(t.Context(), order.SortZoneOut, string(f.Zones[0])); err != nil {
			t.Fatal(err)
		}
		time.Sleep(20 * time.Second)
		cancel()
		both.Wait()
		t.Logf("p99 of lookups: %v before, %v while the zone is out, %v while it comes back", quiet, moving, load.phase())
		for i, e := range f.Engines {
			if s := e.Stats(); s.Collapses > 0 || s.PeakCold > 2 {
				t.Errorf("engine %d: %d at once while cold, %d collapses", i, s.PeakCold, s.Collapses)
			}
		}
		if n := patient.failed["rulings"]; n > 0 {
			t.Errorf("%d of %d patient requests failed: %v", n, patient.sent, patient.reasons)
		}
		if n := load.failed["lookups"]; n > 0 {
			t.Errorf("%d of %d lookups failed: %v", n, load.sent, load.reasons)
		}
		if started := f.Engines[0].Stats().LastStart; !started.After(ordered.Add(12 * time.Second)) {
			t.Errorf("engine 0 got no work after its zone came back; last start %v after the order", started.Sub(ordered))
		}
	})
}

// TestConfigEverywhere measures how long a change takes to be in force on the last of
// 8 instances, with the store in reach of all and of half of them.
func TestConfigEverywhere(t *testing.T) {
	for _, tt := range []struct {
		name  string
		cut   int
		bound time.Duration
	}{{"store up", 0, 2 * time.Second}, {"store lost to half", 4, 5 * time.Second}} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 8, 1)
				for _, n := range f.Nodes[:tt.cut] {
					f.CutPlatform(n, true)
				}
				time.Sleep(12 * time.Second) // open watches end meanwhile
				worst := time.Duration(0)
				for i := range 20 {
					doc := f.Configuration()
					doc.Workspaces[0].Routes[0].Quality = declaration.Quality(0.5 + float64(i)/100)
					start := time.Now()
					if err := f.Submit(t.Context(), doc); err != nil {
						t.Fatal(err)
					}
					for !inForce(f, doc.Workspaces[0].Routes[0].Quality) {
						time.Sleep(10 * time.Millisecond)
					}
					worst = max(worst, time.Since(start))
				}
				t.Logf("in force on the last of 8 instances after %v at worst", worst)
				if worst > tt.bound {
					t.Errorf("a change took %v, more than %v", worst, tt.bound)
				}
			})
		})
	}
}

func inForce(f *fleet.Fleet, q declaration.Quality) bool {
	for _, n := range f.Nodes {
		route := n.Keeper.View().WorkspaceByDigest(workspaceDigest()).Route("lookups")
		if route.Route.Quality != q {
			return false
		}
	}
	return true
}

// TestStoreOutage serves through an hour without the store, also on an instance that
// starts meanwhile, and takes up changes afterwards.
func TestStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3, 2)
		f.Store.SetDown(true)
		time.Sleep(30 * time.Minute)
		if err := f.AddNodes(1); err != nil {
			t.Fatal(err)
		}
		time.Sleep(30 * time.Minute)
		for _, n := range f.Nodes {
			reply, err := f.Send(t.Context(), n, fleet.Chat("lookups", "in the outage", false))
			if err != nil || reply.Status != 200 {
				t.Errorf("%s: status %d, error %v: %s", n.Settings.Instance, reply.Status, err, reply.Body)
			}
		}
		reply, err := f.Send(t.Context(), f.Nodes[0], fleet.Register("k", "body"))
		if err != nil || reply.Status != 503 {
			t.Errorf("a registration that cannot be claimed got status %d, error %v: %s", reply.Status, err, reply.Body)
		}
		f.Store.SetDown(false)
		time.Sleep(30 * time.Second)
		zoneOut(t, f, f.Zones[0])
		time.Sleep(5 * time.Second)
		for _, n := range f.Nodes {
			if !n.Keeper.View().ZoneOut(f.Zones[0]) {
				t.Errorf("%s missed a change after the outage", n.Settings.Instance)
			}
		}
		if again, err := f.Send(t.Context(), f.Nodes[1], fleet.Register("k", "body")); err != nil || again.Status != 200 {
			t.Errorf("the registration after the outage got status %d, error %v: %s", again.Status, err, again.Body)
		}
	})
}

// TestAloneInstance cuts one instance off from the store and all peers: it stops
// taking work, because it may miss changes, and says that nothing has run.
func TestAloneInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3, 2)
		alone := f.Nodes[0]
		f.CutPlatform(alone, true)
		f.Network.Part(func(from, to string) bool {
			return from == "entry-1" && to != "10.2.0.1:80" || to == string(alone.Settings.PeerAddress)
		})
		time.Sleep(20 * time.Second)
		if alone.Status().Ready {
			t.Error("an instance that hears nobody is ready")
		}
		reply, err := f.Send(t.Context(), alone, fleet.Chat("lookups", "alone", false))
		if err != nil || reply.Status != 503 {
			t.Errorf("it answered with status %d, error %v: %s", reply.Status, err, reply.Body)
		}
	})
}

// TestLeavingServer gives a leaving server no new work after the list says so.
func TestLeavingServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3, 2)
		load := &steadyLoad{}
		ctx, cancel := context.WithCancel(t.Context())
		var done sync.WaitGroup
		done.Go(func() { load.run(ctx, f, "lookups", 40) })
		time.Sleep(2 * time.Second)
		f.List.Lag = 500
		left := time.Now()
		f.List.SetState("engine-1", lister.StateLeaving)
		time.Sleep(5 * time.Second)
		cancel()
		done.Wait()
		if late := f.Engines[0].Stats().LastStart.Sub(left); late > 2*time.Second {
			t.Errorf("a leaving server got new work %v after it was listed so", late)
		}
		if load.failed["lookups"] > 0 {
			t.Errorf("%d requests failed: %v", load.failed["lookups"], load.reasons)
		}
	})
}

// TestPlannedStop replaces every instance under load, one after the other. No request
// may be cut or refused.
func TestPlannedStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3, 3)
		load := &steadyLoad{}
		ctx, cancel := context.WithCancel(t.Context())
		var done sync.WaitGroup
		done.Go(func() { load.run(ctx, f, "lookups", 30) })
		for _, old := range slices.Clone(f.Nodes) {
			if err := f.AddNodes(1); err != nil {
				t.Fatal(err)
			}
			time.Sleep(3 * time.Second)
			f.Stop(old)
			time.Sleep(5 * time.Second)
		}
		cancel()
		done.Wait()
		if load.failed["lookups"] > 0 {
			t.Errorf("%d of %d requests failed while instances were replaced: %v", load.failed["lookups"], load.sent, load.reasons)
		}
	})
}

// TestStopFinishesRequests guards against requests in flight being cut as soon as a stopping instance closes its listener, long before
// its drain timeout.
func TestStopFinishesRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, 0)
		setDesks := func(state lister.State) {
			f.List.SetState("desk-1", state)
			f.List.SetState("desk-2", state)
		}
		setDesks(lister.StateLeaving)
		time.Sleep(2 * time.Second)
		time.AfterFunc(time.Second, func() { f.Stop(f.Nodes[0]) })
		time.AfterFunc(6*time.Second, func() { setDesks(lister.StateLive) })
		ask := fleet.Register("key", "body")
		ask.Header[chat.HeaderPriority], ask.Header[chat.HeaderTimeout] = "u=7", "60000"
		if reply, err := f.Send(t.Context(), f.Nodes[0], ask); err != nil || reply.Status != http.StatusOK {
			t.Errorf("status %d, %s, error %v", reply.Status, reply.Body, err)
		}
	})
}

// TestStopEndsWaits guards against requests that wait for a server, or for the store, being closed unanswered when a stopping
// instance's time is over, though they have not run.
func TestStopEndsWaits(t *testing.T) {
	const drainTimeout = 8 * time.Second
	for name, wait := range map[string]struct {
		prepare func(f *fleet.Fleet)
		ask     fleet.Ask
	}{
		"no engine": {func(*fleet.Fleet) {}, fleet.Chat("lookups", "waiting", false)},
		"no server of a call": {func(f *fleet.Fleet) {
			f.List.SetState("desk-1", lister.StateLeaving)
			f.List.SetState("desk-2", lister.StateLeaving)
		}, fleet.Register("key", "body")},
		"no store for a claim": {func(f *fleet.Fleet) { f.CutPlatform(f.Nodes[0], true); f.CutPlatform(f.Nodes[1], true) }, fleet.Register("key", "body")},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 2, 0, func(f *fleet.Fleet) {
					f.Settings = func(s *loader.Settings) { s.Limits.DrainTimeout = clock.Millis(drainTimeout.Milliseconds()) }
				})
				wait.prepare(f)
				time.Sleep(2 * time.Second)
				wait.ask.Header[chat.HeaderPriority] = "u=7"
				wait.ask.Header[chat.HeaderTimeout] = "60000"
				time.AfterFunc(time.Second, func() { f.Stop(f.Nodes[0]) })
				began := time.Now()
				reply, err := f.Send(t.Context(), f.Nodes[0], wait.ask)
				if took := time.Since(began); err != nil || reply.Status != http.StatusServiceUnavailable || reply.Header.Get("Retry-After") == "" || !strings.Contains(string(reply.Body), string(problem.OutcomeNotRun)) || took > drainTimeout/2 {
					t.Errorf("status %d after %v, Retry-After %q, %s, error %v", reply.Status, took, reply.Header.Get("Retry-After"), reply.Body, err)
				}
			})
		})
	}
}

// TestStoreCalls counts what an idle fleet asks of the store: the watches that wait
// and the reads in a second. Only two instances of each zone watch.
func TestStoreCalls(t *testing.T) {
	for _, nodes := range []int{8, 24} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, nodes, 1)
			time.Sleep(30 * time.Second)
			before := f.Store.Calls()
			time.Sleep(time.Minute)
			after := f.Store.Calls()
			reads := float64(after.Reads-before.Reads) / 60
			t.Logf("%d instances in 3 zones: %d waiting watches, %.2f reads/s, %d writes", nodes, after.Waiting, reads, after.Writes-before.Writes)
			if after.Waiting > 6 || reads > 1 {
				t.Errorf("%d waiting watches and %.2f reads/s, want at most 6 and 1", after.Waiting, reads)
			}
		})
	}
}

package assembler_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/contract/chat"
	"example.com/dotterelwell/internal/link/chronicler"
	"example.com/dotterelwell/internal/machine/loader"
	"example.com/dotterelwell/internal/standin/engine"
	"example.com/dotterelwell/internal/standin/faulter"
	"example.com/dotterelwell/internal/standin/fleet"
	"example.com/dotterelwell/internal/standin/property"
)

// TestColdLimitUnderChurn turns engines cold while instances come, go, and lose one
// another. The requests at a cold engine, over all instances, stay within its limit.
func TestColdLimitUnderChurn(t *testing.T) {
	property.Check(t, 20, func(rt *rapid.T) {
		type step struct{ at, kind, target int }
		steps := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) step {
			return step{rapid.IntRange(1, 30_000).Draw(rt, "at"), rapid.IntRange(0, 3).Draw(rt, "kind"), rapid.IntRange(0, 3).Draw(rt, "target")}
		}), 1, 8).Draw(rt, "steps")
		slow := rapid.Bool().Draw(rt, "slow answers")
		peak, collapses := 0, 0
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, 4, 1, func(f *fleet.Fleet) {
				f.Settings = func(s *loader.Settings) { s.Limits.Settle = 3000 }
			})
			for _, e := range f.Engines {
				e.WarmAfter = 20
				if slow {
					e.TokenGap = 100
				}
			}
			load := &steadyLoad{}
			ctx, cancel := context.WithCancel(t.Context())
			var all sync.WaitGroup
			all.Go(func() { load.run(ctx, f, "rulings", 20) })
			for _, s := range steps {
				all.Go(func() {
					time.Sleep(time.Duration(s.at) * time.Millisecond)
					churn(f, s.kind, s.target)
				})
			}
			// A new engine is cold from the start, and known to be so.
			fresh := &engine.Engine{Versions: []declaration.Ref{cheap1, cheap2}, FirstToken: 50, TokenGap: 20, Limit: 32, ColdLimit: 2, WarmAfter: 30}
			fresh.SetCold()
			if err := f.AddEngine(1, fresh); err != nil {
				t.Fatal(err)
			}
			time.Sleep(40 * time.Second)
			cancel()
			all.Wait()
			peak, collapses = fresh.Stats().PeakCold, fresh.Stats().Collapses
		})
		if peak > 2 || collapses > 0 {
			rt.Fatalf("%d requests at once at a cold engine that bears 2, %d collapses", peak, collapses)
		}
	})
}

func churn(f *fleet.Fleet, kind, target int) {
	switch kind {
	case 0:
		_ = f.AddNodes(1) // an address in use leaves the fleet as it is
	case 1:
		if nodes := f.Running(); len(nodes) > 2 {
			f.Kill(nodes[target%len(nodes)])
		}
	case 2:
		f.PartZones()
	case 3:
		f.Network.Part(nil)
	}
}

// TestSuddenCold measures how many requests reach an engine that turns cold without
// warning before all instances treat it so, and compares that with instances that
// each learn alone.
func TestSuddenCold(t *testing.T) {
	for _, alone := range []bool{false, true} {
		t.Run(fmt.Sprintf("alone=%v", alone), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { suddenCold(t, alone) })
		})
	}
}

func suddenCold(t *testing.T, alone bool) {
	f := newFleet(t, 8, 3)
	if alone {
		for _, n := range f.Nodes {
			n.Warmer.OnLocalChange = nil
		}
	}
	load := &steadyLoad{}
	ctx, cancel := context.WithCancel(t.Context())
	var done sync.WaitGroup
	done.Go(func() { load.run(ctx, f, "lookups", 60) })
	time.Sleep(5 * time.Second)
	e := f.Engines[0]
	e.WarmAfter = 1000
	e.SetCold()
	turned := time.Now()
	before := tried(f, "engine-1")
	for !allCold(f, "engine-1") && time.Since(turned) < 20*time.Second {
		time.Sleep(5 * time.Millisecond)
	}
	took, sent := time.Since(turned), tried(f, "engine-1")-before
	cancel()
	done.Wait()
	t.Logf("all instances knew after %v; %d requests were sent to the cold engine meanwhile, %d collapses", took, sent, e.Stats().Collapses)
	if !alone && took > time.Second {
		t.Errorf("it took %v until all instances treated the engine as cold", took)
	}
}

// tried counts the dispatches to a server on the time lines of all instances.
func tried(f *fleet.Fleet, id string) int {
	n := 0
	for _, node := range f.Nodes {
		for _, e := range node.Chronicler.Events(chronicler.Filter{}) {
			if e.Kind == chronicler.KindDispatched && e.Detail == id {
				n++
			}
		}
	}
	return n
}

func allCold(f *fleet.Fleet, id string) bool {
	for _, n := range f.Nodes {
		for _, row := range n.Registrar.Rows() {
			if string(row.Server) == id && row.Warm {
				return false
			}
		}
	}
	return true
}

// TestSilentConnections makes every open connection to the engines silent, while new
// ones work, and measures the longest recovery.
func TestSilentConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, 2)
		for _, e := range f.Engines {
			e.TokenGap = 100
		}
		var all sync.WaitGroup
		var mu sync.Mutex
		worst := time.Duration(0)
		for i := range 12 {
			all.Go(func() {
				start := time.Now()
				prompt := fmt.Sprintf("long answer %d tokens=30", i)
				reply, err := f.Send(context.Background(), f.Nodes[i%2], fleet.Chat("rulings", prompt, true))
				took := time.Since(start)
				text, whole := streamText(reply.Body)
				version, _ := declaration.ParseRef(reply.Header.Get(chat.HeaderVersion)) // a wrong version shows as a wrong text
				if err != nil || !whole || text != engine.Text(version, prompt) {
					t.Errorf("status %d, error %v, whole %v", reply.Status, err, whole)
				}
				mu.Lock()
				defer mu.Unlock()
				worst = max(worst, took)
			})
		}
		time.Sleep(time.Second)
		f.Network.Silence(func(_, to string) bool { return to == "10.2.0.1:80" || to == "10.2.0.2:80" })
		all.Wait()
		const undisturbed = 3300 * time.Millisecond
		t.Logf("the longest answer took %v, %v more than undisturbed", worst, worst-undisturbed)
		if worst-undisturbed > 4*time.Second {
			t.Errorf("recovery took %v", worst-undisturbed)
		}
	})
}

// TestCutWithoutResume ends an answer clearly when an engine cannot resume: afresh
// while nothing was sent, and with an error event otherwise.
func TestCutWithoutResume(t *testing.T) {
	for _, tt := range []struct {
		name  string
		frame int
		whole bool
	}{{"before the first frame", 0, true}, {"part way through", 5, false}} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 1, 2)
				for _, e := range f.Engines {
					e.CannotResume = true
					e.Faults.Add(faulter.Rule{Point: engine.PointChat, Effect: faulter.EffectCut, Frame: tt.frame, Count: 1})
				}
				reply, err := f.Send(t.Context(), f.Nodes[0], fleet.Chat("rulings", "question tokens=9", true))
				if err != nil {
					t.Fatal(err)
				}
				_, whole := streamText(reply.Body)
				if whole != tt.whole {
					t.Errorf("whole %v, want %v: %s", whole, tt.whole, reply.Body)
				}
			})
		})
	}
}

// TestBorrowedPlaces starts a fleet before engines that are all cold. Requests at every
// instance are answered, not only at those that hold a warming duty.
func TestBorrowedPlaces(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 6, 1)
		e := f.Engines[0]
		e.WarmAfter = 1000
		e.SetCold()
		f.Nodes[0].Warmer.MarkCold("engine-1")
		time.Sleep(10 * time.Second)
		worst := time.Duration(0)
		for i, n := range f.Nodes {
			start := time.Now()
			reply, err := f.Send(t.Context(), n, fleet.Chat("rulings", fmt.Sprintf("question %d tokens=5", i), false))
			if err != nil || reply.Status != 200 {
				t.Errorf("%s: status %d, error %v: %s", n.Settings.Instance, reply.Status, err, reply.Body)
			}
			worst = max(worst, time.Since(start))
		}
		t.Logf("the slowest answer through a borrowed place took %v", worst)
		if s := e.Stats(); s.PeakCold > 2 || s.Collapses > 0 {
			t.Errorf("%d requests at once at the cold engine, %d collapses", s.PeakCold, s.Collapses)
		}
	})
}

package assembler_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/contract/chat"
	"example.com/dotterelwell/internal/contract/order"
	"example.com/dotterelwell/internal/contract/rater"
	"example.com/dotterelwell/internal/standin/fleet"
	"example.com/dotterelwell/internal/standin/property"
)

// withRollout returns the configuration with a roll-out of cheap@2.
func withRollout(f *fleet.Fleet, hold declaration.Millis) *declaration.Fleet {
	doc := f.Configuration()
	doc.Models[0].Rollout = &declaration.Rollout{
		From: "1", To: "2", Steps: []declaration.Percent{10, 50, 100}, Hold: hold,
		Guard: declaration.Guard{MaxErrorRise: 2, MaxQualityDrop: 0.05, MaxLatencyFactor: 2},
	}
	return doc
}

// rateBy rates answers of cheap@2 as given and all others 0.9.
func rateBy(quality declaration.Quality) func(context.Context, rater.Query) (declaration.Quality, error) {
	return func(_ context.Context, q rater.Query) (declaration.Quality, error) {
		if strings.HasPrefix(q.Answer, "<cheap@2>") {
			return quality, nil
		}
		return 0.9, nil
	}
}

func starts(f *fleet.Fleet, version declaration.Ref) int {
	n := 0
	for _, e := range f.Engines {
		n += e.Stats().Versions[version]
	}
	return n
}

// streamLoad sends streamed lookups without sessions until ctx ends.
func streamLoad(ctx context.Context, f *fleet.Fleet, perSecond int) *sync.WaitGroup {
	var done sync.WaitGroup
	done.Go(func() {
		var all sync.WaitGroup
		for i := 0; ctx.Err() == nil; i++ {
			time.Sleep(time.Second / time.Duration(perSecond))
			all.Go(func() {
				_, _ = f.Send(context.Background(), f.Next(), fleet.Chat("lookups", fmt.Sprintf("question %d tokens=6", i), true)) // only the versions matter
			})
		}
		all.Wait()
	})
	return &done
}

// TestGoodRollout steps through a roll-out to its end, though the instance with the
// duty is killed half way and the store is down for a while.
func TestGoodRollout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3, 3)
		f.RateFunc = rateBy(0.9)
		if err := f.Submit(t.Context(), withRollout(f, 20_000)); err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		load := streamLoad(ctx, f, 20)
		time.Sleep(30 * time.Second)
		for _, n := range f.Nodes {
			if _, own := n.Enroller.Holder("rollout/cheap"); own {
				f.Kill(n)
				break
			}
		}
		f.Store.SetDown(true)
		time.Sleep(40 * time.Second)
		f.Store.SetDown(false)
		time.Sleep(90 * time.Second)
		cancel()
		load.Wait()
		p, found := f.Nodes[0].Keeper.View().Progress("cheap")
		if !found || p.Phase != order.PhaseDone {
			t.Errorf("the roll-out is %+v, want it done", p)
		}
	})
}

// TestBadRollout stops a version whose ratings fall, withdraws it in the store, and
// reports how many answers it gave.
func TestBadRollout(t *testing.T) {
	for _, tt := range []struct {
		name    string
		quality declaration.Quality
		down    bool
	}{{"quality -30 points", 0.6, false}, {"quality -30 points, store down", 0.6, true}, {"quality -10 points", 0.8, false}} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 4, 3)
				f.RateFunc = rateBy(tt.quality)
				ctx, cancel := context.WithCancel(t.Context())
				load := streamLoad(ctx, f, 40)
				time.Sleep(20 * time.Second)
				if err := f.Submit(t.Context(), withRollout(f, 600_000)); err != nil {
					t.Fatal(err)
				}
				time.Sleep(2 * time.Second)
				f.Store.SetDown(tt.down)
				time.Sleep(60 * time.Second)
				before := starts(f, cheap2)
				f.Store.SetDown(false)
				time.Sleep(20 * time.Second)
				cancel()
				load.Wait()
				if more := starts(f, cheap2) - before; more > 0 {
					t.Errorf("%d starts on the bad version after it had time to be stopped", more)
				}
				t.Logf("the bad version gave %d answers", before)
				v := f.Nodes[0].Keeper.View().VersionOf(cheap2)
				if v.State != declaration.StateWithdrawn {
					t.Errorf("the bad version is %s in the store, want withdrawn", v.State)
				}
			})
		})
	}
}

// TestWithdrawn measures the time from a withdrawal to the last new work on the version.
func TestWithdrawn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 8, 3)
		ctx, cancel := context.WithCancel(t.Context())
		load := streamLoad(ctx, f, 100)
		time.Sleep(5 * time.Second)
		used := cheap1
		if starts(f, cheap2) > starts(f, cheap1) {
			used = cheap2
		}
		if starts(f, used) < 100 {
			t.Fatalf("%d starts on %s before the withdrawal", starts(f, used), used)
		}
		given := time.Now()
		if _, err := f.Submitter().Give(t.Context(), order.SortWithdrawal, used.String(), order.Order{By: "test"}); err != nil {
			t.Fatal(err)
		}
		last := given
		for time.Since(given) < 5*time.Second {
			before := starts(f, used)
			time.Sleep(10 * time.Millisecond)
			if starts(f, used) > before {
				last = time.Now()
			}
		}
		cancel()
		load.Wait()
		t.Logf("the last new work came %v after the withdrawal", last.Sub(given))
		if last.Sub(given) > 2*time.Second {
			t.Errorf("new work on a withdrawn version after %v", last.Sub(given))
		}
	})
}

// session is a caller's conversation.
type session struct {
	token   string
	version string
	changed int
}

// ask goes on with the conversation.
func (s *session) ask(f *fleet.Fleet, i int) {
	ask := fleet.Chat("lookups", fmt.Sprintf("turn %d tokens=4", i), false)
	if s.token != "" {
		ask.Header[chat.HeaderSession] = s.token
	}
	reply, err := f.Send(context.Background(), f.Next(), ask)
	if err != nil || reply.Status != 200 {
		return
	}
	version := reply.Header.Get(chat.HeaderVersion)
	if s.version != "" && version != s.version {
		s.changed++
	}
	s.version, s.token = version, reply.Header.Get(chat.HeaderSession)
}

// TestSessionKeepsVersion holds conversations through roll-out steps, replaced
// instances, an outage and a drained version. None changes its version.
func TestSessionKeepsVersion(t *testing.T) {
	property.Check(t, 15, func(rt *rapid.T) {
		kill := rapid.IntRange(1, 40).Draw(rt, "kill")
		outage := rapid.IntRange(1, 40).Draw(rt, "outage")
		drain := rapid.IntRange(1, 40).Draw(rt, "drain")
		hold := rapid.IntRange(1000, 12_000).Draw(rt, "hold")
		changed := 0
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, 3, 2)
			if err := f.Submit(t.Context(), withRollout(f, declaration.Millis(hold))); err != nil {
				t.Fatal(err)
			}
			var all sync.WaitGroup
			at := func(second int, do func()) {
				all.Go(func() {
					time.Sleep(time.Duration(second) * time.Second)
					do()
				})
			}
			at(kill, func() { f.Kill(f.Nodes[0]) })
			at(outage, func() { f.Store.SetDown(true) })
			at(outage+10, func() { f.Store.SetDown(false) })
			at(drain, func() {
				doc := withRollout(f, declaration.Millis(hold))
				doc.Models[0].Versions[0].State = declaration.StateDraining
				_ = f.Submit(context.Background(), doc) // an outage leaves the version as it is
			})
			sessions := make([]session, 6)
			for i := range sessions {
				all.Go(func() {
					time.Sleep(time.Duration(i) * 3 * time.Second)
					for turn := range 20 {
						sessions[i].ask(f, turn)
						time.Sleep(2 * time.Second)
					}
				})
			}
			all.Wait()
			for _, s := range sessions {
				changed += s.changed
			}
		})
		if changed > 0 {
			rt.Fatalf("%d sessions changed their version without a withdrawal", changed)
		}
	})
}

// TestWithdrawnSession moves or refuses a session whose version is withdrawn, as the
// route says.
func TestWithdrawnSession(t *testing.T) {
	for _, tt := range []struct {
		policy declaration.Withdrawal
		status int
	}{{declaration.WithdrawalMove, 200}, {declaration.WithdrawalRefuse, 409}} {
		t.Run(string(tt.policy), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 2, 2)
				doc := f.Configuration()
				doc.Workspaces[0].Routes[0].OnWithdrawal = tt.policy
				if err := f.Submit(t.Context(), doc); err != nil {
					t.Fatal(err)
				}
				time.Sleep(2 * time.Second)
				s := &session{}
				s.ask(f, 0)
				if _, err := f.Submitter().Give(t.Context(), order.SortWithdrawal, s.version, order.Order{By: "test"}); err != nil {
					t.Fatal(err)
				}
				time.Sleep(2 * time.Second)
				ask := fleet.Chat("lookups", "again tokens=3", false)
				ask.Header[chat.HeaderSession] = s.token
				reply, err := f.Send(t.Context(), f.Next(), ask)
				if err != nil || reply.Status != tt.status {
					t.Fatalf("status %d, error %v: %s", reply.Status, err, reply.Body)
				}
				if reply.Status == 200 && reply.Header.Get(chat.HeaderVersion) == s.version {
					t.Error("the session stayed on a withdrawn version")
				}
			})
		})
	}
}

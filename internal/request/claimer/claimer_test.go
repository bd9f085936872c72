package claimer_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"example.com/dotterelwell/internal/contract/claim"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/ident"
	"example.com/dotterelwell/internal/machine/worker"
	"example.com/dotterelwell/internal/request/claimer"
	"example.com/dotterelwell/internal/standin/faulter"
	"example.com/dotterelwell/internal/standin/objectstore"
	"example.com/dotterelwell/internal/standin/property"
)

var errCallLost = errors.New("the call was lost")

// instance is a claimer and the function that stops its worker pool.
type instance struct {
	*claimer.Claimer
	stop func()
}

func newInstance(store *objectstore.Store, name string) *instance {
	pool, stop := worker.New(8, 64)
	c := &claimer.Claimer{
		Clock: store.Clock, Store: store.Storer(), Pool: pool, Owner: ident.Incarnation(name), Shards: 2,
	}
	c.Open()
	return &instance{Claimer: c, stop: stop}
}

func entry(key ident.Key, nonce string) claim.Entry {
	return claim.Entry{Key: key, Nonce: ident.Nonce(nonce), Request: "r", Digest: "d"}
}

func mustClaim(t *testing.T, c *instance, e claim.Entry) claimer.Verdict {
	t.Helper()
	v, err := c.Claim(t.Context(), e)
	if err != nil {
		t.Fatalf("claim of %s: %v", e.Key, err)
	}
	return v
}

// TestFaults submits one claim under each fault of the store. A claim may be granted
// only when the store holds it, and never after an error of kind undecided.
func TestFaults(t *testing.T) {
	for _, tt := range []struct {
		name string
		rule faulter.Rule
		won  bool
	}{
		{"no fault", faulter.Rule{Point: "none"}, true},
		{"answer of the write lost", faulter.Rule{Point: objectstore.PointPut, Effect: faulter.EffectLoseAnswer, Count: 1}, true},
		{"write refused once", faulter.Rule{Point: objectstore.PointPut, Effect: faulter.EffectRefuse, Count: 1}, true},
		{"every write refused", faulter.Rule{Point: objectstore.PointPut, Effect: faulter.EffectRefuse}, false},
		{"read refused", faulter.Rule{Point: objectstore.PointList, Effect: faulter.EffectRefuse}, false},
		{"every answer lost", faulter.Rule{Point: objectstore.PointPut, Effect: faulter.EffectLoseAnswer}, true},
		{"write slow", faulter.Rule{Point: objectstore.PointPut, Effect: faulter.EffectSlow, Delay: clock.Second}, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := &objectstore.Store{Latency: 5}
				store.Faults.Add(tt.rule)
				a := newInstance(store, "a")
				defer a.stop()
				v, err := a.Claim(t.Context(), entry("w/k", "n1"))
				if tt.won != (err == nil && v.Won) {
					t.Errorf("verdict %+v, error %v, want won %v", v, err, tt.won)
				}
				if !tt.won && claimer.KindOf(err) != claimer.KindUndecided {
					t.Errorf("error %v is not of kind %q", err, claimer.KindUndecided)
				}
			})
		})
	}
}

// TestSecondClaim checks that a key claimed at one instance can't be claimed at
// another, concurrently or later, and that the later claim gets the outcome.
func TestSecondClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &objectstore.Store{Latency: 5}
		a, b := newInstance(store, "a"), newInstance(store, "b")
		defer a.stop()
		defer b.stop()
		var mu sync.Mutex
		winners := 0
		var both sync.WaitGroup
		for i, c := range []*instance{a, b} {
			both.Go(func() {
				v, err := c.Claim(context.Background(), entry("w/k", fmt.Sprint(i)))
				mu.Lock()
				defer mu.Unlock()
				if err == nil && v.Won {
					winners++
				}
			})
		}
		both.Wait()
		if winners != 1 {
			t.Fatalf("%d instances won the claim, want 1", winners)
		}
		held, _, err := a.Find(t.Context(), "w/k")
		if err != nil {
			t.Fatal(err)
		}
		settled := held
		settled.Status, settled.Body = 200, []byte("done")
		if err := a.Settle(settled); err != nil {
			t.Fatal(err)
		}
		if err := a.Drain(t.Context()); err != nil {
			t.Fatal(err)
		}
		if err := b.Clock.Sleep(t.Context(), clock.Second); err != nil {
			t.Fatal(err)
		}
		v := mustClaim(t, b, entry("w/k", "later"))
		if v.Won || v.Record.State != claim.StateRan || string(v.Record.Body) != "done" {
			t.Errorf("a later claim got %+v, want the first one's outcome", v)
		}
	})
}

// TestReleasedNonceNeverWins checks that a claim that reaches the log after its owner
// has released it is not granted, and that the key can be claimed with another nonce.
func TestReleasedNonceNeverWins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &objectstore.Store{}
		a, b := newInstance(store, "a"), newInstance(store, "b")
		defer a.stop()
		defer b.stop()
		late := entry("w/k", "given-up")
		if err := a.Release(late); err != nil {
			t.Fatal(err)
		}
		if err := a.Drain(t.Context()); err != nil {
			t.Fatal(err)
		}
		if v := mustClaim(t, b, late); v.Won {
			t.Error("a released nonce won its claim")
		}
		if v := mustClaim(t, b, entry("w/k", "fresh")); !v.Won {
			t.Errorf("a fresh nonce lost a released key: %+v", v)
		}
	})
}

// TestChunksRollOver checks that claims in sealed chunks are kept, and that expired
// chunks are deleted.
func TestChunksRollOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &objectstore.Store{Clock: &clock.Clock{}}
		a := newInstance(store, "a")
		a.Retention = clock.Minute
		defer a.stop()
		const claims = 1500
		for i := range claims {
			mustClaim(t, a, entry(ident.Key(fmt.Sprintf("w/%d", i)), "n"))
		}
		chunks := len(store.Objects(claim.Kind(0))) + len(store.Objects(claim.Kind(1)))
		if chunks < 3 {
			t.Fatalf("%d chunks, want several", chunks)
		}
		b := newInstance(store, "b")
		defer b.stop()
		if v := mustClaim(t, b, entry("w/0", "other")); v.Won {
			t.Error("a claim in a sealed chunk was forgotten")
		}
		if err := a.Clock.Sleep(t.Context(), 2*clock.Minute); err != nil {
			t.Fatal(err)
		}
		a.Trim(t.Context())
		if left := len(store.Objects(claim.Kind(0))) + len(store.Objects(claim.Kind(1))); left != 2 {
			t.Errorf("%d chunks are left after the retention, want the 2 tails", left)
		}
	})
}

// TestOutageKeepsOutcomes checks that an outcome recorded during a store outage is
// written after the outage.
func TestOutageKeepsOutcomes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &objectstore.Store{Latency: 5}
		a := newInstance(store, "a")
		defer a.stop()
		e := entry("w/k", "n")
		mustClaim(t, a, e)
		store.SetDown(true)
		e.Status = 200
		if err := a.Settle(e); err != nil {
			t.Fatal(err)
		}
		if err := a.Clock.Sleep(t.Context(), clock.Hour); err != nil {
			t.Fatal(err)
		}
		if a.Pending() == 0 {
			t.Fatal("the outcome was dropped during the outage")
		}
		store.SetDown(false)
		if err := a.Clock.Sleep(t.Context(), 10*clock.Second); err != nil {
			t.Fatal(err)
		}
		held, _, err := a.Find(t.Context(), "w/k")
		if err != nil || held.State != claim.StateRan {
			t.Errorf("after the outage the key is %q (error %v), want %q", held.State, err, claim.StateRan)
		}
	})
}

// schedule is a random sequence of claims with fault rates of the store and of the
// calls between instances. holders is each instance's view of the duty holder.
type schedule struct {
	seed             uint64
	faultShares      map[faulter.Effect]float64
	forwardLossShare float64
	holders          []int
	attempts         []attempt
}

type attempt struct{ instance, key, delay int }

func drawSchedule(rt *rapid.T) schedule {
	s := schedule{seed: rapid.Uint64().Draw(rt, "seed"), faultShares: map[faulter.Effect]float64{}}
	for _, effect := range []faulter.Effect{faulter.EffectLoseAnswer, faulter.EffectRefuse, faulter.EffectSlow} {
		s.faultShares[effect] = rapid.Float64Range(0, 0.4).Draw(rt, string(effect))
	}
	s.forwardLossShare = rapid.Float64Range(0, 0.5).Draw(rt, "dropped forwards")
	s.holders = rapid.SliceOfN(rapid.IntRange(0, 2), 3, 3).Draw(rt, "holders")
	s.attempts = rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) attempt {
		return attempt{rapid.IntRange(0, 2).Draw(rt, "instance"), rapid.IntRange(0, 3).Draw(rt, "key"), rapid.IntRange(0, 40).Draw(rt, "delay")}
	}), 1, 24).Draw(rt, "attempts")
	return s
}

// TestAtMostOneWinner claims a few keys from several instances under random faults,
// while instances disagree about the duty holder. No key may be granted twice.
func TestAtMostOneWinner(t *testing.T) {
	property.Check(t, 100, func(rt *rapid.T) {
		s := drawSchedule(rt)
		var wins map[int]int
		synctest.Test(t, func(*testing.T) { wins = s.run() })
		for key, n := range wins {
			if n > 1 {
				rt.Fatalf("key %d was granted %d times", key, n)
			}
		}
	})
}

// run executes the schedule and returns how often each key was granted.
func (s schedule) run() map[int]int {
	store := &objectstore.Store{Latency: 2}
	store.Faults.Seed(s.seed)
	for _, effect := range []faulter.Effect{faulter.EffectLoseAnswer, faulter.EffectRefuse, faulter.EffectSlow} {
		if s.faultShares[effect] > 0 {
			store.Faults.Add(faulter.Rule{Point: objectstore.PointPut, Effect: effect, Share: s.faultShares[effect], Delay: 30})
		}
	}
	instances := make([]*instance, 3)
	for i := range instances {
		instances[i] = newInstance(store, fmt.Sprint(i))
		defer instances[i].stop()
	}
	for i, c := range instances {
		connectHolder(c, i, instances, s.holders[i], s.forwardLossShare)
	}
	var mu sync.Mutex
	wins := map[int]int{}
	var all sync.WaitGroup
	for n, at := range s.attempts {
		all.Go(func() {
			c := instances[at.instance]
			_ = c.Clock.Sleep(context.Background(), clock.Millis(at.delay)) // a background context never ends, so Sleep returns nil
			e := entry(ident.Key(fmt.Sprintf("w/%d", at.key)), fmt.Sprint(n))
			v, err := c.Claim(context.Background(), e)
			if err != nil {
				_ = c.Release(e) // on an error the key stays claimed, which is allowed
				return
			}
			mu.Lock()
			defer mu.Unlock()
			if v.Won {
				wins[at.key]++
			}
		})
	}
	all.Wait()
	return wins
}

// connectHolder sets an instance's view of the duty holder, which may be wrong, and
// forwards its entries there. Some calls are lost before they take effect, some after.
func connectHolder(c *instance, own int, instances []*instance, holder int, forwardLossShare float64) {
	var faults faulter.Table
	faults.Add(faulter.Rule{Point: "before", Share: forwardLossShare / 2})
	faults.Add(faulter.Rule{Point: "after", Share: forwardLossShare / 2})
	c.HolderFunc = func(int) (ident.Instance, bool) { return ident.Instance(fmt.Sprint(holder)), holder == own }
	c.ForwardFunc = func(ctx context.Context, _ ident.Instance, shard int, entries []claim.Entry) ([]claimer.Verdict, error) {
		if _, lost := faults.Next("before"); lost && forwardLossShare > 0 {
			return nil, errCallLost
		}
		verdicts, err := instances[holder].Serve(ctx, shard, entries)
		if _, lost := faults.Next("after"); lost && forwardLossShare > 0 {
			return nil, errCallLost
		}
		return verdicts, err
	}
}

// TestFindOfAnsweredCall checks that every instance finds the outcome of a call as soon
// as the call has been answered, even if the outcome is not written yet or is being
// forwarded to the shard's duty holder.
func TestFindOfAnsweredCall(t *testing.T) {
	for _, held := range []bool{false, true} {
		t.Run(fmt.Sprintf("holder %v", held), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := &objectstore.Store{Latency: 5}
				a, b := newInstance(store, "a"), newInstance(store, "b")
				defer a.stop()
				defer b.stop()
				b.OutcomeFunc = func(_ context.Context, owner ident.Incarnation, e claim.Entry) (claim.Entry, bool, error) {
					if owner != a.Owner {
						return claim.Entry{}, false, errCallLost
					}
					outcome, found := a.Outcome(e)
					return outcome, found, nil
				}
				if held {
					instances := []*instance{a, b}
					connectHolder(a, 0, instances, 1, 0)
					connectHolder(b, 1, instances, 1, 0)
				}
				e := entry("w/k", "n1")
				mustClaim(t, a, e)
				e.Status = 200
				if err := a.Settle(e); err != nil {
					t.Fatal(err)
				}
				for _, c := range []*instance{a, b} {
					found, ok, err := c.Find(t.Context(), "w/k")
					if err != nil || !ok || found.State != claim.StateRan || found.Status != 200 || found.Owner != "a" {
						t.Errorf("%s finds %+v, %v, error %v, want the outcome", c.Owner, found, ok, err)
					}
				}
			})
		})
	}
}

// TestFindDuringWrite checks that Find returns an outcome that the owner finished
// writing after Find read the log and before it asked the owner.
func TestFindDuringWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &objectstore.Store{Latency: 5}
		a, b := newInstance(store, "a"), newInstance(store, "b")
		defer a.stop()
		defer b.stop()
		e := entry("w/k", "n1")
		mustClaim(t, a, e)
		b.OutcomeFunc = func(ctx context.Context, _ ident.Incarnation, held claim.Entry) (claim.Entry, bool, error) {
			if err := a.Settle(e); err != nil {
				t.Fatal(err)
			}
			if err := a.Drain(ctx); err != nil {
				t.Fatal(err)
			}
			outcome, found := a.Outcome(held)
			return outcome, found, nil
		}
		found, ok, err := b.Find(t.Context(), "w/k")
		if err != nil || !ok || found.State != claim.StateRan {
			t.Errorf("found %+v, %v, error %v, want the outcome", found, ok, err)
		}
	})
}

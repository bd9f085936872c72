package biller_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"example.com/dotterelwell/internal/contract/bill"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/ident"
	"example.com/dotterelwell/internal/request/auditor"
	"example.com/dotterelwell/internal/request/biller"
	"example.com/dotterelwell/internal/request/billholder"
	"example.com/dotterelwell/internal/standin/faulter"
	"example.com/dotterelwell/internal/standin/objectstore"
)

// newBiller returns a biller and the holder that keeps its records; both use store.
func newBiller(store *objectstore.Store, owner string) (*biller.Biller, *billholder.Holder) {
	h := &billholder.Holder{Store: store.Storer()}
	b := &biller.Biller{
		Clock: store.Clock, Store: store.Storer(), Owner: ident.Incarnation(owner),
		HolderFunc: func() ident.Instance { return "peer" },
		HoldFunc:   func(_ context.Context, _ ident.Instance, batch biller.Batch) error { return h.Hold(batch) },
	}
	return b, h
}

func record(i int, now clock.Millis) bill.Record {
	return bill.Record{ID: bill.ID(fmt.Sprintf("w/r%d/x", i)), Workspace: "w", Route: "lookups", Version: "bora@1", Request: ident.Request(fmt.Sprintf("r%d", i)), Prompt: 200, Answer: 340, Attempts: 1, Cost: 120, At: now}
}

func audit(t testing.TB, store *objectstore.Store) []bill.Record {
	t.Helper()
	now := clock.Millis(time.Now().UnixMilli())
	records, err := (&auditor.Auditor{Store: store.Storer()}).Records(context.Background(), auditor.SegmentKinds(now, 2*clock.Day))
	if err != nil {
		t.Fatal(err)
	}
	return records
}

// TestFaults records bills during each fault of the store. Every bill must be stored
// exactly once.
func TestFaults(t *testing.T) {
	for _, tt := range []struct {
		name string
		rule faulter.Rule
		down clock.Millis
	}{
		{"no fault", faulter.Rule{Point: "none"}, 0},
		{"answers lost", faulter.Rule{Point: objectstore.PointPut, Effect: faulter.EffectLoseAnswer, Count: 3}, 0},
		{"writes refused", faulter.Rule{Point: objectstore.PointPut, Effect: faulter.EffectRefuse, Count: 5}, 0},
		{"store down for an hour", faulter.Rule{Point: "none"}, clock.Hour},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := &objectstore.Store{Latency: 5}
				store.Faults.Add(tt.rule)
				b, _ := newBiller(store, "a")
				ctx, cancel := context.WithCancel(t.Context())
				var done sync.WaitGroup
				done.Go(func() { _ = b.Run(ctx) })
				store.SetDown(tt.down > 0)
				const bills = 200
				for i := range bills {
					if err := b.Record(t.Context(), record(i, store.Clock.Now())); err != nil {
						t.Errorf("record %d: %v", i, err)
					}
					time.Sleep(20 * time.Millisecond)
				}
				time.Sleep(tt.down.Duration())
				store.SetDown(false)
				time.Sleep(20 * time.Second)
				cancel()
				done.Wait()
				if got := len(audit(t, store)); got != bills {
					t.Errorf("%d bills are durable, want %d", got, bills)
				}
			})
		})
	}
}

// TestBacklogBound checks that BacklogFull reports a full backlog while the store is
// down, and that no bill recorded until then is lost.
func TestBacklogBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &objectstore.Store{Latency: 5}
		store.SetDown(true)
		b, _ := newBiller(store, "a")
		b.BacklogLimit = 64 << 10
		n := 0
		for ; !b.BacklogFull(); n++ {
			if err := b.Record(t.Context(), record(n, store.Clock.Now())); err != nil {
				t.Fatal(err)
			}
		}
		store.SetDown(false)
		if err := b.Drain(t.Context()); err != nil {
			t.Fatal(err)
		}
		if got := len(audit(t, store)); got != n || b.BacklogFull() {
			t.Errorf("%d of %d bills are durable, full %v", got, n, b.BacklogFull())
		}
	})
}

// TestKills stops billers at random moments while they write. After the holder has
// written the records that it holds, every bill that was safe must be stored exactly once.
func TestKills(t *testing.T) {
	rng := rand.New(rand.NewPCG(4, 4))
	const kills = 1000
	lost, doubled := 0, 0
	for kill := range kills {
		span := time.Duration(rng.IntN(3000)) * time.Millisecond
		loseAnswers := rng.Float64() * 0.5
		synctest.Test(t, func(t *testing.T) {
			store := &objectstore.Store{Latency: 5}
			store.Faults.Seed(uint64(kill))
			store.Faults.Add(faulter.Rule{Point: objectstore.PointPut, Effect: faulter.EffectLoseAnswer, Share: loseAnswers + 0.01})
			b, h := newBiller(store, fmt.Sprintf("owner-%d", kill))
			ctx, cancel := context.WithCancel(t.Context())
			var done sync.WaitGroup
			done.Go(func() { _ = b.Run(ctx) })
			started := time.Now()
			safe := 0
			for i := 0; time.Since(started) < span; i++ {
				if b.Record(ctx, record(i, store.Clock.Now())) == nil {
					safe++
				}
				time.Sleep(7 * time.Millisecond)
			}
			cancel()
			done.Wait()
			for try := 0; h.Held() > 0 && try < 50; try++ {
				_, _ = h.TakeOver(t.Context(), b.Owner) // retried, because the store may have lost the response
			}
			records := audit(t, store)
			seen := map[bill.ID]bool{}
			for _, r := range records {
				if seen[r.ID] {
					doubled++
				}
				seen[r.ID] = true
			}
			lost += max(safe-len(records), 0)
		})
	}
	t.Logf("%d kills: %d bills lost, %d stored twice", kills, lost, doubled)
	if lost+doubled > 0 {
		t.Errorf("%d bills lost, %d stored twice", lost, doubled)
	}
}

// BenchmarkBills measures the store writes and bytes per second of each instance at 80
// requests per second, for fleets of 8 and 400 instances that share a budget of 50
// writes per second.
func BenchmarkBills(b *testing.B) {
	for _, instances := range []int{8, 400} {
		b.Run(fmt.Sprintf("instances=%d", instances), func(b *testing.B) {
			const budget, rate, span = 50, 80, 30 * clock.Second
			now := clock.Hour
			store := &objectstore.Store{Clock: &clock.Clock{NowFunc: func() clock.Millis { return now }}}
			interval := max(clock.Second, clock.Second*clock.Millis(instances)/budget)
			billers := make([]*biller.Biller, instances)
			for i := range billers {
				billers[i] = &biller.Biller{Clock: store.Clock, Store: store.Storer(), Owner: ident.Incarnation(fmt.Sprint(i))}
			}
			for range b.N {
				for at := clock.Millis(0); at < span; at += interval {
					now += interval
					for i, x := range billers {
						for n := range int(interval) * rate / 1000 {
							x.Add(record(i*1_000_000+int(now)+n, now))
						}
						if err := x.Flush(b.Context()); err != nil {
							b.Fatal(err)
						}
					}
				}
			}
			seconds := float64(span) / 1000 * float64(b.N)
			calls := store.Calls()
			b.ReportMetric(float64(calls.Writes)/seconds, "writes/s-fleet")
			b.ReportMetric(float64(calls.Writes)/seconds/float64(instances), "writes/s/instance")
			b.ReportMetric(float64(calls.WrittenBytes)/seconds/float64(instances), "bytes/s/instance")
			b.ReportMetric(0, "ns/op")
		})
	}
}

package claimer_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"example.com/dotterelwell/internal/contract/claim"
	"example.com/dotterelwell/internal/contract/storer"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/ident"
	"example.com/dotterelwell/internal/request/claimer"
	"example.com/dotterelwell/internal/standin/objectstore"
)

// Parameters of the benchmark: number of instances, duration of the load, latency of
// the store in ms, writes per second that the store takes, and number of shards.
const (
	benchInstances    = 8
	benchDuration     = 6 * time.Second
	benchStoreLatency = 5
	benchWriteRate    = 200
	benchShards       = 4
)

// BenchmarkClaims measures the store writes per claim and the latency of a claim, at
// several rates of claims over 8 instances. It compares group commits with a store
// object for each key.
func BenchmarkClaims(b *testing.B) {
	for _, rate := range []int{10, 100, 300} {
		b.Run(fmt.Sprintf("group-commit/rate=%d", rate), func(b *testing.B) { benchGroup(b, rate) })
		b.Run(fmt.Sprintf("object-per-key/rate=%d", rate), func(b *testing.B) { benchObjects(b, rate) })
	}
}

func benchStore() *objectstore.Store {
	return &objectstore.Store{Clock: &clock.Clock{}, Latency: benchStoreLatency, WriteRate: benchWriteRate}
}

func benchGroup(b *testing.B, rate int) {
	store := benchStore()
	instances := make([]*instance, benchInstances)
	for i := range instances {
		c := newInstance(store, fmt.Sprint(i))
		c.Shards = benchShards
		c.WriteEvery = clock.Second * benchShards / benchWriteRate
		c.Open()
		instances[i] = c
		defer c.stop()
	}
	for i, c := range instances {
		c.HolderFunc = func(shard int) (ident.Instance, bool) { return ident.Instance(fmt.Sprint(shard)), shard == i }
		c.ForwardFunc = func(ctx context.Context, _ ident.Instance, shard int, entries []claim.Entry) ([]claimer.Verdict, error) {
			return instances[shard].Serve(ctx, shard, entries)
		}
	}
	measure(b, store, rate, func(n int) error {
		c := instances[n%benchInstances]
		e := entry(ident.Key(fmt.Sprintf("w/%d", n)), fmt.Sprint(n))
		v, err := c.Claim(context.Background(), e)
		if err != nil || !v.Won {
			return fmt.Errorf("claim %d: won %v, error %w", n, v.Won, err)
		}
		e.Status, e.Body = 200, []byte(`{"registered":true}`)
		return c.Settle(e)
	})
}

func benchObjects(b *testing.B, rate int) {
	store := benchStore()
	measure(b, store, rate, func(n int) error {
		kind, name := storer.ObjectKind("claim"), fmt.Sprint(n)
		_, err := store.Put(context.Background(), kind, name, []byte("claimed"), storer.Precondition{Absent: true})
		if err == nil {
			go func() { _, _ = store.Put(context.Background(), kind, name, []byte("ran"), storer.Precondition{}) }()
		}
		return err
	})
}

// measure calls register with exponentially distributed gaps for benchDuration and
// reports writes and latencies.
func measure(b *testing.B, store *objectstore.Store, rate int, register func(n int) error) {
	rng := rand.New(rand.NewPCG(1, uint64(rate)))
	var mu sync.Mutex
	var times []float64
	var all sync.WaitGroup
	total := int(benchDuration.Seconds()) * rate
	started := time.Now()
	for range b.N {
		for n := range total {
			time.Sleep(time.Duration(rng.ExpFloat64() * float64(time.Second) / float64(rate)))
			all.Go(func() {
				start := time.Now()
				err := register(n)
				took := time.Since(start)
				mu.Lock()
				defer mu.Unlock()
				if err != nil {
					b.Error(err)
				}
				times = append(times, float64(took.Microseconds())/1000)
			})
		}
		all.Wait()
	}
	slices.Sort(times)
	b.ReportMetric(float64(store.Calls().Writes)/float64(len(times)), "writes/claim")
	b.ReportMetric(float64(store.Calls().Writes)/time.Since(started).Seconds(), "writes/s")
	b.ReportMetric(times[len(times)/2], "p50-ms")
	b.ReportMetric(times[len(times)*99/100], "p99-ms")
	b.ReportMetric(0, "ns/op")
}

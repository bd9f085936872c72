package docs_test

import (
	"context"
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/contract/bill"
	"example.com/dotterelwell/internal/contract/claim"
	"example.com/dotterelwell/internal/contract/lister"
	"example.com/dotterelwell/internal/contract/order"
	"example.com/dotterelwell/internal/contract/storer"
	"example.com/dotterelwell/internal/link/chronicler"
	"example.com/dotterelwell/internal/link/enroller"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/ident"
	"example.com/dotterelwell/internal/machine/registrar"
	"example.com/dotterelwell/internal/machine/worker"
	"example.com/dotterelwell/internal/request/biller"
	"example.com/dotterelwell/internal/request/billholder"
	"example.com/dotterelwell/internal/request/claimer"
	"example.com/dotterelwell/internal/standin/objectstore"
	"example.com/dotterelwell/internal/version/tallier"
	"example.com/dotterelwell/internal/zone/keeper"
	"example.com/dotterelwell/internal/zone/warmer"
)

// heap returns the bytes in use after a collection.
func heap() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// BenchmarkSlopes measures state and work per unit for docs/CAPACITY.md, each at two sizes.
func BenchmarkSlopes(b *testing.B) {
	for _, s := range []struct {
		name  string
		sizes [2]int
		fill  func(b *testing.B, n int) any
	}{
		{"claim-record", [2]int{2000, 8000}, fillClaims},
		{"held-bill", [2]int{20_000, 80_000}, fillHeld},
		{"backend-server", [2]int{375, 1500}, fillServers},
		{"config-object", [2]int{500, 2000}, fillConfig},
		{"event", [2]int{2000, 8000}, fillEvents},
		{"tally", [2]int{1000, 4000}, fillTallies},
	} {
		for _, n := range s.sizes {
			b.Run(fmt.Sprintf("%s/n=%d", s.name, n), func(b *testing.B) {
				for range b.N {
					before, start := heap(), time.Now()
					state := s.fill(b, n)
					took := time.Since(start)
					b.ReportMetric((heap()-before)/float64(n), "bytes/unit")
					b.ReportMetric(float64(took.Nanoseconds())/float64(n)/1000, "us/unit")
					runtime.KeepAlive(state)
				}
				b.ReportMetric(0, "ns/op")
			})
		}
	}
	for _, n := range []int{8, 400} {
		b.Run(fmt.Sprintf("duty/n=%d", n), func(b *testing.B) { benchDuty(b, n) })
	}
}

func fillClaims(b *testing.B, n int) any {
	pool, stop := worker.New(16, 64)
	defer stop()
	store := &objectstore.Store{Clock: &clock.Clock{}}
	c := &claimer.Claimer{Clock: store.Clock, Store: store.Storer(), Pool: pool, Owner: "o", Shards: 1}
	c.Open()
	entries := make([]claim.Entry, 250)
	for i := 0; i < n; i += len(entries) {
		for j := range entries {
			entries[j] = claim.Entry{
				Key: ident.Key(fmt.Sprintf("w/registration-%d", i+j)), Nonce: ident.NewNonce(), State: claim.StateClaimed,
				Owner: "entry-1.abc.def", Request: ident.NewRequest(), Service: "timer-desk", Digest: "0123456789abcdef0123456789abcdef", At: 1,
			}
		}
		if _, err := c.Serve(context.Background(), 0, entries); err != nil {
			b.Fatal(err)
		}
	}
	store.Drop()
	return c
}

func fillHeld(b *testing.B, n int) any {
	h := &billholder.Holder{}
	const batch = 100
	for i := 0; i < n; i += batch {
		part := biller.Batch{Owner: "o", First: biller.Sequence(i + 1)}
		for j := range batch {
			part.Records = append(part.Records, bill.Record{
				ID: bill.ID(fmt.Sprintf("w/req-0123456789abcdef%08d/abcdef", i+j)), Workspace: "w", Route: "lookups", Version: "bora@1",
				Request: ident.Request(fmt.Sprintf("req-0123456789abcdef%08d", i+j)), Attempts: 1, Cost: 100, At: 1,
			})
		}
		if err := h.Hold(part); err != nil {
			b.Fatal(err)
		}
	}
	return h
}

func fillServers(_ *testing.B, n int) any {
	c := &clock.Clock{}
	r := &registrar.Registrar{Clock: c, Region: "r", Warmer: &warmer.Warmer{Clock: c}, ViewFunc: func() *keeper.View { return &keeper.View{} }}
	list := make([]lister.Instance, n)
	for i := range list {
		list[i] = lister.Instance{
			ID: fmt.Sprintf("engine-%d", i), State: lister.StateLive, Role: lister.RoleEngine, Zone: "z", Region: "r",
			Address: ident.Address(fmt.Sprintf("10.%d.%d.1:80", i/250, i%250)), Versions: []declaration.Ref{{Model: "m", Version: "1"}},
		}
	}
	r.Apply(list)
	return r
}

func fillConfig(b *testing.B, n int) any {
	k := &keeper.Keeper{Clock: &clock.Clock{}}
	changes := storer.Changes{Version: ident.StoreVersion(n)}
	for i := range n {
		w := declaration.Workspace{
			Name: declaration.WorkspaceName(fmt.Sprintf("w%d", i)), KeyDigests: []string{fmt.Sprintf("%064x", i)},
			Allow:  []declaration.Ref{{Model: "m"}},
			Routes: []declaration.Route{{Name: "r", Class: "c", Models: []declaration.Ref{{Model: "m"}}, Quality: 0.7}},
		}
		raw, err := json.Marshal(w)
		if err != nil {
			b.Fatal(err)
		}
		changes.Objects = append(changes.Objects, storer.Object{Name: order.Name(order.SortWorkspace, string(w.Name)), Version: ident.StoreVersion(i + 1), Value: raw})
	}
	k.Apply(changes)
	return k
}

func fillEvents(_ *testing.B, n int) any {
	c := &chronicler.Chronicler{Clock: &clock.Clock{}, Instance: "entry-1", Size: n}
	for i := range n {
		c.Record(chronicler.KindDispatched, ident.Request(fmt.Sprintf("req-%020d", i)), "bora@1", "engine-1")
	}
	return c
}

func fillTallies(_ *testing.B, n int) any {
	t := &tallier.Tallier{Clock: &clock.Clock{}, Owner: "o"}
	for i := range n {
		s := tallier.Subject{Class: declaration.ClassName(fmt.Sprintf("c%d", i)), Version: declaration.Ref{Model: "m", Version: "1"}}
		t.RecordAnswer(s, tallier.Answer{FirstToken: 300})
	}
	return t
}

// benchDuty measures the choice of a duty holder among n instances.
func benchDuty(b *testing.B, n int) {
	e := &enroller.Enroller{Clock: &clock.Clock{}, Instance: "entry-0"}
	var list []lister.Instance
	for i := range n {
		list = append(list, lister.Instance{ID: fmt.Sprintf("entry-%d", i), State: lister.StateLive, Role: lister.RoleEntry, Address: "10.0.0.1:80"})
	}
	e.Apply(list)
	for b.Loop() {
		e.Holder("claim/1")
	}
}

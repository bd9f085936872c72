package roster_test

import (
	"fmt"
	"testing"

	"example.com/dotterelwell/internal/contract/backend"
	"example.com/dotterelwell/internal/machine/ident"
	"example.com/dotterelwell/internal/machine/roster"
)

// BenchmarkAcquireSlopes measures how the time of Acquire grows with the number of servers.
func BenchmarkAcquireSlopes(b *testing.B) {
	for _, servers := range []int{18, 140, 1400} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			tab := newTable("x", []string{"x"}, 0)
			for i := range servers {
				tab.put(backend.Server{ID: ident.Server(fmt.Sprintf("i-%d", i))})
			}
			want := roster.Want{Service: "engines", SharedPart: "part/large", SharedWork: 300, OwnWork: 100}
			b.ReportAllocs()
			for b.Loop() {
				slot, err := tab.Acquire(want)
				if err != nil {
					b.Fatal(err)
				}
				slot.Release(roster.ResultAbandoned)
			}
		})
	}
}

package pacer_test

import (
	"testing"

	"example.com/dotterelwell/internal/duty/pacer"
	"example.com/dotterelwell/internal/machine/clock"
)

// TestTake guards against more calls in any second than are accepted, and against a bound that lets none through.
func TestTake(t *testing.T) {
	for _, c := range []struct {
		perSecond       float64
		inSecond, in10s int
	}{{0, 50, 500}, {16, 16, 160}, {2.5, 2, 20}, {0.4, 1, 4}} {
		now := clock.Millis(1_000_000)
		p := pacer.Pacer{Clock: &clock.Clock{NowFunc: func() clock.Millis { return now }}, PerSecond: c.perSecond}
		var taken []clock.Millis
		for range 500 {
			if p.Take() {
				taken = append(taken, now)
			}
			now += 20
		}
		most := 0
		for i, from := range taken {
			n := 0
			for _, at := range taken[i:] {
				if at-from < clock.Second {
					n++
				}
			}
			most = max(most, n)
		}
		if most > c.inSecond || len(taken) < c.in10s*8/10 || len(taken) > c.in10s {
			t.Errorf("%g in a second: %d in the busiest one, want %d; %d in 10 s, want %d", c.perSecond, most, c.inSecond, len(taken), c.in10s)
		}
	}
}

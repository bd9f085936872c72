package stager_test

import (
	"math"
	"math/rand/v2"
	"testing"

	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/contract/backend"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/version/stager"
	"example.com/dotterelwell/internal/version/tallier"
)

// afterCanary is a time after the canary stage, which ends at about half of the roll-out.
const afterCanary = 11 * clock.Second

// pace returns a random inter-token latency: 20 ms times a factor from 1 to spread, because the
// servers differ in speed.
func pace(rng *rand.Rand, spread float64) clock.Millis {
	return clock.Millis(20 * math.Exp(rng.Float64()*math.Log(spread)))
}

// observe records streams of both releases. A share slowShare of the new release's streams is slower
// by factor.
func observe(s *stager.Stager, rng *rand.Rand, oldStreams, newStreams int, spread, slowShare, factor float64) {
	for range oldStreams {
		s.RecordDelay("engines", "v1", stager.DelayPace, "r", "m", pace(rng, spread))
		s.RecordAnswer("engines", "v1", "r")
	}
	for range newStreams {
		delay := pace(rng, spread)
		if rng.Float64() < slowShare {
			delay = clock.Millis(factor * float64(delay))
		}
		s.RecordDelay("engines", "v2", stager.DelayPace, "r", "m", delay)
		s.RecordAnswer("engines", "v2", "r")
	}
}

// TestThinEvidence checks that a release is held at the canary share and not completed while the
// evidence is inconclusive, that is cannot distinguish a good release from one that is slow for a
// part of its requests, and that the roll-out continues otherwise. On a test day most servers
// failed, the inter-token latencies of the others ranged from 16 to 861 ms, and 301 of 966
// requests went to a bad release.
func TestThinEvidence(t *testing.T) {
	for _, tt := range []struct {
		name       string
		newStreams int
		spread     float64
		slowShare  float64
		held       bool
	}{
		{"few streams at servers of all paces", 14, 50, 0.4, true},
		{"no stream at the new release", 0, 2, 0, true},
		{"a good release at even servers", 35, 2, 0, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(1, 2))
			f := newFleet(1)
			s := f.stagers[0]
			order := f.begin()
			observe(s, rng, 80, tt.newStreams, tt.spread, tt.slowShare, 8)
			for at := clock.Millis(0); at < within; at += 250 {
				f.now = 1_000_000 + at
				s.Tick()
				share := newShare(s, order, 2000)
				if at > afterCanary && (share < 0.15) != tt.held {
					t.Fatalf("share %.2f after %d ms, want held %v", share, at, tt.held)
				}
				if outcome := s.DueOutcome(order, 0); tt.held && outcome == backend.OutcomeCompleted {
					t.Fatalf("completed after %d ms", at)
				}
			}
		})
	}
}

// TestLateRelease checks that a held release is completed after its time once the evidence
// suffices, and that requests in flight at older servers get time to end before.
func TestLateRelease(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	f := newFleet(1)
	s := f.stagers[0]
	order := f.begin()
	for f.now = 1_000_000; f.now < 1_000_000+within+within/4; f.now += 250 {
		s.Tick()
	}
	if outcome := s.DueOutcome(order, 0); outcome != backend.OutcomeOpen {
		t.Fatalf("outcome %q without any evidence", outcome)
	}
	observe(s, rng, 80, 60, 2, 0, 1)
	cleared := f.now
	for s.DueOutcome(order, 1) == backend.OutcomeOpen {
		s.Tick()
		if f.now += 250; f.now-cleared > within {
			t.Fatal("never completed")
		}
		if share := newShare(s, order, 100); f.now-cleared > 3*clock.Second && share != 1 {
			t.Fatalf("share %.2f with enough evidence", share)
		}
	}
	if f.now-cleared < clock.Second {
		t.Errorf("completed %d ms after its requests began to move, with one at an older server", f.now-cleared)
	}
}

// TestIdleRelease checks that the release of a service without requests is completed, though late.
func TestIdleRelease(t *testing.T) {
	f := newFleet(1)
	order := f.begin()
	for f.now = 1_000_000; f.now < 1_000_000+3*within; f.now += 250 {
		f.stagers[0].Tick()
	}
	if outcome := f.stagers[0].DueOutcome(order, 0); outcome != backend.OutcomeCompleted {
		t.Errorf("outcome %q", outcome)
	}
}

// TestRestartedCollector checks that a cleared release keeps its share at every instance when the
// instance that collects the evidence restarts and has none. Otherwise sessions that moved to the
// release would move back.
func TestRestartedCollector(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	f := newFleet(2)
	order := f.begin()
	f.stagers[1].HasAllEvidenceFunc = func(declaration.ServiceName) bool { return false }
	observe(f.stagers[0], rng, 80, 40, 2, 0, 1)
	step := func(until float64) {
		for float64(f.now-1_000_000) < until*float64(within) {
			f.now += 250
			for _, s := range f.stagers {
				s.Tick()
			}
			f.exchangeStages()
		}
	}
	step(0.7)
	restarted := newFleet(1).stagers[0]
	restarted.Clock, restarted.ViewFunc = f.stagers[0].Clock, f.stagers[0].ViewFunc
	restarted.Tallier = &tallier.Tallier{Clock: restarted.Clock, Owner: "run-c"}
	f.stagers[0] = restarted
	restarted.Tick()
	for range 8 {
		for i, s := range f.stagers[1:] {
			if share := newShare(s, order, 1000); share < 0.4 {
				t.Fatalf("instance %d gives the cleared release %.2f of the requests", i+1, share)
			}
		}
		f.now += 250
		restarted.Tick()
		f.exchangeStages()
	}
	if share := newShare(restarted, order, 1000); share < 0.4 {
		t.Errorf("the restarted instance gives the cleared release %.2f of the requests", share)
	}
}

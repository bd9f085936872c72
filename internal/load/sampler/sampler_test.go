package sampler_test

import (
	"testing"

	"example.com/dotterelwell/internal/load/sampler"
	"example.com/dotterelwell/internal/machine/clock"
)

// TestJumpAndAfter checks that the wait follows the waits of a jump within some answers, stays while answers tell
// of them, and falls by itself within seconds after it, also if no further answer comes.
func TestJumpAndAfter(t *testing.T) {
	var s sampler.Sampler
	now := clock.Millis(1000)
	if got := s.Wait("engines", now); got != 0 {
		t.Errorf("wait is %.0f ms before the first answer", got)
	}
	for range 20 {
		now += 100
		s.Observe("engines", 1500, now)
	}
	if got := s.Wait("engines", now); got < 1000 || got > 1500 {
		t.Errorf("wait is %.0f ms after two seconds in which requests waited 1,500 ms", got)
	}
	if got := s.Wait("other", now); got != 0 {
		t.Errorf("wait of another service is %.0f ms", got)
	}
	if got := s.Wait("engines", now+5*clock.Second); got > 100 {
		t.Errorf("wait is %.0f ms five seconds after the last answer", got)
	}
}

// TestOneStraggler checks that a single answer that took long, as from a server that is about to crash, doesn't
// hold requests back.
func TestOneStraggler(t *testing.T) {
	var s sampler.Sampler
	for i := range 20 {
		s.Observe("engines", 20, clock.Millis(100*i))
	}
	s.Observe("engines", 2000, 2000)
	if got := s.Wait("engines", 2000); got > 500 {
		t.Errorf("wait is %.0f ms after one answer that waited", got)
	}
}

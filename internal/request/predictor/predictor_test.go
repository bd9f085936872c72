package predictor_test

import (
	"math"
	"testing"

	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/request/predictor"
)

// TestPaceUnderQueues checks that queueing does not inflate the estimate of the prefill
// time: under load only a few requests are processed without a wait.
func TestPaceUnderQueues(t *testing.T) {
	var s predictor.Predictor
	const pace = 0.08 // milliseconds per token
	for i := range 400 {
		work := s.PrefillTime("large", 5000)
		took := pace * 5000
		if i%4 > 0 {
			took *= 3 // the request was queued
		}
		s.ObservePrefill("large", work, clock.Millis(took))
	}
	if got := s.PrefillTime("large", 1000); math.Abs(got-80) > 25 {
		t.Errorf("1,000 tokens take %.0f ms, want about 80", got)
	}
}

// TestEventPace checks that DecodeTime follows the mean time between events.
func TestEventPace(t *testing.T) {
	var s predictor.Predictor
	for range 60 {
		s.ObserveEvents("large", 50, 50*40)
		s.ObserveEvents("large", 1, 9000) // below minEvents, ignored
	}
	if got := s.DecodeTime("large", 100); got < 3600 || got > 4400 {
		t.Errorf("100 events take %d ms, want about 4000", got)
	}
}

// TestPaceBesideFixedTime checks that the time that every request takes is not taken for a time per token, nor the
// waits of a jump. Load: long and short prompts, first in calm, then while three of four requests wait up to 2 s.
func TestPaceBesideFixedTime(t *testing.T) {
	for _, wait := range []int{0, 2000} {
		var s predictor.Predictor
		const pace, fixed = 0.005, 85.0 // milliseconds per token and per request
		for i := range 400 {
			tokens := 1000 + i*7919%20000
			work := s.PrefillTime("small", tokens)
			took := fixed + pace*float64(tokens) + float64(i%4*wait/3)
			s.ObservePrefill("small", work, clock.Millis(took))
		}
		if got := s.PrefillTime("small", 20000); math.Abs(got-100) > 40 {
			t.Errorf("with waits up to %d ms, 20,000 tokens take %.0f ms, want about 100", wait, got)
		}
	}
}

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

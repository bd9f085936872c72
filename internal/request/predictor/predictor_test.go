package predictor_test

import (
	"math"
	"testing"

	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/request/predictor"
)

// TestPaceUnderQueues answers the pattern of answers that had to wait: the pace of a
// model is learnt from the answers that did not, which are few on a busy day.
func TestPaceUnderQueues(t *testing.T) {
	var s predictor.Predictor
	const pace = 0.08 // milliseconds a token
	for i := range 400 {
		work := s.PrefillTime("large", 5000)
		took := pace * 5000
		if i%4 > 0 {
			took *= 3 // it waited behind others
		}
		s.ObservePrefill("large", work, clock.Millis(took))
	}
	if got := s.PrefillTime("large", 1000); math.Abs(got-80) > 25 {
		t.Errorf("1,000 tokens take %.0f ms, want about 80", got)
	}
}

// TestEventPace follows the mean time between the events of a model.
func TestEventPace(t *testing.T) {
	var s predictor.Predictor
	for range 60 {
		s.ObserveEvents("large", 50, 50*40)
		s.ObserveEvents("large", 1, 9000) // too short to say anything
	}
	if got := s.DecodeTime("large", 100); got < 3600 || got > 4400 {
		t.Errorf("100 events take %d ms, want about 4000", got)
	}
}

package recorder_test

import (
	"testing"

	"example.com/dotterelwell/internal/contract/problem"
	"example.com/dotterelwell/internal/request/recorder"
)

// TestOutcome checks the outcome for combinations of attempt results; an empty
// result stands for an attempt in flight.
func TestOutcome(t *testing.T) {
	const inFlight = recorder.Result("")
	for _, tt := range []struct {
		results []recorder.Result
		want    problem.Outcome
	}{
		{nil, problem.OutcomeNotRun},
		{[]recorder.Result{recorder.ResultNotSent}, problem.OutcomeNotRun},
		{[]recorder.Result{recorder.ResultRefused, recorder.ResultNotSent}, problem.OutcomeNotRun},
		{[]recorder.Result{recorder.ResultLost}, problem.OutcomeUnknown},
		{[]recorder.Result{recorder.ResultLost, recorder.ResultRefused}, problem.OutcomeUnknown},
		{[]recorder.Result{inFlight}, problem.OutcomeUnknown},
		{[]recorder.Result{recorder.ResultRan}, problem.OutcomeRan},
		{[]recorder.Result{recorder.ResultLost, recorder.ResultRan}, problem.OutcomeUnknown},
	} {
		var r recorder.Recorder
		for _, result := range tt.results {
			r.Begin()
			if result != inFlight {
				r.End(result)
			}
		}
		if got := r.Outcome(); got != tt.want || r.Attempts() != len(tt.results) {
			t.Errorf("%v: outcome %q of %d attempts, want %q", tt.results, got, r.Attempts(), tt.want)
		}
	}
}

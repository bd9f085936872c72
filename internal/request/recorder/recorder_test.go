package recorder_test

import (
	"testing"

	"example.com/dotterelwell/internal/contract/problem"
	"example.com/dotterelwell/internal/request/recorder"
)

// TestOutcome decides by the evidence of all attempts.
func TestOutcome(t *testing.T) {
	const open = recorder.Fate("")
	for _, tt := range []struct {
		fates []recorder.Fate
		want  problem.Outcome
	}{
		{nil, problem.OutcomeNotRun},
		{[]recorder.Fate{recorder.FateNotSent}, problem.OutcomeNotRun},
		{[]recorder.Fate{recorder.FateRefused, recorder.FateNotSent}, problem.OutcomeNotRun},
		{[]recorder.Fate{recorder.FateLost}, problem.OutcomeUnknown},
		{[]recorder.Fate{recorder.FateLost, recorder.FateRefused}, problem.OutcomeUnknown},
		{[]recorder.Fate{open}, problem.OutcomeUnknown},
		{[]recorder.Fate{recorder.FateRan}, problem.OutcomeRan},
		{[]recorder.Fate{recorder.FateLost, recorder.FateRan}, problem.OutcomeUnknown},
	} {
		var r recorder.Recorder
		for _, fate := range tt.fates {
			r.Begin()
			if fate != open {
				r.End(fate)
			}
		}
		if got := r.Outcome(); got != tt.want || r.Attempts() != len(tt.fates) {
			t.Errorf("%v: outcome %q of %d attempts, want %q", tt.fates, got, r.Attempts(), tt.want)
		}
	}
}

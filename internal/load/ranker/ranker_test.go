package ranker_test

import (
	"testing"

	"example.com/dotterelwell/internal/load/ranker"
	"example.com/dotterelwell/internal/machine/clock"
)

// TestUrgency guards against an order by arrival within a priority. Load: a jump after which some requests have
// missed their target, which lose little by waiting, while others can still meet theirs.
func TestUrgency(t *testing.T) {
	r := ranker.New([]int{2, 0, 1, 2})
	digest := func(s ranker.Standing) int { s.Priority, s.Target = 0, 2000; return r.Urgency(s) }
	report := func(s ranker.Standing) int { s.Priority, s.Target = 2, 6000; return r.Urgency(s) }
	rising := []struct {
		name    string
		urgency int
	}{
		{"urgent, in a hurry", digest(ranker.Standing{Slack: 100})},
		{"urgent, has time", digest(ranker.Standing{Slack: 1800})},
		{"urgent, late", digest(ranker.Standing{Slack: -1})},
		{"patient, in a hurry", report(ranker.Standing{Slack: 100})},
		{"patient, has time", report(ranker.Standing{Slack: 5000})},
		{"patient, late", report(ranker.Standing{Slack: -1})},
	}
	for i := 1; i < len(rising); i++ {
		if rising[i-1].urgency >= rising[i].urgency {
			t.Errorf("%s has urgency %d, %s has %d", rising[i-1].name, rising[i-1].urgency, rising[i].name, rising[i].urgency)
		}
	}
	if got, want := digest(ranker.Standing{Slack: 100, Repeated: true}), digest(ranker.Standing{Slack: 1800}); got != want {
		t.Errorf("another attempt has urgency %d, want that of a first one that has time, %d", got, want)
	}
	if got, want := report(ranker.Standing{Slack: -4000, Resumed: true, Repeated: true}), report(ranker.Standing{Slack: 100}); got != want {
		t.Errorf("a cut stream has urgency %d, want that of a request in a hurry, %d", got, want)
	}
}

// TestManyPriorities checks that the priority alone is told when it needs all levels.
func TestManyPriorities(t *testing.T) {
	r := ranker.New([]int{0, 1, 2, 3, 4, 5, 6})
	for priority, want := range map[int]int{-1: 0, 0: 0, 4: 4, 9: 9, 12: 9} {
		if got := r.Urgency(ranker.Standing{Priority: priority, Slack: -5, Target: 100}); got != want {
			t.Errorf("urgency of priority %d is %d, want %d", priority, got, want)
		}
	}
}

// TestOnePriority checks that nothing exceeds the levels when all requests have one priority.
func TestOnePriority(t *testing.T) {
	r := ranker.New([]int{3, 3})
	last := -1
	for _, slack := range []int{0, 300, 700, 999, 5000, -1} {
		got := r.Urgency(ranker.Standing{Priority: 3, Slack: clock.Millis(slack), Target: 1000})
		if got < last || got > 9 {
			t.Errorf("urgency with a slack of %d ms is %d, after %d", slack, got, last)
		}
		last = got
	}
}

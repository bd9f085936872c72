package assessor_test

import (
	"testing"

	"example.com/dotterelwell/internal/load/assessor"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/request/cascader"
)

// TestUnsentServersLost guards against a refusal after some milliseconds of a target of seconds. Load: half of the servers are lost
// beside a jump; each refuses connections at once, and every instance still has to find out which ones.
func TestUnsentServersLost(t *testing.T) {
	var unsent assessor.Unsent
	attempts := 1
	for unsent.Add(2, 2000) {
		attempts++
	}
	if attempts < 10 {
		t.Errorf("the request ends after %d attempts in %d ms; one of %d meets only lost servers", attempts, 2*attempts, 1<<attempts)
	}
	if attempts > 20 {
		t.Errorf("the request makes %d attempts, want a bound", attempts)
	}
}

// TestUnsentServersDark checks that servers that don't answer at all use up no more than a part of the target.
func TestUnsentServersDark(t *testing.T) {
	var unsent assessor.Unsent
	took := clock.Millis(300)
	for unsent.Add(300, 2000) {
		took += 300
	}
	if took > 1200 {
		t.Errorf("unanswered connections take %d ms of a target of 2,000 ms", took)
	}
}

// TestRoomUnderJump guards against a jump of the least urgent kind that fills the servers before urgent requests arrive.
func TestRoomUnderJump(t *testing.T) {
	var a assessor.Assessor
	for _, rank := range []assessor.Rank{{Priority: 2, Target: 6000}, {Priority: 0, Target: 2000}, {Priority: 1, Target: 2000}} {
		a.Add(rank)
	}
	if got := a.Room(0); got != 0 {
		t.Errorf("the most urgent kind has a bound of %d ms", got)
	}
	for _, priority := range []int{1, 2} {
		if got := a.Room(priority); got <= 0 || got >= 2000 {
			t.Errorf("requests of priority %d may find %d ms of work before them; an urgent one that comes next has a target of 2,000 ms", priority, got)
		}
	}
	if got := a.Left(2, 5800, 0); got > 2000 {
		t.Errorf("another answer of the least urgent kind is weighed against %d ms, want no more than the urgent kind has", got)
	}
	if got := a.Left(0, 1500, 0); got != 1500 {
		t.Errorf("another answer of the most urgent kind is weighed against %d ms, want its own 1,500", got)
	}
}

// TestLatestStart checks that a request isn't held back when holding it makes it late. Load: a jump while a hot workspace's
// questions have 2 s and reports 6 s; servers let requests wait for 800 ms.
func TestLatestStart(t *testing.T) {
	report := assessor.LatestStart(1000, 6000, 800, 600, 2)
	if served := report + 2*800 + 600; served > 7000 || served < 6900 {
		t.Errorf("a report that starts at %d is answered at %d, want at its target, 7000", report, served)
	}
	if question := assessor.LatestStart(1000, 2000, 1000, 50, 2); question > 1000 {
		t.Errorf("a question waits until %d, though its target leaves no time for it", question)
	}
}

// TestGap guards against a herd when a jump ends: all instances see the waits fall at the same moment, and each would
// send all that it has held back.
func TestGap(t *testing.T) {
	if got := assessor.Gap(0, 500); got != 0 {
		t.Errorf("gap is %d ms though no server lets requests wait", got)
	}
	if calm, busy := assessor.Gap(100, 500), assessor.Gap(490, 500); calm >= busy || busy < 50 {
		t.Errorf("gaps are %d ms in calm and %d ms just below the room", calm, busy)
	}
}

// TestAnotherAnswerUnderJump guards against second answers of the least urgent kind in the way of urgent first ones. Load: a
// jump of reports, half of whose first answers are doubtful; servers let requests wait for 400 ms.
func TestAnotherAnswerUnderJump(t *testing.T) {
	var a assessor.Assessor
	a.Add(assessor.Rank{Priority: 2, Target: 6000})
	a.Add(assessor.Rank{Priority: 0, Target: 2000})
	var c cascader.Cascader
	for _, tt := range []struct {
		name     string
		priority int
		waited   float64
		left     clock.Millis
		want     bool
	}{
		{"report in the jump", 2, 400, 5800, false},
		{"report in calm", 2, 0, 5800, true},
		{"report among few requests", 2, 120, 5800, true},
		{"urgent digest in the jump", 0, 400, 1800, true},
	} {
		pressure := cascader.Pressure(tt.waited, 300, a.Left(tt.priority, tt.left, tt.waited))
		if got := c.ShouldEscalate(35, pressure); got != tt.want {
			t.Errorf("%s: a doubtful answer is dropped for another one: %v, want %v", tt.name, got, tt.want)
		}
	}
}

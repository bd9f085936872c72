// Package recorder collects what happened to a request's attempts and decides from
// that evidence, in one place, what a refusal may say of the outcome.
package recorder

import (
	"sync"

	"example.com/dotterelwell/internal/contract/problem"
)

// Fate is the end of one attempt at a backend server.
type Fate string

// Fates of attempts.
const (
	// FateNotSent means that no byte has left this process.
	FateNotSent Fate = "not-sent"
	// FateRefused means that the backend server declares that it has not run the request.
	FateRefused Fate = "refused"
	// FateLost means that bytes left and no answer tells what became of them.
	FateLost Fate = "lost"
	// FateRan means that the backend server answered.
	FateRan Fate = "ran"
)

// Recorder holds the evidence of one request. Its zero value has no attempt.
type Recorder struct {
	mu       sync.Mutex
	attempts int
	open     int
	lost     int
	ran      int
}

// Begin notes an attempt that may send bytes from now on.
func (r *Recorder) Begin() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attempts++
	r.open++
}

// End notes the fate of the attempt begun last.
func (r *Recorder) End(fate Fate) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.open--
	switch fate {
	case FateLost:
		r.lost++
	case FateRan:
		r.ran++
	}
}

// Attempts returns the number of attempts.
func (r *Recorder) Attempts() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.attempts
}

// Outcome returns what is certain: not-run only when every attempt is known not to
// have reached a backend server or to have been declined by it.
func (r *Recorder) Outcome() problem.Outcome {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.open > 0 || r.lost > 0:
		return problem.OutcomeUnknown
	case r.ran > 0:
		return problem.OutcomeRan
	}
	return problem.OutcomeNotRun
}

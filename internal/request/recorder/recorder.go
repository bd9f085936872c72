// Package recorder records the results of a request's attempts and derives from them
// whether the request has run, which an error response to the caller has to state.
package recorder

import (
	"sync"

	"example.com/dotterelwell/internal/contract/problem"
)

// Result tells how one attempt at a backend server ended.
type Result string

// Results of attempts.
const (
	// ResultNotSent means that no byte of the request was sent.
	ResultNotSent Result = "not-sent"
	// ResultRefused means that the backend server answered that it has not run the request.
	ResultRefused Result = "refused"
	// ResultLost means that bytes of the request were sent and no valid answer came, so
	// that the request may have run.
	ResultLost Result = "lost"
	// ResultRan means that the backend server answered.
	ResultRan Result = "ran"
)

// Recorder counts the attempts of one request by their results. Its zero value has
// no attempt.
type Recorder struct {
	mu       sync.Mutex
	attempts int
	inFlight int
	lost     int
	ran      int
}

// Begin records the start of an attempt, before any byte of it is sent.
func (r *Recorder) Begin() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attempts++
	r.inFlight++
}

// End records the result of an attempt in flight.
func (r *Recorder) End(result Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inFlight--
	switch result {
	case ResultLost:
		r.lost++
	case ResultRan:
		r.ran++
	}
}

// Attempts returns the number of attempts begun.
func (r *Recorder) Attempts() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.attempts
}

// Outcome returns whether the request has run. It is not-run only if every attempt
// was not sent or was refused by its backend server, and unknown while an attempt is
// in flight or if one was lost, even when another attempt ran.
func (r *Recorder) Outcome() problem.Outcome {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.inFlight > 0 || r.lost > 0:
		return problem.OutcomeUnknown
	case r.ran > 0:
		return problem.OutcomeRan
	}
	return problem.OutcomeNotRun
}

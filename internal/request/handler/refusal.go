package handler

import (
	"context"
	"net/http"

	"github.com/cockroachdb/errors"

	"example.com/dotterelwell/internal/contract/problem"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/registrar"
	"example.com/dotterelwell/internal/request/admitter"
	"example.com/dotterelwell/internal/request/conductor"
	"example.com/dotterelwell/internal/request/recorder"
	"example.com/dotterelwell/internal/request/relayer"
	"example.com/dotterelwell/internal/version/chooser"
)

const (
	// noServerRetryAfter is the retry delay advised when no server was in service.
	noServerRetryAfter = 5 * clock.Second
	// failureRetryAfter is the retry delay advised after backend servers failed.
	failureRetryAfter = 1 * clock.Second
	// minRetryAfter is the minimum retry delay advised to a request that got no slot.
	minRetryAfter = 1 * clock.Second
)

// refusal converts an error of the conductor into a problem document. The outcome depends
// only on what the recorder has recorded, not on the error.
func (v *exchange) refusal(ask *conductor.ChatRequest, rec *recorder.Recorder, err error) *problem.Document {
	outcome := rec.Outcome()
	switch {
	case chooser.KindOf(err) == chooser.KindSessionWithdrawn:
		return problem.New(problem.TypeWithdrawn, http.StatusConflict, outcome, "%v", err)
	case chooser.KindOf(err) != "":
		return problem.New(problem.TypeNoServer, http.StatusServiceUnavailable, outcome, "%v", err).After(noServerRetryAfter)
	case conductor.Denied(err):
		return problem.New(problem.TypeWithdrawn, http.StatusConflict, outcome, "%v", err)
	}
	if refusal := waitRefusal(outcome, err, v.expectedWait(ask)); refusal != nil {
		return refusal
	}
	switch relayer.KindOf(err) {
	case relayer.KindRejected:
		return problem.New(problem.TypeBadBody, http.StatusBadRequest, outcome, "%v", err)
	case relayer.KindCut:
		return problem.New(problem.TypeAnswerCut, http.StatusBadGateway, outcome, "%v", err)
	case relayer.KindStopped:
		return stoppedRefusal(v.r.Context(), outcome, err)
	}
	return problem.New(problem.TypeBackendFailed, http.StatusBadGateway, outcome, "%v", err).After(failureRetryAfter)
}

// expectedWait returns the shortest expected queue wait among the route's versions, at
// most one minute.
func (v *exchange) expectedWait(ask *conductor.ChatRequest) clock.Millis {
	shortest := clock.Minute
	for _, version := range ask.Route.Versions {
		shortest = min(shortest, v.Conductor.Admitter.ExpectedWait(conductor.QueueName(version.Ref), ask.Priority))
	}
	return shortest
}

// waitRefusal returns the problem document for a request that got no slot at a server, or
// nil for other errors.
func waitRefusal(outcome problem.Outcome, err error, expected clock.Millis) *problem.Document {
	switch {
	case admitter.KindOf(err) == admitter.KindQueueFull, admitter.KindOf(err) == admitter.KindTooLate:
		return problem.New(problem.TypeOverloaded, http.StatusTooManyRequests, outcome, "%v", err).After(max(expected, minRetryAfter))
	case admitter.KindOf(err) == admitter.KindStopping:
		return problem.New(problem.TypeStopping, http.StatusServiceUnavailable, outcome, "%v", err).After(minRetryAfter)
	case admitter.KindOf(err) == admitter.KindEnded:
		return problem.New(problem.TypeDeadline, http.StatusGatewayTimeout, outcome, "%v", err).After(minRetryAfter)
	case registrar.KindOf(err) == registrar.KindNoServer:
		return problem.New(problem.TypeNoServer, http.StatusServiceUnavailable, outcome, "%v", err).After(noServerRetryAfter)
	}
	return nil
}

// stoppedRefusal returns the problem document for a stopped request. It distinguishes a
// caller that has disconnected from a deadline that has passed.
func stoppedRefusal(caller context.Context, outcome problem.Outcome, err error) *problem.Document {
	if errors.Is(caller.Err(), context.Canceled) {
		return problem.New(problem.TypeDeadline, statusClientClosedRequest, outcome, "the caller left")
	}
	return problem.New(problem.TypeDeadline, http.StatusGatewayTimeout, outcome, "%v", err)
}

// statusClientClosedRequest is the status, in logs and metrics, of a request whose caller
// disconnected before the answer.
const statusClientClosedRequest = 499

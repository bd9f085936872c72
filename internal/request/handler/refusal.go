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
	// noServerRetry is when to ask again after no server was in service.
	noServerRetry = 5 * clock.Second
	// failedRetry is when to ask again after backend servers failed.
	failedRetry = 1 * clock.Second
	// minRetry is the shortest advice to an overloaded caller.
	minRetry = 1 * clock.Second
)

// refusal turns an error of the conductor into a problem. Its outcome comes from
// the recorder's evidence alone.
func (v *visit) refusal(ask *conductor.ChatRequest, rec *recorder.Recorder, err error) *problem.Document {
	outcome := rec.Outcome()
	switch {
	case chooser.KindOf(err) == chooser.KindSessionWithdrawn:
		return problem.New(problem.TypeWithdrawn, http.StatusConflict, outcome, "%v", err)
	case chooser.KindOf(err) != "":
		return problem.New(problem.TypeNoServer, http.StatusServiceUnavailable, outcome, "%v", err).After(noServerRetry)
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
		return stopped(v.r.Context(), outcome, err)
	}
	return problem.New(problem.TypeBackendFailed, http.StatusBadGateway, outcome, "%v", err).After(failedRetry)
}

// expectedWait returns the shortest wait among the route's versions.
func (v *visit) expectedWait(ask *conductor.ChatRequest) clock.Millis {
	shortest := clock.Minute
	for _, version := range ask.Route.Versions {
		shortest = min(shortest, v.Conductor.Admitter.ExpectedWait(conductor.QueueName(version.Ref), ask.Priority))
	}
	return shortest
}

// waitRefusal returns the problem for a request that got no slot, or nil for other errors.
func waitRefusal(outcome problem.Outcome, err error, expected clock.Millis) *problem.Document {
	switch {
	case admitter.KindOf(err) == admitter.KindQueueFull, admitter.KindOf(err) == admitter.KindTooLate:
		return problem.New(problem.TypeOverloaded, http.StatusTooManyRequests, outcome, "%v", err).After(max(expected, minRetry))
	case admitter.KindOf(err) == admitter.KindEnded:
		return problem.New(problem.TypeDeadline, http.StatusGatewayTimeout, outcome, "%v", err).After(minRetry)
	case registrar.KindOf(err) == registrar.KindNoServer:
		return problem.New(problem.TypeNoServer, http.StatusServiceUnavailable, outcome, "%v", err).After(noServerRetry)
	}
	return nil
}

// stopped tells a passed deadline from a caller that has left.
func stopped(caller context.Context, outcome problem.Outcome, err error) *problem.Document {
	if errors.Is(caller.Err(), context.Canceled) {
		return problem.New(problem.TypeDeadline, statusCallerLeft, outcome, "the caller left")
	}
	return problem.New(problem.TypeDeadline, http.StatusGatewayTimeout, outcome, "%v", err)
}

// statusCallerLeft marks, in logs and metrics, a request whose caller did not wait.
const statusCallerLeft = 499

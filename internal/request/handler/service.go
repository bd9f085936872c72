package handler

import (
	"context"
	"net/http"
	"strconv"
	"strings"

	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/contract/bill"
	"example.com/dotterelwell/internal/contract/chat"
	"example.com/dotterelwell/internal/contract/claim"
	"example.com/dotterelwell/internal/contract/problem"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/ident"
	"example.com/dotterelwell/internal/machine/registrar"
	"example.com/dotterelwell/internal/request/admitter"
	"example.com/dotterelwell/internal/request/dispatcher"
	"example.com/dotterelwell/internal/request/recorder"
)

// headerReplayed marks the stored answer of an earlier call with the same key.
const headerReplayed = "Dotterelwell-Replayed"

// claimRetryAfter is the retry delay advised when a claim could not be stored or read.
const claimRetryAfter = 2 * clock.Second

// service serves a call to a plain service.
func (v *exchange) service() *problem.Document {
	name := declaration.ServiceName(v.r.PathValue("service"))
	service, found := v.ViewFunc().Service(name)
	if !found || !v.workspace.UsesService(name) {
		return problem.New(problem.TypeUnknownRoute, http.StatusNotFound, problem.OutcomeNotRun, "workspace %q has no service %q", v.workspace.Name, name)
	}
	body, refusal := v.readBody()
	if refusal != nil {
		return refusal
	}
	v.reportStart("service." + string(name))
	priority := v.headers.priority(service.Priority)
	call := &dispatcher.Call{
		Digest: v.digest, Workspace: v.workspace.Name, Service: service,
		Request: v.headers.request, Key: v.callKey(),
		Method: v.r.Method, Path: servicePath(v.r, name), Header: v.r.Header, Body: body,
		Priority: priority, Deadline: v.deadline(priority),
	}
	ctx, cancel := context.WithTimeout(v.r.Context(), (call.Deadline - v.Clock.Now()).Duration())
	defer cancel()
	rec := &recorder.Recorder{}
	reply, err := v.Dispatcher.Do(ctx, call, rec)
	if err != nil {
		return v.serviceRefusal(call, rec, err)
	}
	v.writeReply(call, rec, reply, body)
	return nil
}

// callKey returns the caller's idempotency key or, without one, the request ID, which is
// unique unless the caller reuses it.
func (v *exchange) callKey() ident.Key {
	if v.headers.key != "" {
		return v.headers.key
	}
	return ident.Key(v.headers.request)
}

// servicePath returns the path and query that are sent to the service.
func servicePath(r *http.Request, name declaration.ServiceName) string {
	path := strings.TrimPrefix(r.URL.EscapedPath(), "/services/"+string(name))
	if path == "" {
		path = "/"
	}
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return path
}

func (v *exchange) writeReply(call *dispatcher.Call, rec *recorder.Recorder, reply dispatcher.Reply, body []byte) {
	v.recordBill(bill.Record{
		ID: v.billID(body), Service: call.Service.Name, Attempts: rec.Attempts(), Cost: call.Service.Price,
	})
	h := v.w.Header()
	for name, values := range reply.Header {
		h[name] = values
	}
	h.Set(chat.HeaderAttempts, strconv.Itoa(rec.Attempts()))
	h.Set(chat.HeaderCost, strconv.FormatInt(int64(call.Service.Price), 10))
	if reply.Replayed {
		h.Set(headerReplayed, "true")
	}
	v.summary.Outcome, v.summary.Status = problem.OutcomeRan, reply.Status
	v.w.WriteHeader(reply.Status)
	_, _ = v.w.Write(reply.Body) // a failure means that the caller has disconnected
}

// serviceRefusal converts an error of the dispatcher into a problem document.
func (v *exchange) serviceRefusal(call *dispatcher.Call, rec *recorder.Recorder, err error) *problem.Document {
	outcome := rec.Outcome()
	switch dispatcher.KindOf(err) {
	case dispatcher.KindClaimFailed:
		return problem.New(problem.TypeClaimFailed, http.StatusServiceUnavailable, problem.OutcomeNotRun, "%v", err).After(claimRetryAfter)
	case dispatcher.KindKeyMismatch:
		return problem.New(problem.TypeKeyMismatch, http.StatusUnprocessableEntity, problem.OutcomeNotRun, "%v", err)
	case dispatcher.KindKeyInUse:
		return problem.New(problem.TypeKeyInUse, http.StatusConflict, problem.OutcomeUnknown, "%v; see /v1/requests/%s", err, call.Key).After(failureRetryAfter)
	case dispatcher.KindKeyExpired:
		return problem.New(problem.TypeKeyExpired, http.StatusConflict, problem.OutcomeUnknown, "%v", err)
	case dispatcher.KindAnswerNotKept:
		return problem.New(problem.TypeKeyInUse, http.StatusConflict, problem.OutcomeRan, "%v", err)
	}
	if registrar.KindOf(err) == registrar.KindDenied {
		return problem.New(problem.TypeUnknownRoute, http.StatusNotFound, outcome, "%v", err)
	}
	queue := admitter.QueueName("service." + string(call.Service.Name))
	if refusal := waitRefusal(outcome, err, v.Dispatcher.Admitter.ExpectedWait(queue, call.Priority)); refusal != nil {
		return refusal
	}
	if v.r.Context().Err() != nil {
		return stoppedRefusal(v.r.Context(), outcome, err)
	}
	doc := problem.New(problem.TypeBackendFailed, http.StatusBadGateway, outcome, "%v", err)
	if outcome == problem.OutcomeNotRun {
		doc = doc.After(failureRetryAfter)
	}
	return doc
}

// requestState is the JSON answer to a lookup of a request.
type requestState struct {
	Key       ident.Key       `json:"key"`
	Request   ident.Request   `json:"request"`
	Service   string          `json:"service"`
	Outcome   problem.Outcome `json:"outcome"`
	Status    int             `json:"status,omitempty"`
	Body      string          `json:"body,omitempty"`
	Partial   bool            `json:"partial,omitempty"`
	UpdatedAt clock.Millis    `json:"at-ms"`
	SettledBy string          `json:"settled-by,omitempty"`
}

// lookup answers with the state of a request that may run at most once.
func (v *exchange) lookup() *problem.Document {
	id := ident.Key(v.r.PathValue("id"))
	v.reportStart("requests")
	held, ok, err := v.Dispatcher.Find(v.r.Context(), v.workspace.Name, id)
	if err != nil {
		return problem.New(problem.TypeClaimFailed, http.StatusServiceUnavailable, problem.OutcomeUnknown, "%v", err).After(claimRetryAfter)
	}
	if !ok {
		return problem.New(problem.TypeNotFound, http.StatusNotFound, problem.OutcomeUnknown, "workspace %q has claimed no request %q within the retention", v.workspace.Name, id)
	}
	v.summary.Outcome, v.summary.Status = problem.OutcomeRan, http.StatusOK
	writeJSON(v.w, requestState{
		Key: id, Request: held.Request, Service: held.Service, Outcome: outcomeOfClaim(held.State),
		Status: held.Status, Body: string(held.Body), Partial: held.Partial, UpdatedAt: held.At, SettledBy: held.By,
	})
	return nil
}

func outcomeOfClaim(s claim.State) problem.Outcome {
	switch s {
	case claim.StateRan:
		return problem.OutcomeRan
	case claim.StateReleased:
		return problem.OutcomeNotRun
	}
	return problem.OutcomeUnknown
}

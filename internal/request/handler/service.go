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

// headerReplayed marks the answer of an earlier call with the same key.
const headerReplayed = "Dotterelwell-Replayed"

// claimRetry is when to ask again after the store did not take a claim.
const claimRetry = 2 * clock.Second

// service serves a call of a plain service.
func (v *visit) service() *problem.Document {
	name := declaration.ServiceName(v.r.PathValue("service"))
	service, found := v.ViewFunc().Service(name)
	if !found || !v.workspace.UsesService(name) {
		return problem.New(problem.TypeUnknownRoute, http.StatusNotFound, problem.OutcomeNotRun, "workspace %q has no service %q", v.workspace.Name, name)
	}
	body, refusal := v.readBody()
	if refusal != nil {
		return refusal
	}
	v.begun("service." + string(name))
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
	v.reply(call, rec, reply, body)
	return nil
}

// callKey returns the caller's key, or the request's identifier, which no other
// request has unless the caller repeats it.
func (v *visit) callKey() ident.Key {
	if v.headers.key != "" {
		return v.headers.key
	}
	return ident.Key(v.headers.request)
}

// servicePath returns the path and query as the service sees them.
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

func (v *visit) reply(call *dispatcher.Call, rec *recorder.Recorder, reply dispatcher.Reply, body []byte) {
	v.charge(bill.Record{
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
	v.finished.Outcome, v.finished.Status = problem.OutcomeRan, reply.Status
	v.w.WriteHeader(reply.Status)
	_, _ = v.w.Write(reply.Body) // the caller has left when this fails
}

// serviceRefusal turns an error of the dispatcher into a problem.
func (v *visit) serviceRefusal(call *dispatcher.Call, rec *recorder.Recorder, err error) *problem.Document {
	outcome := rec.Outcome()
	switch dispatcher.KindOf(err) {
	case dispatcher.KindClaimFailed:
		return problem.New(problem.TypeClaimFailed, http.StatusServiceUnavailable, problem.OutcomeNotRun, "%v", err).After(claimRetry)
	case dispatcher.KindKeyMismatch:
		return problem.New(problem.TypeKeyMismatch, http.StatusUnprocessableEntity, problem.OutcomeNotRun, "%v", err)
	case dispatcher.KindKeyInUse:
		return problem.New(problem.TypeKeyInUse, http.StatusConflict, problem.OutcomeUnknown, "%v; see /v1/requests/%s", err, call.Key).After(failedRetry)
	case dispatcher.KindKeyExpired:
		return problem.New(problem.TypeKeyExpired, http.StatusConflict, problem.OutcomeUnknown, "%v", err)
	case dispatcher.KindAnswerNotKept:
		return problem.New(problem.TypeKeyInUse, http.StatusConflict, problem.OutcomeRan, "%v", err)
	}
	if registrar.KindOf(err) == registrar.KindDenied {
		return problem.New(problem.TypeUnknownRoute, http.StatusNotFound, outcome, "%v", err)
	}
	lane := admitter.QueueName("service." + string(call.Service.Name))
	if refusal := waitRefusal(outcome, err, v.Dispatcher.Admitter.ExpectedWait(lane, call.Priority)); refusal != nil {
		return refusal
	}
	if v.r.Context().Err() != nil {
		return stopped(v.r.Context(), outcome, err)
	}
	doc := problem.New(problem.TypeBackendFailed, http.StatusBadGateway, outcome, "%v", err)
	if outcome == problem.OutcomeNotRun {
		doc = doc.After(failedRetry)
	}
	return doc
}

// found is the answer to the question what became of a request.
type found struct {
	Key      ident.Key       `json:"key"`
	Request  ident.Request   `json:"request"`
	Service  string          `json:"service"`
	Outcome  problem.Outcome `json:"outcome"`
	Status   int             `json:"status,omitempty"`
	Body     string          `json:"body,omitempty"`
	Partial  bool            `json:"partial,omitempty"`
	Since    clock.Millis    `json:"at-ms"`
	Operator string          `json:"settled-by,omitempty"`
}

// lookup tells what became of a request that may not be repeated.
func (v *visit) lookup() *problem.Document {
	id := ident.Key(v.r.PathValue("id"))
	v.begun("requests")
	held, ok, err := v.Dispatcher.Find(v.r.Context(), v.workspace.Name, id)
	if err != nil {
		return problem.New(problem.TypeClaimFailed, http.StatusServiceUnavailable, problem.OutcomeUnknown, "%v", err).After(claimRetry)
	}
	if !ok {
		return problem.New(problem.TypeNotFound, http.StatusNotFound, problem.OutcomeUnknown, "workspace %q has claimed no request %q within the retention", v.workspace.Name, id)
	}
	v.finished.Outcome, v.finished.Status = problem.OutcomeRan, http.StatusOK
	writeJSON(v.w, found{
		Key: id, Request: held.Request, Service: held.Service, Outcome: outcomeOf(held.State),
		Status: held.Status, Body: string(held.Body), Partial: held.Partial, Since: held.At, Operator: held.By,
	})
	return nil
}

func outcomeOf(s claim.State) problem.Outcome {
	switch s {
	case claim.StateRan:
		return problem.OutcomeRan
	case claim.StateReleased:
		return problem.OutcomeNotRun
	}
	return problem.OutcomeUnknown
}

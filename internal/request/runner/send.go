package runner

import (
	"cmp"
	"context"
	"net/http"
	"os"
	"strconv"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"example.com/dotterelwell/internal/contract/message"
	"example.com/dotterelwell/internal/contract/routing"
	"example.com/dotterelwell/internal/link/inspector"
	"example.com/dotterelwell/internal/link/pathfinder"
	"example.com/dotterelwell/internal/link/splitter"
	"example.com/dotterelwell/internal/link/transporter"
	"example.com/dotterelwell/internal/link/tunneler"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/fault"
	"example.com/dotterelwell/internal/machine/ident"
	"example.com/dotterelwell/internal/machine/roster"
	"example.com/dotterelwell/internal/request/bufferer"
	"example.com/dotterelwell/internal/request/observer"
)

// responseMargin is subtracted from a server's time budget, so that its answer arrives
// before the deadline.
const responseMargin clock.Millis = 5

// activeAttempt is the state of one attempt at one server.
type activeAttempt struct {
	*execution
	slot        *roster.Slot
	via         ident.Instance // the peer through which the connection goes; empty for a direct one
	answer      *transporter.Answer
	head        message.Head
	started     clock.Millis
	headLatency clock.Millis
	// eventsReceived is the number of events of this attempt. sampleStart is the arrival time
	// of the event that starts the current sample of the inter-event latency.
	eventsReceived int
	sampleStart    clock.Millis
	// lastEventAt is when the last event had been passed on to the caller, and idleBytes holds the comments and
	// empty lines that followed it.
	lastEventAt clock.Millis
	idleBytes   []byte
	// observed is the attempt's record at the Observer. attemptCtx bounds the attempt once the request
	// is being sent; cancel ends it.
	observed   *observer.Attempt
	attemptCtx context.Context
	cancel     context.CancelFunc
	complete   bool // the whole answer has been read
}

// verdict classifies the result of sending a request.
type verdict int

const (
	// verdictForward means that the answer can be forwarded to the caller.
	verdictForward verdict = iota
	// verdictUnsent means that no byte of the request was sent.
	verdictUnsent
	// verdictNotRun means that the server stated that it has not run the request.
	verdictNotRun
	// verdictLost means that the request may have run and no usable answer came.
	verdictLost
	// verdictError means that the server answered with a 5xx status.
	verdictError
)

// send sends the request to the slot's server and reads the head of the answer. fresh asks
// for a new connection; headTimeout bounds the wait for the head, zero for no bound.
func (x *execution) send(slot *roster.Slot, fresh bool, headTimeout clock.Millis) (*activeAttempt, verdict, error) {
	t := &activeAttempt{execution: x, slot: slot, started: x.Clock.Now()}
	reportFirstByte := t.reportStart()
	// After a failed attempt, and for a probe, a new connection shows that the server is up.
	call := transporter.Call{Address: slot.Server.Address, RequestFunc: t.encode, Fresh: fresh || x.attemptFailed || len(x.probed) > 0, HeadTimeout: headTimeout}
	if x.MaxIdleConnsFunc != nil {
		call.MaxIdle = x.MaxIdleConnsFunc(slot.Server.Service)
	}
	call.OnInterim = func(resp *http.Response) {
		if head := x.DecodeFunc(resp); head.Leaving && (head.RequestID == "" || head.RequestID == x.req.ID) {
			slot.MarkLeaving()
			if x.OnPeerAdvised != nil && t.via != "" {
				x.OnPeerAdvised(t.via)
			}
		}
	}
	t.attemptCtx, t.cancel = x.attemptContext()
	giveUp := t.cancel
	if x.route.Delivery == routing.DeliveryOnce {
		giveUp = nil
	}
	connectCtx := t.attemptCtx
	if !x.repeatable() {
		call.SentContext = t.attemptCtx
		unsent, end := context.WithCancel(x.ctx)
		defer end()
		defer context.AfterFunc(t.attemptCtx, end)() // an attempt that is given up doesn't connect any more
		connectCtx = tunneler.WithoutCut(unsent)
	}
	t.observed = x.Observer.Start(slot.Server.Incarnation(), x.work, giveUp)
	answer, err := x.Transporter.Send(connectCtx, call)
	t.headLatency = x.Clock.Now() - t.started
	if err != nil {
		reportFirstByte(0, false)
	}
	if err != nil && transporter.KindOf(err) == transporter.KindNotSent {
		return t, verdictUnsent, err
	}
	x.sends++
	if x.OnSent != nil && x.req.Session != "" {
		x.OnSent(x.requestHash, slot.Server.Service, slot)
	}
	if err != nil {
		x.mayHaveRun = true
		t.reportOverrun(err)
		return t, verdictLost, err
	}
	t.answer, t.head = answer, x.DecodeFunc(answer.Response)
	if answer.Reused() && t.head.RequestID == "" {
		t.head.NotRun = false // a server may repeat an earlier refusal
	}
	v := x.classify(&t.head)
	if v == verdictForward {
		t.observed.Begin()
		x.reportBegin()
	}
	t.recordAdvice()
	if v == verdictForward && x.route.CacheAffine {
		waited := x.Predictor.ObservePrefill(x.requestedModel(), slot.Work(), t.headLatency)
		x.waits.Observe(x.service, waited, x.Clock.Now())
	}
	reportFirstByte(t.headLatency, v == verdictForward)
	return t, v, nil
}

// attemptContext returns the context of an attempt from the moment at which the request is being sent. A request that may run
// only once then runs to its end, also if the caller leaves: cancelling it would not undo what has been done.
func (x *execution) attemptContext() (context.Context, context.CancelFunc) {
	deadline, limited := x.ctx.Deadline()
	if x.repeatable() || !limited {
		return context.WithCancel(x.ctx)
	}
	return context.WithDeadline(context.WithoutCancel(x.ctx), deadline)
}

// reportBegin calls OnBegin at the first answer that begins.
func (x *execution) reportBegin() {
	if x.OnBegin == nil || x.workspace == nil || x.begun.Swap(true) {
		return
	}
	x.OnBegin(x.workspace.Name)
}

// encode returns the request for a connection that is open. The time that it took to connect is no
// longer left.
func (t *activeAttempt) encode(via ident.Instance) *http.Request {
	t.via = via
	a := message.Attempt{
		Request: t.req, Server: t.slot.Server, Model: t.model, After: t.lastEventID,
		Timeout: t.deadline - t.Clock.Now() - responseMargin, Urgency: t.urgency(),
		CopyFrom: t.slot.CopyFrom,
	}
	if t.workspace != nil {
		a.Workspace = t.workspace.Name
	}
	return t.EncodeFunc(a)
}

// recordAdvice records what the head of the answer says about its server. A server that wants no
// more requests means the instance that it sees, which is the peer if there is one.
func (t *activeAttempt) recordAdvice() {
	status := adviceOf(&t.head, t.req.ID)
	status.ThroughPeer = t.via != ""
	t.slot.RecordHead(status)
	if t.OnPeerAdvised != nil && t.via != "" && (status.Leaving || status.RetryAfter > 0) {
		t.OnPeerAdvised(t.via)
	}
}

// reportStart calls OnAttemptStart, except for an attempt after a failed one, whose latency
// says nothing about the server.
func (t *activeAttempt) reportStart() (reportFirstByte func(firstByte clock.Millis, found bool)) {
	if t.OnAttemptStart == nil || t.attemptFailed {
		return func(clock.Millis, bool) {}
	}
	return t.OnAttemptStart(t.attempt())
}

func (t *activeAttempt) attempt() Attempt {
	server := t.slot.Server
	return Attempt{Route: t.route, Service: server.Service, Release: server.Release, Model: t.requestedModel(), Server: server.Address}
}

// classify returns the verdict for the head of an answer and records whether a server may
// have run the request.
func (x *execution) classify(h *message.Head) verdict {
	switch {
	case !h.BelongsTo(x.req.ID):
		x.mayHaveRun = true
		return verdictLost
	case h.NotRun:
		return verdictNotRun
	}
	x.mayHaveRun = true
	switch {
	case !h.Authentic:
		return verdictLost
	case h.Status >= 500:
		return verdictError
	}
	return verdictForward
}

// adviceOf returns what the head of an answer says about the state of its server. It returns
// no advice for an answer to another request, or a misdirected one, which comes from another
// server.
func adviceOf(h *message.Head, id ident.Request) roster.ServerStatus {
	if !h.BelongsTo(id) || h.Misdirected {
		return roster.ServerStatus{}
	}
	return roster.ServerStatus{Accepted: !h.NotRun, Leaving: h.Leaving, RetryAfter: h.RetryAfter, RateLimit: h.RateLimit, Brittleness: h.Brittleness, Rejected: h.NotRun, Served: h.Authentic && h.OK() && !h.NotRun}
}

// resultByVerdict maps each verdict to the result that is reported to the roster.
var resultByVerdict = map[verdict]roster.Result{
	verdictForward: roster.ResultOK,
	verdictUnsent:  roster.ResultUnreachable,
	verdictNotRun:  roster.ResultNotRun,
	verdictLost:    roster.ResultLost,
	verdictError:   roster.ResultError,
}

// end closes the answer, releases the slot and reports the result of the attempt.
func (t *activeAttempt) end(result roster.Result, detail string, err error) {
	if t.answer != nil {
		t.answer.Close()
	}
	if result != roster.ResultOK && t.givenUp(result) || pathfinder.KindOf(err) == pathfinder.KindNoPath {
		result = roster.ResultAbandoned // it says nothing about the server
	}
	if t.head.Misdirected {
		result, detail = roster.ResultUnreachable, "misdirected"
	}
	t.observed.End(t.observedEnd(result, err))
	if t.overtaken(result) {
		result, detail = roster.ResultLost, "silent"
	}
	t.cancel()
	t.slot.Release(result)
	t.log.add(attemptRecord{server: t.slot.Server.ID, model: t.model, result: result, detail: detail, via: t.via, headLatency: t.headLatency, took: t.Clock.Now() - t.started})
	if t.OnAttemptEnd != nil {
		t.OnAttemptEnd(AttemptOutcome{Attempt: t.attempt(), Result: result, Via: t.via, AfterFailure: t.attemptFailed})
	}
	t.execution.probeLost = t.execution.probeLost || t.sends > 0 && (result == roster.ResultLost || result == roster.ResultAbandoned)
	t.execution.attemptFailed = t.execution.attemptFailed || result == roster.ResultError || result == roster.ResultLost
}

// givenUp reports whether the attempt ended because this instance or the caller gave it up. The caller can do so until the request
// is sent, or if it may run again.
func (t *activeAttempt) givenUp(result roster.Result) bool {
	return t.attemptCtx.Err() != nil || result == roster.ResultUnreachable && t.ctx.Err() != nil
}

// overtaken reports whether the attempt was given up because one that started hedgeDelay later has answered.
func (t *activeAttempt) overtaken(result roster.Result) bool {
	return result == roster.ResultAbandoned && t.answered != nil && t.answered.Load() && t.Clock.Now()-t.started >= t.hedgeDelay()
}

// observedEnd classifies the end of an attempt for the Observer. err is the error that ended it.
func (t *activeAttempt) observedEnd(result roster.Result, err error) observer.End {
	switch {
	case result == roster.ResultOK && t.complete:
		return observer.EndComplete
	case result == roster.ResultLost && transporter.KindOf(err) == transporter.KindStale:
		return observer.EndStale
	case result == roster.ResultLost && isBroken(err):
		return observer.EndBroken
	}
	return observer.EndOther
}

// isBroken reports whether an error means that the server's end of the connection was closed before
// the end of the answer.
func isBroken(err error) bool {
	switch {
	case err == nil, exceededLimit(err) != "", errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, errEventOrder), errors.Is(err, errEventTimeout):
		return false
	}
	kind := transporter.KindOf(err)
	return kind == "" || kind == transporter.KindLost
}

func (t *activeAttempt) describe(err error) string {
	if err != nil {
		return string(transporter.KindOf(err))
	}
	return strconv.Itoa(t.head.Status)
}

// maxAnswerBytes bounds an answer that is buffered whole.
const maxAnswerBytes = 16 << 20

// body reads the whole answer body, which stays in memory until the request ends.
func (t *activeAttempt) body() ([]byte, error) {
	body, release, err := t.Bufferer.Read(t.answer, t.answer.ContentLength, maxAnswerBytes)
	if err != nil {
		t.reportOverrun(err)
		return nil, err
	}
	t.bodyReleases = append(t.bodyReleases, release)
	return body, nil
}

// reportOverrun logs an answer that exceeds a limit and calls OnOverrun. It ignores other
// errors.
func (t *activeAttempt) reportOverrun(err error) {
	bound := exceededLimit(err)
	if bound == "" {
		return
	}
	klog.InfoS("Answer exceeds a limit", "request", t.req.ID, "server", t.slot.Server.ID, "address", t.slot.Server.Address, "bound", bound, "events", t.eventsReceived, "err", err)
	if t.OnOverrun != nil {
		t.OnOverrun(bound)
	}
}

// exceededLimit returns the name of the limit that an answer exceeded, or "" for another
// error.
func exceededLimit(err error) string {
	if errors.Is(err, errTooManyEvents) {
		return "events"
	}
	return cmp.Or(string(inspector.KindOf(err)), string(bufferer.KindOf(err)), string(fault.KindOf[splitter.Kind](err)))
}

// excludeServer keeps the request from being sent to a server again.
func (x *execution) excludeServer(id ident.Server) { x.excluded = append(x.excluded, id) }

// forward passes a whole answer to the caller.
func (x *execution) forward(head *message.Head, body []byte) *message.Refusal {
	if err := x.sink.CompleteFunc(head, body); err != nil {
		return x.refuse(message.KindCallerGone, err)
	}
	return nil
}

// forwardSaved forwards the saved 5xx answer of a server if there is one, and otherwise
// returns the refusal. A stream that has begun can't be replaced by a saved answer.
func (x *execution) forwardSaved(refusal *message.Refusal) *message.Refusal {
	if x.savedHead == nil || x.streamStarted || refusal != nil && refusal.Kind == message.KindCallerGone {
		return refusal
	}
	return x.forward(x.savedHead, x.savedBody)
}

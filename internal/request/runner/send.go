package runner

import (
	"cmp"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"example.com/dotterelwell/internal/contract/message"
	"example.com/dotterelwell/internal/contract/routing"
	"example.com/dotterelwell/internal/link/inspector"
	"example.com/dotterelwell/internal/link/splitter"
	"example.com/dotterelwell/internal/link/transporter"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/fault"
	"example.com/dotterelwell/internal/machine/ident"
	"example.com/dotterelwell/internal/machine/roster"
	"example.com/dotterelwell/internal/request/bufferer"
)

// budgetMargin is kept back from the time that a server is given, for the way back.
const budgetMargin clock.Millis = 5

// try is one attempt at one server.
type try struct {
	*run
	slot    *roster.Slot
	answer  *transporter.Answer
	head    message.Head
	started clock.Millis
	first   clock.Millis
	// events is the number of events that came, and paceFrom when the first of those came
	// of which the pace is not yet told.
	events   int
	paceFrom clock.Millis
	// lastEvent is when the last event came, and idle what came after it that is none.
	lastEvent clock.Millis
	idle      []byte
}

// verdict tells what follows from an attempt.
type verdict int

const (
	// verdictPass means that the answer can be passed on.
	verdictPass verdict = iota
	// verdictUnsent means that nothing was sent.
	verdictUnsent
	// verdictNotRun means that the server has not run the request.
	verdictNotRun
	// verdictLost means that the request may have run and its answer is of no use.
	verdictLost
	// verdictError means that the answer is the server's own failure.
	verdictError
)

// begin sends the request to a server and reads the head of the answer.
func (x *run) begin(slot *roster.Slot, fresh bool, headTimeout clock.Millis) (*try, verdict, error) {
	t := &try{run: x, slot: slot, started: x.Clock.Now()}
	a := message.Attempt{
		Request: x.req, Server: slot.Server, Model: x.model, After: x.after,
		Budget: x.deadline - t.started - budgetMargin, Urgency: x.urgency(),
	}
	if x.workspace != nil {
		a.Workspace = x.workspace.Name
	}
	heard := t.wait()
	call := transporter.Call{Address: slot.Server.Address, Request: x.EncodeFunc(a), Fresh: fresh, HeadTimeout: headTimeout}
	if x.IdleFunc != nil {
		call.MaxIdle = x.IdleFunc(slot.Server.Service)
	}
	call.OnInterim = func(resp *http.Response) {
		if head := x.DecodeFunc(resp); head.Leaving && (head.Echo == "" || head.Echo == x.req.ID) {
			slot.MarkLeaving()
		}
	}
	answer, err := x.Transporter.Send(x.ctx, call)
	t.first = x.Clock.Now() - t.started
	if err != nil {
		heard(0, false)
	}
	if err != nil && transporter.KindOf(err) == transporter.KindNotSent {
		return t, verdictUnsent, err
	}
	x.sends++
	if x.OnSent != nil && x.req.Session != "" {
		x.OnSent(x.draw, slot.Server.Service, slot)
	}
	if err != nil {
		x.mayRun = true
		t.noteOverrun(err)
		return t, verdictLost, err
	}
	t.answer, t.head = answer, x.DecodeFunc(answer.Response)
	v := x.judge(&t.head)
	slot.RecordHead(adviceOf(&t.head, x.req.ID))
	if v == verdictPass && x.route.CacheAffine {
		x.Speedometer.Observe(x.servedModel(), slot.Work(), t.first)
	}
	heard(t.first, v == verdictPass)
	return t, v, nil
}

// wait tells that the server is being asked. An attempt after a failed one says nothing
// about the server.
func (t *try) wait() (heard func(firstByte clock.Millis, found bool)) {
	if t.OnWait == nil || t.failed {
		return func(clock.Millis, bool) {}
	}
	return t.OnWait(t.attempt())
}

func (t *try) attempt() Attempt {
	server := t.slot.Server
	return Attempt{Route: t.route, Service: server.Service, Release: server.Release, Model: t.servedModel()}
}

// judge sorts the head of an answer.
func (x *run) judge(h *message.Head) verdict {
	switch {
	case !h.Answers(x.req.ID):
		x.mayRun = true
		return verdictLost
	case h.NotRun:
		return verdictNotRun
	}
	x.mayRun = true
	switch {
	case !h.Authentic:
		return verdictLost
	case h.Status >= 500:
		return verdictError
	}
	return verdictPass
}

// adviceOf returns what the head of an answer to a request says about its server. A
// misdirected one comes from another server.
func adviceOf(h *message.Head, id ident.Request) roster.ServerStatus {
	if !h.Answers(id) || h.Misdirected {
		return roster.ServerStatus{}
	}
	return roster.ServerStatus{Accepted: !h.NotRun, Leaving: h.Leaving, RetryAfter: h.RetryAfter}
}

// results gives each verdict what it says of the server.
var results = map[verdict]roster.Result{
	verdictPass:   roster.ResultOK,
	verdictUnsent: roster.ResultUnreachable,
	verdictNotRun: roster.ResultNotRun,
	verdictLost:   roster.ResultLost,
	verdictError:  roster.ResultError,
}

// end closes the attempt.
func (t *try) end(result roster.Result, detail string) {
	if t.answer != nil {
		t.answer.Close()
	}
	if result != roster.ResultOK && t.ctx.Err() != nil {
		result = roster.ResultAbandoned
	}
	if t.head.Misdirected {
		result, detail = roster.ResultUnreachable, "misdirected"
	}
	t.slot.Release(result)
	t.log.add(attempt{server: t.slot.Server.ID, model: t.model, result: result, detail: detail, first: t.first, took: t.Clock.Now() - t.started})
	if t.OnAnswer != nil {
		t.OnAnswer(Outcome{Attempt: t.attempt(), Result: result, Again: t.failed})
	}
	t.run.failed = t.run.failed || result == roster.ResultError || result == roster.ResultLost
}

func (t *try) describe(err error) string {
	if err != nil {
		return string(transporter.KindOf(err))
	}
	return strconv.Itoa(t.head.Status)
}

// maxAnswerBytes bounds an answer that is held whole.
const maxAnswerBytes = 16 << 20

// body reads the whole answer, which is held until the request ends.
func (t *try) body() ([]byte, error) {
	body, release, err := t.Bufferer.Read(t.answer, t.answer.ContentLength, maxAnswerBytes)
	if err != nil {
		t.noteOverrun(err)
		return nil, err
	}
	t.releases = append(t.releases, release)
	return body, nil
}

// noteOverrun logs and counts an answer that exceeds a bound.
func (t *try) noteOverrun(err error) {
	bound := overrunOf(err)
	if bound == "" {
		return
	}
	klog.InfoS("Answer exceeds a bound", "request", t.req.ID, "server", t.slot.Server.ID, "address", t.slot.Server.Address, "bound", bound, "events", t.events, "err", err)
	if t.OnOverrun != nil {
		t.OnOverrun(bound)
	}
}

// overrunOf returns the bound that an answer exceeded, or "" for another error.
func overrunOf(err error) string {
	if errors.Is(err, errEndless) {
		return "events"
	}
	return cmp.Or(string(inspector.KindOf(err)), string(bufferer.KindOf(err)), string(fault.KindOf[splitter.Kind](err)))
}

// urgency ranks a request among those of a server, from 0 to 9: the priority of its
// workspace goes before that of its route.
func (x *run) urgency() int {
	priority := x.route.Priority
	if x.workspace != nil && x.workspace.HasPriority {
		priority = x.workspace.Priority
	}
	return min(max(priority, 0), 9)
}

// whole runs a request whose answer is passed on as a whole.
func (x *run) whole() *message.Refusal {
	once := x.route.Delivery == routing.DeliveryOnce
	unsent := 0
	for {
		slot, refusal := x.acquire()
		if refusal != nil {
			return x.passSaved(refusal)
		}
		t, v, err := x.begin(slot, once, x.headTimeout())
		var body []byte
		if v == verdictPass || v == verdictError {
			var bodyErr error
			if body, bodyErr = t.body(); bodyErr != nil {
				v, err = verdictLost, bodyErr
			}
		}
		t.end(results[v], t.describe(err))
		if v == verdictPass {
			return x.pass(&t.head, body)
		}
		if x.ctx.Err() != nil {
			return x.passSaved(x.ended())
		}
		switch v {
		case verdictUnsent:
			if unsent++; unsent >= maxUnsent {
				return x.passSaved(x.refuseUnserved(err))
			}
			x.skip(slot.Server.ID)
			continue
		case verdictError:
			x.saved, x.savedBody = &t.head, body
			if once {
				return x.passSaved(nil)
			}
		case verdictLost:
			if once {
				return x.refuseUnserved(err)
			}
		}
		x.skip(slot.Server.ID)
		if !x.maySendAgain() {
			return x.passSaved(x.refuseUnserved(err))
		}
	}
}

// skip keeps a server from being used again for this request.
func (x *run) skip(id ident.Server) { x.exclude = append(x.exclude, id) }

// hedgeFactor is the multiple of the target after which an answer that has not begun
// is asked for elsewhere, and minHedge the least such time.
const (
	hedgeFactor               = 5
	hedgeDivisor              = 2
	minHedge     clock.Millis = 200
)

// headTimeout bounds the wait for an answer while another server may be asked; zero
// for no bound but the deadline.
func (x *run) headTimeout() clock.Millis {
	if x.route.Delivery != routing.DeliveryIdempotent || x.sends+1 >= x.route.MaxAttempts {
		return 0
	}
	return max(x.route.FirstByteTarget*hedgeFactor/hedgeDivisor, minHedge)
}

// pass passes a whole answer on.
func (x *run) pass(head *message.Head, body []byte) *message.Refusal {
	if err := x.sink.WholeFunc(head, body); err != nil {
		return x.refuse(message.KindCallerGone, err)
	}
	return nil
}

// passSaved passes on a server's own failure if there is one, and refuses otherwise.
// Nothing can replace a stream that has begun.
func (x *run) passSaved(refusal *message.Refusal) *message.Refusal {
	if x.saved == nil || x.begun || refusal != nil && refusal.Kind == message.KindCallerGone {
		return refusal
	}
	return x.pass(x.saved, x.savedBody)
}

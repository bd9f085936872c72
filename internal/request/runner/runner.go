// Package runner runs one request: it finds its route and workspace, sends it to
// backend servers until one gives a whole answer, and passes that on.
//
// A request that may run once only is sent to one server, and to another only if the
// first has certainly not run it. Streams that may be resumed continue at another
// server after the last event that was passed on.
package runner

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/contract/backend"
	"example.com/dotterelwell/internal/contract/message"
	"example.com/dotterelwell/internal/contract/routing"
	"example.com/dotterelwell/internal/link/transporter"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/ident"
	"example.com/dotterelwell/internal/machine/roster"
	"example.com/dotterelwell/internal/request/bufferer"
	"example.com/dotterelwell/internal/request/cascader"
	"example.com/dotterelwell/internal/request/retrier"
	"example.com/dotterelwell/internal/request/speedometer"
	"example.com/dotterelwell/internal/zone/curator"
)

// Runner runs requests. Set the exported fields before use.
type Runner struct {
	Clock       *clock.Clock
	ViewFunc    func() *curator.View
	Roster      *roster.Roster
	Transporter *transporter.Transporter
	Cascader    *cascader.Cascader
	Speedometer *speedometer.Speedometer
	Bufferer    *bufferer.Bufferer
	// EncodeFunc and DecodeFunc translate to and from the servers' protocol.
	EncodeFunc func(a message.Attempt) *http.Request
	DecodeFunc func(resp *http.Response) message.Head
	// CertainFunc reports whether the configuration at hand is known to be the newest.
	CertainFunc func() bool
	// StartedFunc reports whether the instance has read all that decides where requests may
	// go; nil means that it has.
	StartedFunc func() bool
	// StoppingFunc reports whether a new request that may last so long must be refused,
	// because the instance is about to stop.
	StoppingFunc func(timeout clock.Millis) bool
	// SideFunc chooses between the releases of a roll-out.
	SideFunc func(order backend.Rollout, session string, draw uint64) (side roster.Side, strict bool)
	// BudgetFunc returns the budget of repeated sends to a service.
	BudgetFunc func(service declaration.ServiceName) *retrier.Retrier
	// IdleFunc, when set, returns how many idle connections this instance may keep to each
	// server of a service, as transporter.Call.MaxIdle says.
	IdleFunc func(service declaration.ServiceName) int
	// OnSent, when set, is told of each send of a session's request.
	OnSent func(draw uint64, service declaration.ServiceName, slot *roster.Slot)
	// OnAnswer, when set, is told how each attempt ended.
	OnAnswer func(outcome Outcome)
	// OnWait, when set, is told that a server was asked. It returns a function that is told
	// of the time to the first byte, or of none.
	OnWait func(attempt Attempt) (heard func(firstByte clock.Millis, found bool))
	// OnPace, when set, is told of the mean time between the first events of a stream.
	OnPace func(attempt Attempt, gap clock.Millis)
	// OnOverrun, when set, is told of the bound that an answer exceeded.
	OnOverrun func(bound string)
	// OnEnd, when set, is told of each request that ended.
	OnEnd func(end End)

	freed   notifier
	started atomic.Bool
}

// Outcome tells how one attempt ended.
type Outcome struct {
	Attempt
	Result roster.Result
	// Again is set when an earlier attempt of the request has failed.
	Again bool
}

// Attempt names the release and the model that an attempt of a request asks.
type Attempt struct {
	Route   *routing.Route
	Service declaration.ServiceName
	Release backend.Release
	Model   declaration.ModelName
}

// End tells how a request ended.
type End struct {
	Route     string
	Workspace declaration.WorkspaceName
	// Refusal is empty for a request that got a server's answer.
	Refusal message.Kind
	Took    clock.Millis
}

// Freed wakes requests that wait for a server.
func (r *Runner) Freed() { r.freed.notify() }

// run is the state of one request.
type run struct {
	*Runner
	ctx  context.Context
	req  *message.Request
	sink *message.Sink

	view      *curator.View
	route     *routing.Route
	workspace *routing.Workspace
	service   declaration.ServiceName
	draw      uint64
	deadline  clock.Millis
	model     declaration.ModelName

	sends   int  // to servers, whether they ran the request or not
	failed  bool // an attempt that was sent has failed
	exclude []ident.Server
	mayRun  bool // a server may have run the request
	log     attemptLog
	// releases give back the memory of the bodies that are held.
	releases []func()
	// saved is a server's own failure, which is passed on if nothing better comes.
	saved     *message.Head
	savedBody []byte
	events    int  // of a stream, that were passed on
	begun     bool // the start of a stream has been passed on
	after     string
}

// Serve runs a request. It returns nil or a *message.Refusal.
func (r *Runner) Serve(ctx context.Context, req *message.Request, sink *message.Sink) error {
	x := &run{Runner: r, ctx: ctx, req: req, sink: sink, view: r.ViewFunc(), after: req.After}
	err := x.serve()
	for _, release := range x.releases {
		release()
	}
	x.finish(err)
	if err != nil {
		return err
	}
	return nil
}

func (x *run) serve() *message.Refusal {
	x.awaitStart()
	if refusal := x.resolve(x.view); refusal != nil {
		return refusal
	}
	if x.StoppingFunc != nil && x.StoppingFunc(x.route.Timeout) {
		return x.refuse(message.KindStopping, nil)
	}
	x.draw = drawOf(x.req)
	x.service = x.route.ServiceFor(x.draw)
	x.BudgetFunc(x.service).Earn()
	x.deadline = x.req.Arrived + x.route.Timeout
	if x.req.Patience > 0 {
		x.deadline = min(x.deadline, x.req.Arrived+x.req.Patience)
	}
	if x.route.Delivery == routing.DeliveryOnce || x.route.Delivery == routing.DeliveryStream && !x.route.Resumable {
		x.ctx = context.WithoutCancel(x.ctx) // it runs to its end even if the caller leaves
	}
	ctx, cancel := context.WithDeadline(x.ctx, time.Now().Add((x.deadline - x.Clock.Now()).Duration()))
	defer cancel()
	x.ctx = ctx
	if x.route.Delivery == routing.DeliveryStream {
		return x.stream()
	}
	return x.whole()
}

const (
	// startPatience is how long a request waits until the instance that it came to has read
	// the store for the first time, which takes about 100 ms.
	startPatience clock.Millis = 300
	// startPause is the pause between two looks.
	startPause clock.Millis = 10
)

// awaitStart waits until the instance knows what the store holds, if it has just started.
// A caller that is refused at the start of the whole fleet may have no repeat left.
func (x *run) awaitStart() {
	if x.hasStarted() {
		return
	}
	until := x.Clock.Now() + startPatience
	if x.req.Patience > 0 {
		until = min(until, x.Clock.Now()+x.req.Patience/3)
	}
	for !x.hasStarted() && x.Clock.Now() < until {
		if x.Clock.Sleep(x.ctx, startPause) != nil {
			break
		}
	}
	x.view = x.ViewFunc()
}

// hasStarted reports whether the instance has started, which it does once.
func (r *Runner) hasStarted() bool {
	if r.started.Load() {
		return true
	}
	if r.StartedFunc != nil && !r.StartedFunc() {
		return false
	}
	r.started.Store(true)
	return true
}

// resolve finds the route and the workspace, and checks that they allow the request.
func (x *run) resolve(view *curator.View) *message.Refusal {
	if view.Config == nil {
		return x.refuse(message.KindNoConfig, nil)
	}
	route := view.Config.Match(x.req.Host, x.req.Path)
	if route == nil {
		return x.refuseUnknown(message.KindNoRoute)
	}
	var workspace *routing.Workspace
	if view.Config.NeedsKey(route) {
		workspace = view.Config.WorkspaceOf(x.req.Key)
		if workspace == nil {
			return x.refuseUnknown(message.KindUnauthorized)
		}
	}
	x.view, x.route, x.workspace = view, route, workspace
	return nil
}

// refuseUnknown refuses for good only if the configuration is known to be the newest.
func (x *run) refuseUnknown(kind message.Kind) *message.Refusal {
	if x.CertainFunc != nil && !x.CertainFunc() {
		return x.refuse(message.KindUncertain, errors.Newf("%s by a configuration that may be old", kind))
	}
	return x.refuse(kind, nil)
}

// check is the last check before a send. A newer configuration may have moved the
// route to another service, or dropped the route or key.
func (x *run) check(view *curator.View) error {
	if view == x.view || view.Config == x.view.Config {
		return nil
	}
	timeout := x.route.Timeout
	if refusal := x.resolve(view); refusal != nil {
		return refusal
	}
	if x.route.Timeout != timeout {
		klog.V(1).InfoS("Time-out changed while the request waits", "request", x.req.ID, "old-ms", timeout, "new-ms", x.route.Timeout)
	}
	if service := x.route.ServiceFor(x.draw); service != x.service {
		x.service = service
		return errMoved
	}
	return nil
}

// errMoved means that a request's route leads to another service now.
var errMoved = errors.New("the route leads to another service")

const (
	// retryBase is the Retry-After of refusals that do not know better.
	retryBase clock.Millis = 300
	// stoppingRetry is the Retry-After of an instance that is about to stop: another one
	// answers at once.
	stoppingRetry clock.Millis = 50
)

func (x *run) refuse(kind message.Kind, err error) *message.Refusal {
	refusal := &message.Refusal{Op: "serve request", Kind: kind, Err: err, RetryAfter: retryBase}
	switch kind {
	case message.KindStopping:
		refusal.RetryAfter = stoppingRetry
	case message.KindOverloaded:
		refusal.RetryAfter = max(retryBase, x.reopensIn())
	}
	return refusal
}

// refuseUnserved ends a request that got no answer by what may have become of it.
func (x *run) refuseUnserved(err error) *message.Refusal {
	switch {
	case x.begun:
		return x.refuse(message.KindBroken, err)
	case x.Clock.Now() >= x.deadline && x.mayRun:
		return x.refuse(message.KindTimeout, err)
	case x.mayRun:
		return x.refuse(message.KindFailed, err)
	}
	return x.refuse(message.KindOverloaded, err)
}

// maxUnsent bounds the servers that a request is offered to without being sent.
const maxUnsent = 4

// acquire takes a slot, waiting a while for one where none is free.
func (x *run) acquire() (*roster.Slot, *message.Refusal) {
	waitUntil := x.Clock.Now() + x.patience()
	for {
		freed := x.freed.wait()
		slot, err := x.Roster.Acquire(x.wantFor(x.servedModel()))
		if err == nil {
			return slot, nil
		}
		var refusal *message.Refusal
		switch {
		case errors.Is(err, errMoved):
			continue
		case errors.As(err, &refusal):
			return nil, refusal
		}
		left := waitUntil - x.Clock.Now()
		if left <= 0 || roster.KindOf(err) == roster.KindPaused && x.reopensIn() > left {
			return nil, x.refuseWaiting(err)
		}
		timer := time.NewTimer(min(left, recheckSpan).Duration())
		select {
		case <-freed:
		case <-timer.C:
		case <-x.ctx.Done():
		}
		timer.Stop()
		if x.ctx.Err() != nil {
			return nil, x.ended()
		}
	}
}

// reopensIn returns how long all servers that could take the request want none.
func (x *run) reopensIn() clock.Millis {
	return x.Roster.PauseRemaining(x.wantFor(x.servedModel()))
}

// refuseWaiting ends a request that found no server.
func (x *run) refuseWaiting(err error) *message.Refusal {
	switch {
	case x.mayRun:
		return x.refuseUnserved(err)
	case roster.KindOf(err) == roster.KindNoServer:
		return x.refuse(message.KindNoServer, err)
	}
	return x.refuse(message.KindOverloaded, err)
}

// recheckSpan is how often a waiting request looks again without being woken: cold
// servers become usable by time alone.
const recheckSpan clock.Millis = 100

// patience is how long a request waits for a server: a part of the time in which its
// answer has its full worth. A stream that has begun waits longer.
func (x *run) patience() clock.Millis {
	wait := x.route.FirstByteTarget / 4
	if x.begun {
		wait = x.route.GapTarget
	}
	return min(wait, (x.deadline-x.Clock.Now())/3)
}

// wantFor describes the server that the request needs for a model.
func (x *run) wantFor(model declaration.ModelName) roster.Want {
	want := roster.Want{Service: x.service, Exclude: x.exclude, MayRunFunc: x.check}
	if x.route.CacheAffine {
		shared := x.req.SharedTokens()
		want.SharedWork = x.Speedometer.Work(model, shared)
		want.OwnWork = x.Speedometer.Work(model, max(x.req.PromptTokens-shared, 0))
		if part := x.req.SharedPrefix(); part != "" {
			want.SharedPart = part + "/" + string(model)
		}
	}
	if x.SideFunc != nil {
		want.SideFunc = func(order backend.Rollout) (roster.Side, bool) {
			return x.SideFunc(order, x.req.Session, x.draw)
		}
	}
	return want
}

// servedModel is the model that a server is asked for.
func (x *run) servedModel() declaration.ModelName {
	if x.model != "" {
		return x.model
	}
	return x.req.Model
}

// ended is the refusal of a request whose context is over.
func (x *run) ended() *message.Refusal {
	if errors.Is(context.Cause(x.ctx), context.DeadlineExceeded) {
		return x.refuseUnserved(errors.New("the time is up"))
	}
	if x.begun {
		return x.refuse(message.KindBroken, context.Cause(x.ctx))
	}
	return x.refuse(message.KindCallerGone, context.Cause(x.ctx))
}

// maySendAgain reports whether the request may be sent to one more server, and takes
// that from the budget of its service.
func (x *run) maySendAgain() bool {
	return x.sends < x.route.MaxAttempts && x.ctx.Err() == nil && x.BudgetFunc(x.service).Spend()
}

// finish logs the end of a request.
func (x *run) finish(refusal *message.Refusal) {
	end := End{Took: x.Clock.Now() - x.req.Arrived}
	version := routing.Version(0)
	if x.view.Config != nil {
		version = x.view.Config.Version
	}
	if x.route != nil {
		end.Route = x.route.Name
	}
	if x.workspace != nil {
		end.Workspace = x.workspace.Name
	}
	outcome := "answered"
	var cause error
	if refusal != nil {
		end.Refusal = refusal.Kind
		outcome, cause = string(refusal.Kind), refusal.Err
	}
	klog.InfoS("Request ended", "request", x.req.ID, "outcome", outcome, "cause", cause, "route", end.Route, "workspace", end.Workspace, "config", version, "took-ms", end.Took, "attempts", x.log.String(), "tokens", [3]int{x.req.PromptTokens, x.req.AnswerTokens, x.req.AnswerHint}, "events", x.events, "session", x.req.Session)
	if x.OnEnd != nil {
		x.OnEnd(end)
	}
}

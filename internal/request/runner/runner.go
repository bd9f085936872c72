// Package runner executes one request: it resolves the route and workspace, sends the
// request to backend servers until one of them answers completely, and forwards the
// answer to the caller.
//
// A request with at-most-once delivery is sent to a second server only if the first one
// has certainly not run it. A resumable stream that breaks off continues at another
// server after the last event that was forwarded.
package runner

import (
	"context"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/contract/backend"
	"example.com/dotterelwell/internal/contract/crash"
	"example.com/dotterelwell/internal/contract/message"
	"example.com/dotterelwell/internal/contract/routing"
	"example.com/dotterelwell/internal/link/transporter"
	"example.com/dotterelwell/internal/load/sampler"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/ident"
	"example.com/dotterelwell/internal/machine/roster"
	"example.com/dotterelwell/internal/request/bufferer"
	"example.com/dotterelwell/internal/request/cascader"
	"example.com/dotterelwell/internal/request/observer"
	"example.com/dotterelwell/internal/request/predictor"
	"example.com/dotterelwell/internal/request/retrier"
	"example.com/dotterelwell/internal/zone/curator"
	"example.com/dotterelwell/internal/zone/quarantiner"
)

// Runner runs requests. Set the exported fields before use.
type Runner struct {
	Clock       *clock.Clock
	ViewFunc    func() *curator.View
	Roster      *roster.Roster
	Transporter *transporter.Transporter
	Cascader    *cascader.Cascader
	Predictor   *predictor.Predictor
	Bufferer    *bufferer.Bufferer
	// Observer watches the attempts for crashes of servers, and Quarantiner knows the requests
	// and prompt parts that cause them. Nil means that attempts are not watched and that nothing is in
	// quarantine.
	Observer    *observer.Observer
	Quarantiner *quarantiner.Quarantiner
	// EncodeFunc and DecodeFunc translate to and from the backend servers' protocol.
	EncodeFunc func(a message.Attempt) *http.Request
	DecodeFunc func(resp *http.Response) message.Head
	// ConfigCurrentFunc reports whether the configuration in the view is certainly the
	// newest. Nil means that it is.
	ConfigCurrentFunc func() bool
	// StateLoadedFunc reports whether the instance has read from the store all state that
	// routing depends on. Nil means that it has.
	StateLoadedFunc func() bool
	// StopsBeforeFunc reports whether the instance stops before a request that has not been sent and
	// may take this long would end, so that the request must be refused. Nil means that it does not.
	StopsBeforeFunc func(timeout clock.Millis) bool
	// StopAtFunc returns when the instance cuts the requests that are left, or zero while it does not
	// stop. Nil means that it never does.
	StopAtFunc func() clock.Millis
	// SideFunc, when set, chooses the old or the new release during a roll-out. draw is the
	// hash of the request or its session.
	SideFunc func(order backend.Rollout, session string, draw uint64) (side roster.Side, strict bool)
	// RetryBudgetFunc returns the retry budget of a service.
	RetryBudgetFunc func(service declaration.ServiceName) *retrier.Budget
	// MaxIdleConnsFunc, when set, returns the limit of idle connections from this instance to
	// each server of a service, with the special values of transporter.Call.MaxIdle.
	MaxIdleConnsFunc func(service declaration.ServiceName) int
	// OnSent, when set, is called after each send of a request that belongs to a session.
	// draw is the hash of the session.
	OnSent func(draw uint64, service declaration.ServiceName, slot *roster.Slot)
	// OnPeerAdvised, when set, is called when a server asks for a pause, or says that it is leaving, in an
	// answer that came through a peer.
	OnPeerAdvised func(peer ident.Instance)
	// OnAttemptEnd, when set, is called at the end of each attempt.
	OnAttemptEnd func(outcome AttemptOutcome)
	// OnAttemptStart, when set, is called before the request is sent to a server, unless an
	// earlier attempt has failed. The Runner calls the returned function with the time to the
	// first byte, or with found set to false if no answer began that can be forwarded.
	OnAttemptStart func(attempt Attempt) (reportFirstByte func(firstByte clock.Millis, found bool))
	// OnBegin, when set, is called once for each request, when a server's answer to it begins.
	OnBegin func(workspace declaration.WorkspaceName)
	// OnInterEventLatency, when set, is called once for each streamed answer that has
	// latencySampleEvents events, with the mean time between these first events.
	OnInterEventLatency func(attempt Attempt, gap clock.Millis)
	// OnOverrun, when set, is called with the name of the limit that an answer exceeded.
	OnOverrun func(bound string)
	// OnRoomWait, when set, is called when a request of a route has waited for room at a server.
	OnRoomWait func(route string, waited clock.Millis)
	// OnRequestEnd, when set, is called at the end of each request.
	OnRequestEnd func(end RequestOutcome)

	slotFreed   notifier
	stateLoaded atomic.Bool
	// wholeRequests counts the requests whose answers are read whole and that may have several attempts at
	// once, and hedges their attempts beside a silent one.
	wholeRequests, hedges atomic.Int64
	rankings              atomic.Pointer[rankings]
	queues                queues
	waits                 sampler.Sampler
}

// AttemptOutcome describes how one attempt ended.
type AttemptOutcome struct {
	Attempt
	Result roster.Result
	// Via is the peer through which the connection went; empty for a direct one.
	Via ident.Instance
	// AfterFailure is set when an earlier attempt of the request ended with ResultError or
	// ResultLost.
	AfterFailure bool
}

// Attempt identifies the route, service, release, model and server of one attempt of a request.
type Attempt struct {
	Route   *routing.Route
	Service declaration.ServiceName
	Release backend.Release
	Model   declaration.ModelName
	Server  ident.Address
}

// RequestOutcome describes how a request ended.
type RequestOutcome struct {
	Route     string
	Workspace declaration.WorkspaceName
	// Refusal is empty if the caller got a server's answer.
	Refusal message.Kind
	Took    clock.Millis
}

// WakeWaiters makes the requests that wait for a server slot try again, and the first of those that wait for room
// at a server.
func (r *Runner) WakeWaiters() {
	r.slotFreed.notify()
	r.queues.wake()
}

// Waiting returns the number of requests that wait for room at a server.
func (r *Runner) Waiting() int { return r.queues.waiting() }

// execution is the state of one request.
type execution struct {
	*Runner
	// ctx ends with the deadline, when the caller leaves, and when the instance stops. An attempt has a context of its own.
	ctx  context.Context
	req  *message.Request
	sink *message.AnswerWriter

	view        *curator.View
	route       *routing.Route
	workspace   *routing.Workspace
	service     declaration.ServiceName
	requestHash uint64
	deadline    clock.Millis
	model       declaration.ModelName
	// work holds the prompt parts that other requests may share and the request's fingerprint, and
	// suspects all of these. probed names the cause in quarantine that this request probes with a
	// single send, and others of which it has less. probeLost is set if that send may have crashed a server.
	work      observer.Work
	suspects  []crash.Suspect
	probed    []crash.Suspect
	probeLost bool

	sends         int  // requests sent to servers, whether or not the servers ran them
	attemptFailed bool // an earlier attempt ended with ResultError or ResultLost
	// answered is set when another attempt, beside which this one ran, has answered; nil if none may.
	answered   *atomic.Bool
	excluded   []ident.Server
	mayHaveRun bool // a server may have run the request
	log        attemptLog
	// begun is set when OnBegin has been called, by any of the attempts that run beside one another.
	begun *atomic.Bool
	// bodyReleases release the memory of the buffered answer bodies.
	bodyReleases []func()
	// savedHead and savedBody hold the latest 5xx answer of a server, which is forwarded if no
	// later attempt succeeds.
	savedHead       *message.Head
	savedBody       []byte
	eventsForwarded int  // stream events forwarded to the caller
	streamStarted   bool // the head of a stream has been forwarded
	// resumeSlot is the slot for the next attempt of a stream, if that has been taken already.
	resumeSlot  *roster.Slot
	lastEventID string
}

// Serve runs a request. It returns nil or a *message.Refusal.
func (r *Runner) Serve(ctx context.Context, req *message.Request, sink *message.AnswerWriter) error {
	x := &execution{Runner: r, ctx: ctx, req: req, sink: sink, view: r.ViewFunc(), lastEventID: req.After, begun: new(atomic.Bool)}
	err := x.serve()
	for _, release := range x.bodyReleases {
		release()
	}
	if len(x.probed) > 0 {
		r.Quarantiner.EndProbe(x.probed[0], !x.probeLost)
	}
	x.reportEnd(err)
	if err != nil {
		return err
	}
	return nil
}

func sharedParts(req *message.Request) []crash.Suspect {
	ids := req.SharedParts()
	if len(ids) == 0 {
		return nil
	}
	parts := make([]crash.Suspect, len(ids))
	for i, id := range ids {
		parts[i] = crash.PartOf(id)
	}
	return parts
}

// fingerprint returns the fingerprint of the request. On a route without keys, all callers
// count as one.
func (x *execution) fingerprint() crash.Suspect {
	caller := ""
	if x.workspace != nil {
		caller = string(x.workspace.Name)
	}
	return crash.Fingerprint(x.req.Method, x.req.Host, x.req.Target, caller, x.req.Body)
}

func (x *execution) serve() *message.Refusal {
	x.awaitInitialState()
	if refusal := x.resolve(x.view); refusal != nil {
		return refusal
	}
	if x.StopsBeforeFunc != nil && x.StopsBeforeFunc(x.route.Timeout) {
		return x.refuse(message.KindStopping, nil)
	}
	x.requestHash = hashOf(x.req)
	x.work = observer.Work{Parts: sharedParts(x.req), Fingerprint: x.fingerprint()}
	x.suspects = append(slices.Clip(x.work.Parts), x.work.Fingerprint)
	x.service = x.route.ServiceFor(x.requestHash)
	x.RetryBudgetFunc(x.service).CountRequest()
	x.deadline = x.req.ArrivedAt + x.route.Timeout
	if x.req.CallerTimeout > 0 {
		x.deadline = min(x.deadline, x.req.ArrivedAt+x.req.CallerTimeout)
	}
	ctx, cancel := context.WithDeadline(x.ctx, time.Now().Add((x.deadline - x.Clock.Now()).Duration()))
	defer cancel()
	x.ctx = ctx
	if x.route.Delivery == routing.DeliveryStream {
		return x.serveStream()
	}
	return x.serveWhole()
}

// repeatable reports whether the request may run again, or go on, at another server.
func (x *execution) repeatable() bool {
	return x.route.Delivery == routing.DeliveryIdempotent || x.route.Delivery == routing.DeliveryStream && x.route.Resumable
}

const (
	// initialStateTimeout bounds a request's wait for the instance's first read of the
	// store, which takes about 100 ms.
	initialStateTimeout clock.Millis = 300
	// initialStatePoll is the polling interval of that wait.
	initialStatePoll clock.Millis = 10
)

// awaitInitialState waits until an instance that has just started has read the store.
// Refusing at once could fail requests for good when the whole fleet starts: a caller that
// every instance refuses uses up its retries.
func (x *execution) awaitInitialState() {
	if x.hasLoadedState() {
		return
	}
	until := x.Clock.Now() + initialStateTimeout
	if x.req.CallerTimeout > 0 {
		until = min(until, x.Clock.Now()+x.req.CallerTimeout/3)
	}
	for !x.hasLoadedState() && x.Clock.Now() < until {
		if x.Clock.Sleep(x.ctx, initialStatePoll) != nil {
			break
		}
	}
	x.view = x.ViewFunc()
}

// hasLoadedState reports whether StateLoadedFunc has ever returned true.
func (r *Runner) hasLoadedState() bool {
	if r.stateLoaded.Load() {
		return true
	}
	if r.StateLoadedFunc != nil && !r.StateLoadedFunc() {
		return false
	}
	r.stateLoaded.Store(true)
	return true
}

// resolve sets the view and its route and workspace for the request. It refuses a request
// without a route, or without a valid key where the route needs one.
func (x *execution) resolve(view *curator.View) *message.Refusal {
	if view.Config == nil {
		return x.refuse(message.KindNoConfig, nil)
	}
	route := view.Config.Match(x.req.Host, x.req.Path)
	if route == nil {
		return x.refuseUnresolved(message.KindNoRoute)
	}
	var workspace *routing.Workspace
	if view.Config.NeedsKey(route) {
		workspace = view.Config.WorkspaceOf(x.req.Key)
		if workspace == nil {
			return x.refuseUnresolved(message.KindUnauthorized)
		}
	}
	x.view, x.route, x.workspace = view, route, workspace
	return nil
}

// refuseUnresolved refuses with the given kind only if the configuration is certainly the
// newest, and with KindStaleConfig otherwise.
func (x *execution) refuseUnresolved(kind message.Kind) *message.Refusal {
	if x.ConfigCurrentFunc != nil && !x.ConfigCurrentFunc() {
		return x.refuse(message.KindStaleConfig, errors.Newf("%s in a configuration that may be out of date", kind))
	}
	return x.refuse(kind, nil)
}

// mayRun is called while the slot is taken, as the last check before a send.
func (x *execution) mayRun(view *curator.View) error {
	if _, blocked := x.Quarantiner.Blocked(x.suspects, x.probed); blocked {
		return errQuarantined
	}
	return x.recheckConfig(view)
}

// recheckConfig checks that the configuration still allows the request. A newer one may have
// moved the route to another service, or removed the route or key.
func (x *execution) recheckConfig(view *curator.View) error {
	if view == x.view || view.Config == x.view.Config {
		return nil
	}
	timeout := x.route.Timeout
	if refusal := x.resolve(view); refusal != nil {
		return refusal
	}
	if x.route.Timeout != timeout {
		klog.V(1).InfoS("Route timeout changed while the request was waiting", "request", x.req.ID, "old-ms", timeout, "new-ms", x.route.Timeout)
	}
	if service := x.route.ServiceFor(x.requestHash); service != x.service {
		x.service = service
		return errServiceChanged
	}
	return nil
}

// errQuarantined means that the request, or a part of its prompt, is in quarantine.
var errQuarantined = errors.New("servers crash under the request or a part of its prompt")

// errServiceChanged means that a newer configuration routes the request to another service.
var errServiceChanged = errors.New("the route leads to another service")

// requestedModel returns the model of the next attempt: the one that the cascade chose, or
// else the one that the caller named.
func (x *execution) requestedModel() declaration.ModelName {
	if x.model != "" {
		return x.model
	}
	return x.req.Model
}

// takeRetry reports whether the request may be sent to one more server. If so, it takes one
// retry from the service's budget.
func (x *execution) takeRetry() bool {
	return len(x.probed) == 0 && x.sends < x.route.MaxAttempts && x.ctx.Err() == nil && x.RetryBudgetFunc(x.service).TryRetry()
}

// maxLoggedParts bounds the prompt parts in the log line of a request.
const maxLoggedParts = 8

// loggedParts returns the first shared parts of the prompt.
func (x *execution) loggedParts() []string {
	parts := x.req.SharedParts()
	return parts[:min(len(parts), maxLoggedParts)]
}

// reportEnd logs the end of the request and calls OnRequestEnd.
func (x *execution) reportEnd(refusal *message.Refusal) {
	end := RequestOutcome{Took: x.Clock.Now() - x.req.ArrivedAt}
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
	klog.InfoS("Request ended", "request", x.req.ID, "outcome", outcome, "cause", cause, "route", end.Route, "workspace", end.Workspace, "config", version, "took-ms", end.Took, "attempts", x.log.String(), "tokens", [3]int{x.req.PromptTokens, x.req.AnswerTokens, x.req.AnswerHint}, "prompt", x.loggedParts(), "events", x.eventsForwarded, "session", x.req.Session, "fingerprint", x.work.Fingerprint)
	if x.OnRequestEnd != nil {
		x.OnRequestEnd(end)
	}
}

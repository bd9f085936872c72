// Package conductor answers chat requests. For each request it chooses a version and
// obtains an answer. On a rated route it also has the answer rated and escalates to
// another version when the rating misses the route's quality target.
package conductor

import (
	"context"
	"strconv"

	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/contract/chat"
	"example.com/dotterelwell/internal/contract/inferrer"
	"example.com/dotterelwell/internal/contract/rater"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/fault"
	"example.com/dotterelwell/internal/machine/ident"
	"example.com/dotterelwell/internal/machine/registrar"
	"example.com/dotterelwell/internal/request/admitter"
	"example.com/dotterelwell/internal/request/pacer"
	"example.com/dotterelwell/internal/request/recorder"
	"example.com/dotterelwell/internal/request/relayer"
	"example.com/dotterelwell/internal/version/chooser"
	"example.com/dotterelwell/internal/version/tallier"
	"example.com/dotterelwell/internal/zone/keeper"
)

// Kind classifies the package's errors.
type Kind string

// Kinds of errors.
const (
	// KindDenied means that the last check before dispatch found that the
	// workspace or route may not use the version.
	KindDenied Kind = "denied"
	// KindTooLarge means that a buffered answer exceeds maxAnswerBytes.
	KindTooLarge Kind = "too-large"
)

// Error is the package's error type.
type Error = fault.Error[Kind]

const (
	// maxAnswerBytes bounds an answer that is buffered completely before it is returned.
	maxAnswerBytes = 4 << 20
	// prefixBytes is the length of the prompt prefix that selects a server by prompt-cache affinity.
	prefixBytes = 512
	// minPrefixBytes is the prompt length below which a cache hit saves too little to prefer a server.
	minPrefixBytes = 128
)

// ChatRequest is one chat request with its route, deadline and session.
type ChatRequest struct {
	// Digest is the digest of the workspace's API key.
	Digest    string
	Workspace *keeper.Workspace
	Route     *keeper.Route
	Request   ident.Request
	Body      *chat.Request
	Priority  declaration.Priority
	Deadline  clock.Millis
	// Pinned is the version that served the session's earlier requests; zero for a new session.
	Pinned declaration.Ref
}

// Result is the outcome of one try to obtain an answer from a version. It feeds the
// version's tallies.
type Result struct {
	Subject tallier.Subject
	Failed  bool
	Answer  tallier.Answer
}

// Answer is the answer that the caller gets, with the cost that is billed.
type Answer struct {
	Version declaration.Ref
	// Moved is set when the session's pinned version did not answer.
	Moved    bool
	Attempts int
	Usage    chat.Usage
	Cost     declaration.MicroCost
	// Frames holds the buffered answer; of a streamed answer, only the last frame.
	Frames []inferrer.Frame
}

// Conductor answers requests. Set the exported fields before use.
type Conductor struct {
	Clock     *clock.Clock
	ViewFunc  func() *keeper.View
	Registrar *registrar.Registrar
	Admitter  *admitter.Admitter
	Relayer   *relayer.Relayer
	Rater     *rater.Rater
	Budget    *pacer.MemoryBudget
	Chooser   *chooser.Chooser
	// OnResult, when set, is called with the result of each try that says something
	// about the version.
	OnResult func(Result)
	// OnRating, when set, is called with each rating of an answer.
	OnRating func(subject tallier.Subject, rating declaration.Quality)
	// OnRaterCall, when set, is called after each call of the rating service with the
	// call's error.
	OnRaterCall func(err error)
	// ShouldRateFunc reports whether a streamed answer of a version is to be rated after it ends.
	ShouldRateFunc func(ask *ChatRequest, version declaration.Ref) bool
	// BackgroundFunc runs a task in the background.
	BackgroundFunc func(func(ctx context.Context))
	// OnDispatch, when set, is called each time that a slot for the request was acquired.
	OnDispatch func(ask *ChatRequest, version declaration.Ref, slot *registrar.Slot)
}

// requestState is the state of one chat request while it is answered.
type requestState struct {
	*Conductor
	request  *ChatRequest
	recorder *recorder.Recorder
	nonce    ident.Nonce
	starts   int
	cost     declaration.MicroCost
	tries    []chooser.Attempt
	best     *bufferedAnswer
}

// chooserQuery returns the chooser's input for the request.
func (a *ChatRequest) chooserQuery() *chooser.Query {
	return &chooser.Query{Route: a.Route, Request: a.Request, Pinned: a.Pinned, Deadline: a.Deadline}
}

func (c *Conductor) newState(request *ChatRequest, rec *recorder.Recorder) *requestState {
	return &requestState{Conductor: c, request: request, recorder: rec, nonce: ident.NewNonce()}
}

// Collect answers a request and buffers the complete answer. On a rated route each
// answer is rated, poor ones are escalated, and the answer with the best rating is returned.
func (c *Conductor) Collect(ctx context.Context, request *ChatRequest, rec *recorder.Recorder) (Answer, error) {
	w := c.newState(request, rec)
	version, err := c.Chooser.ChooseFirst(request.chooserQuery())
	if err != nil {
		return Answer{}, err
	}
	for {
		h := &bufferedAnswer{version: version}
		answered, err := w.obtainAnswer(ctx, version, h.put, h.reset, nil)
		if err == nil {
			h.usage = answered.Usage
			accept, next := w.assessAnswer(ctx, h)
			if accept {
				return w.answer(w.best.version, w.best.usage, w.best.frames), nil
			}
			version = next
			continue
		}
		alternative, retry := w.alternative(ctx, version, err)
		switch {
		case retry:
			version = alternative
		case w.best != nil:
			return w.answer(w.best.version, w.best.usage, w.best.frames), nil
		default:
			return Answer{}, err
		}
	}
}

// Stream answers a request frame by frame through p. started is called with the
// answering version before the first frame.
func (c *Conductor) Stream(ctx context.Context, request *ChatRequest, rec *recorder.Recorder, p *pacer.StreamBuffer, started func(declaration.Ref)) (Answer, error) {
	w := c.newState(request, rec)
	version, err := c.Chooser.ChooseFirst(request.chooserQuery())
	if err != nil {
		return Answer{}, err
	}
	for {
		s := &streamSender{pacer: p, version: version, started: started, sample: c.ShouldRateFunc != nil && c.ShouldRateFunc(request, version)}
		answered, err := w.obtainAnswer(ctx, version, s.put, s.reset, p.AwaitEmpty)
		if err == nil {
			w.rateInBackground(version, s)
			return w.answer(version, answered.Usage, s.last), nil
		}
		alternative, retry := w.alternative(ctx, version, err)
		if !retry {
			return Answer{}, err
		}
		version = alternative
	}
}

// obtainAnswer obtains one answer from one version and records the result.
func (w *requestState) obtainAnswer(ctx context.Context, version declaration.Ref, put func(context.Context, inferrer.Frame) error, reset func() bool, resumable func(context.Context) error) (relayer.Answer, error) {
	body := *w.request.Body
	body.Model = version.String()
	body.Stream = true
	job := relayer.Job{
		Body:            &body,
		AttemptFunc:     w.nextAttemptID,
		AcquireFunc:     w.acquireFunc(version),
		EmitFunc:        put,
		AwaitCallerFunc: resumable,
		DiscardFunc:     reset,
		Recorder:        w.recorder,
	}
	answered, err := w.Relayer.Relay(ctx, job)
	w.recordResult(version, answered, err)
	return answered, err
}

func (w *requestState) nextAttemptID() ident.Request {
	w.starts++
	return ident.Request(string(w.request.Request) + "." + string(w.nonce[:8]) + "." + strconv.Itoa(w.starts))
}

// QueueName returns the name of the admission queue of a version's requests.
func QueueName(ref declaration.Ref) admitter.QueueName { return admitter.QueueName(ref.String()) }

// acquireFunc returns a function that waits for a slot. The last check whether the
// workspace may use the version is made as the slot is taken.
func (w *requestState) acquireFunc(version declaration.Ref) func(context.Context, []ident.Server) (*registrar.Slot, error) {
	isPinned := version == w.request.Pinned
	check := func(v *keeper.View) error {
		if reason := v.MayRun(w.request.Digest, w.request.Route.Name, version, isPinned); reason != keeper.ReasonNone {
			return fault.Newf("check version", KindDenied, "%s is %s", version, reason)
		}
		return nil
	}
	return func(ctx context.Context, exclude []ident.Server) (*registrar.Slot, error) {
		want := registrar.Want{Version: version, Exclude: exclude, Prefix: w.prefix(), MayRunFunc: check}
		slot, err := w.Admitter.Admit(ctx, admitter.Request{
			Queue:    QueueName(version),
			Priority: w.request.Priority,
			Deadline: w.request.Deadline,
			Begun:    len(exclude) > 0,
			TryFunc:  func() (*registrar.Slot, error) { return w.Registrar.Acquire(want) },
		})
		if err == nil && w.OnDispatch != nil {
			w.OnDispatch(w.request, version, slot)
		}
		return slot, err
	}
}

// prefix returns the class and the first bytes of the prompt, which stand for the
// part that engines cache, or "" for a short prompt.
func (w *requestState) prefix() string {
	head := w.request.Body.Messages[0].Content
	if len(head) < minPrefixBytes {
		return ""
	}
	return string(w.request.Route.Class) + head[:min(len(head), prefixBytes)]
}

func (w *requestState) recordResult(version declaration.Ref, answered relayer.Answer, err error) {
	switch relayer.KindOf(err) {
	case relayer.KindNoSlot, relayer.KindStopped, relayer.KindRejected:
		return // these failures are not the version's
	}
	if err == nil {
		w.cost += answerCost(w.ViewFunc().VersionOf(version), answered.Usage)
	} else {
		w.tries = append(w.tries, chooser.Attempt{Version: version, Failed: true})
	}
	if w.OnResult == nil {
		return
	}
	w.OnResult(Result{
		Subject: w.subject(version), Failed: err != nil,
		Answer: tallier.Answer{
			FirstToken: answered.FirstToken, Took: answered.Duration,
			PromptTokens: answered.Usage.PromptTokens, AnswerTokens: answered.Usage.CompletionTokens,
		},
	})
}

// subject returns the tally that a result of the version counts for.
func (w *requestState) subject(version declaration.Ref) tallier.Subject {
	s := tallier.Subject{Class: w.request.Route.Class, Version: version}
	if w.best != nil {
		s.Depth = tallier.DepthLater
	}
	return s
}

// tokensPerPrice is the number of tokens that a declared price covers.
const tokensPerPrice = 1000

// answerCost returns the cost of an answer, rounded up.
func answerCost(v *keeper.Version, u chat.Usage) declaration.MicroCost {
	if v == nil {
		return 0
	}
	total := declaration.MicroCost(u.PromptTokens)*v.PromptPrice + declaration.MicroCost(u.CompletionTokens)*v.AnswerPrice
	return (total + tokensPerPrice - 1) / tokensPerPrice
}

// alternative returns another version after a failure that this other version may not
// share: the last check denied the failed version, or all its tries were used up.
func (w *requestState) alternative(ctx context.Context, version declaration.Ref, err error) (declaration.Ref, bool) {
	if ctx.Err() != nil {
		return declaration.Ref{}, false
	}
	switch {
	case Denied(err):
		w.tries = append(w.tries, chooser.Attempt{Version: version, Failed: true})
	case relayer.KindOf(err) != relayer.KindGaveUp:
		return declaration.Ref{}, false
	}
	return w.Chooser.ChooseAfterFailure(w.request.chooserQuery(), w.tries)
}

// Denied reports whether the last check before dispatch found that the version may not be used.
func Denied(err error) bool { return fault.KindOf[Kind](err) == KindDenied }

// assessAnswer has an answer of a rated route rated and keeps the best answer so far.
// It decides whether to accept that answer or to try the version next.
func (w *requestState) assessAnswer(ctx context.Context, h *bufferedAnswer) (accept bool, next declaration.Ref) {
	if w.request.Route.Answer != declaration.AnswerRated || w.Rater == nil {
		w.best = h
		return true, declaration.Ref{}
	}
	t := chooser.Attempt{Version: h.version}
	rating, err := w.Rater.Rate(ctx, w.ratingQuery(h.text.String()))
	w.reportRaterCall(err)
	if err == nil {
		t.Rated, t.Rating = true, rating
		h.rating = rating
		w.reportRating(w.subject(h.version), rating)
	}
	w.tries = append(w.tries, t)
	if w.best == nil || h.rating >= w.best.rating {
		w.best = h
	}
	return w.Chooser.ChooseNext(w.request.chooserQuery(), w.tries)
}

func (w *requestState) reportRaterCall(err error) {
	if w.OnRaterCall != nil {
		w.OnRaterCall(err)
	}
}

func (w *requestState) ratingQuery(text string) rater.Query {
	prompt := w.request.Body.Messages[len(w.request.Body.Messages)-1].Content
	return rater.Query{Request: prompt, Answer: text, Class: w.request.Route.Class}
}

func (w *requestState) reportRating(subject tallier.Subject, rating declaration.Quality) {
	if w.OnRating != nil {
		w.OnRating(subject, rating)
	}
}

// rateInBackground has a streamed answer rated in the background if it was sampled.
func (w *requestState) rateInBackground(version declaration.Ref, s *streamSender) {
	if !s.sample || w.BackgroundFunc == nil || w.Rater == nil {
		return
	}
	query, subject := w.ratingQuery(s.text.String()), w.subject(version)
	w.BackgroundFunc(func(ctx context.Context) {
		rating, err := w.Rater.Rate(ctx, query)
		w.reportRaterCall(err)
		if err == nil {
			w.reportRating(subject, rating)
		}
	})
}

func (w *requestState) answer(version declaration.Ref, u chat.Usage, frames []inferrer.Frame) Answer {
	pinned := w.request.Pinned
	return Answer{
		Version: version, Moved: pinned.Model != "" && pinned != version,
		Attempts: w.recorder.Attempts(), Usage: u, Cost: w.cost, Frames: frames,
	}
}

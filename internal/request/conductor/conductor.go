// Package conductor answers one chat request: it chooses versions, obtains answers,
// has them rated where the route says so, and escalates poor ones.
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
	// KindDenied means that the last check before dispatch forbade the version.
	KindDenied Kind = "denied"
	// KindTooLarge means that a collected answer exceeds its bound.
	KindTooLarge Kind = "too-large"
)

// Error is the package's error type.
type Error = fault.Error[Kind]

const (
	// maxAnswerBytes bounds an answer that is held whole.
	maxAnswerBytes = 4 << 20
	// prefixBytes is the length of a prompt's head that decides cache affinity.
	prefixBytes = 512
	// minPrefixBytes is the length below which affinity is not worth a detour.
	minPrefixBytes = 128
)

// ChatRequest is one chat request.
type ChatRequest struct {
	// Digest identifies the workspace's key.
	Digest    string
	Workspace *keeper.Workspace
	Route     *keeper.Route
	Request   ident.Request
	Body      *chat.Request
	Priority  declaration.Priority
	Deadline  clock.Millis
	// Pinned is the version that the session keeps; zero for a new session.
	Pinned declaration.Ref
}

// Result is what became of one try, for those who learn from it.
type Result struct {
	Subject tallier.Subject
	Failed  bool
	Answer  tallier.Answer
}

// Answer is what the caller gets, and is charged.
type Answer struct {
	Version  declaration.Ref
	Moved    bool
	Attempts int
	Usage    chat.Usage
	Cost     declaration.MicroCost
	// Frames are set when the answer was held whole.
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
	Budget    *pacer.Budget
	Chooser   *chooser.Chooser
	// OnResult, when set, learns from each try.
	OnResult func(Result)
	// OnRating, when set, learns from each rating.
	OnRating func(subject tallier.Subject, rating declaration.Quality)
	// OnRaterCall, when set, is told whether the rating service answered.
	OnRaterCall func(err error)
	// ShouldRateFunc decides whether a streamed answer of a version is rated afterwards.
	ShouldRateFunc func(ask *ChatRequest, version declaration.Ref) bool
	// BackgroundFunc runs a task in the background.
	BackgroundFunc func(func(ctx context.Context))
	// OnDispatch, when set, is told of each start at a server.
	OnDispatch func(ask *ChatRequest, version declaration.Ref, slot *registrar.Slot)
}

// work is the state of one request.
type work struct {
	*Conductor
	ask      *ChatRequest
	recorder *recorder.Recorder
	nonce    ident.Nonce
	starts   int
	cost     declaration.MicroCost
	tries    []chooser.Try
	best     *hold
}

// question puts the request to the chooser.
func (a *ChatRequest) question() *chooser.Question {
	return &chooser.Question{Route: a.Route, Request: a.Request, Pinned: a.Pinned, Deadline: a.Deadline}
}

func (c *Conductor) begin(ask *ChatRequest, rec *recorder.Recorder) *work {
	return &work{Conductor: c, ask: ask, recorder: rec, nonce: ident.NewNonce()}
}

// Collect answers a request and holds the answer whole. Answers of a rated route
// are rated and escalated before the best of them is returned.
func (c *Conductor) Collect(ctx context.Context, ask *ChatRequest, rec *recorder.Recorder) (Answer, error) {
	w := c.begin(ask, rec)
	version, err := c.Chooser.Start(ask.question())
	if err != nil {
		return Answer{}, err
	}
	for {
		h := &hold{version: version}
		answered, err := w.try(ctx, version, h.put, h.reset, nil)
		if err == nil {
			h.usage = answered.Usage
			accept, next := w.assess(ctx, h)
			if accept {
				return w.answer(w.best.version, w.best.usage, w.best.frames), nil
			}
			version = next
			continue
		}
		next, again := w.alternative(ctx, version, err)
		switch {
		case again:
			version = next
		case w.best != nil:
			return w.answer(w.best.version, w.best.usage, w.best.frames), nil
		default:
			return Answer{}, err
		}
	}
}

// Stream answers a request through p, frame by frame. started is called before the
// first frame with the version that answers.
func (c *Conductor) Stream(ctx context.Context, ask *ChatRequest, rec *recorder.Recorder, p *pacer.Pacer, started func(declaration.Ref)) (Answer, error) {
	w := c.begin(ask, rec)
	version, err := c.Chooser.Start(ask.question())
	if err != nil {
		return Answer{}, err
	}
	for {
		s := &sender{pacer: p, version: version, started: started, sample: c.ShouldRateFunc != nil && c.ShouldRateFunc(ask, version)}
		answered, err := w.try(ctx, version, s.put, s.reset, p.AwaitEmpty)
		if err == nil {
			w.rateLater(version, s)
			return w.answer(version, answered.Usage, s.last), nil
		}
		next, again := w.alternative(ctx, version, err)
		if !again {
			return Answer{}, err
		}
		version = next
	}
}

// try obtains one answer from one version and accounts for it.
func (w *work) try(ctx context.Context, version declaration.Ref, put func(context.Context, inferrer.Frame) error, reset func() bool, resumable func(context.Context) error) (relayer.Answered, error) {
	body := *w.ask.Body
	body.Model = version.String()
	body.Stream = true
	job := relayer.Job{
		Body:          &body,
		AttemptFunc:   w.attempt,
		AcquireFunc:   w.acquireFunc(version),
		EmitFunc:      put,
		ResumableFunc: resumable,
		ResetFunc:     reset,
		Recorder:      w.recorder,
	}
	answered, err := w.Relayer.Relay(ctx, job)
	w.account(version, answered, err)
	return answered, err
}

func (w *work) attempt() ident.Request {
	w.starts++
	return ident.Request(string(w.ask.Request) + "." + string(w.nonce[:8]) + "." + strconv.Itoa(w.starts))
}

// QueueName returns the queue of a version's requests.
func QueueName(version declaration.Ref) admitter.Lane { return admitter.Lane(version.String()) }

// acquireFunc returns a function that waits for a slot and makes the last check as it is taken.
func (w *work) acquireFunc(version declaration.Ref) func(context.Context, []ident.Server) (*registrar.Slot, error) {
	keeps := version == w.ask.Pinned
	check := func(v *keeper.View) error {
		if reason := v.MayRun(w.ask.Digest, w.ask.Route.Name, version, keeps); reason != keeper.ReasonNone {
			return fault.Newf("check version", KindDenied, "%s is %s", version, reason)
		}
		return nil
	}
	return func(ctx context.Context, exclude []ident.Server) (*registrar.Slot, error) {
		want := registrar.Want{Version: version, Exclude: exclude, Prefix: w.prefix(), MayRunFunc: check}
		slot, err := w.Admitter.Admit(ctx, admitter.Ticket{
			Lane:     QueueName(version),
			Priority: w.ask.Priority,
			Deadline: w.ask.Deadline,
			TryFunc:  func() (*registrar.Slot, error) { return w.Registrar.Acquire(want) },
		})
		if err == nil && w.OnDispatch != nil {
			w.OnDispatch(w.ask, version, slot)
		}
		return slot, err
	}
}

// prefix returns the head of the prompt, by which engines cache.
func (w *work) prefix() string {
	head := w.ask.Body.Messages[0].Content
	if len(head) < minPrefixBytes {
		return ""
	}
	return string(w.ask.Route.Class) + head[:min(len(head), prefixBytes)]
}

func (w *work) account(version declaration.Ref, answered relayer.Answered, err error) {
	switch relayer.KindOf(err) {
	case relayer.KindNoSlot, relayer.KindStopped, relayer.KindRejected:
		return // says nothing about the version
	}
	if err == nil {
		w.cost += price(w.ViewFunc().VersionOf(version), answered.Usage)
	} else {
		w.tries = append(w.tries, chooser.Try{Version: version, Failed: true})
	}
	if w.OnResult == nil {
		return
	}
	w.OnResult(Result{
		Subject: w.subject(version), Failed: err != nil,
		Answer: tallier.Answer{
			FirstToken: answered.FirstToken, Took: answered.Took,
			PromptTokens: answered.Usage.PromptTokens, AnswerTokens: answered.Usage.CompletionTokens,
		},
	})
}

// subject names what a try of the version teaches about.
func (w *work) subject(version declaration.Ref) tallier.Subject {
	s := tallier.Subject{Class: w.ask.Route.Class, Version: version}
	if w.best != nil {
		s.Depth = tallier.DepthLater
	}
	return s
}

// tokensPerPrice is the number of tokens that a declared price is for.
const tokensPerPrice = 1000

// price returns the cost of an answer, rounded up.
func price(v *keeper.Version, u chat.Usage) declaration.MicroCost {
	if v == nil {
		return 0
	}
	total := declaration.MicroCost(u.PromptTokens)*v.PromptPrice + declaration.MicroCost(u.CompletionTokens)*v.AnswerPrice
	return (total + tokensPerPrice - 1) / tokensPerPrice
}

// alternative returns another version after a failure that another may not share.
func (w *work) alternative(ctx context.Context, version declaration.Ref, err error) (declaration.Ref, bool) {
	if ctx.Err() != nil {
		return declaration.Ref{}, false
	}
	switch {
	case Denied(err):
		w.tries = append(w.tries, chooser.Try{Version: version, Failed: true})
	case relayer.KindOf(err) != relayer.KindGaveUp:
		return declaration.Ref{}, false
	}
	return w.Chooser.Alternative(w.ask.question(), w.tries)
}

// Denied reports whether the last check before dispatch forbade the version.
func Denied(err error) bool { return fault.KindOf[Kind](err) == KindDenied }

// assess has an answer of a rated route rated, keeps the best answer so far, and
// decides whether that is good enough.
func (w *work) assess(ctx context.Context, h *hold) (accept bool, next declaration.Ref) {
	if w.ask.Route.Answer != declaration.AnswerRated || w.Rater == nil {
		w.best = h
		return true, declaration.Ref{}
	}
	t := chooser.Try{Version: h.version}
	rating, err := w.Rater.Rate(ctx, w.query(h.text.String()))
	w.raterAnswered(err)
	if err == nil {
		t.Rated, t.Rating = true, rating
		h.rating = rating
		w.learn(w.subject(h.version), rating)
	}
	w.tries = append(w.tries, t)
	if w.best == nil || h.rating >= w.best.rating {
		w.best = h
	}
	return w.Chooser.Next(w.ask.question(), w.tries)
}

func (w *work) raterAnswered(err error) {
	if w.OnRaterCall != nil {
		w.OnRaterCall(err)
	}
}

func (w *work) query(text string) rater.Query {
	prompt := w.ask.Body.Messages[len(w.ask.Body.Messages)-1].Content
	return rater.Query{Request: prompt, Answer: text, Class: w.ask.Route.Class}
}

func (w *work) learn(subject tallier.Subject, rating declaration.Quality) {
	if w.OnRating != nil {
		w.OnRating(subject, rating)
	}
}

// rateLater has a sampled streamed answer rated in the background.
func (w *work) rateLater(version declaration.Ref, s *sender) {
	if !s.sample || w.BackgroundFunc == nil || w.Rater == nil {
		return
	}
	query, subject := w.query(s.text.String()), w.subject(version)
	w.BackgroundFunc(func(ctx context.Context) {
		rating, err := w.Rater.Rate(ctx, query)
		w.raterAnswered(err)
		if err == nil {
			w.learn(subject, rating)
		}
	})
}

func (w *work) answer(version declaration.Ref, u chat.Usage, frames []inferrer.Frame) Answer {
	pinned := w.ask.Pinned
	return Answer{
		Version: version, Moved: pinned.Model != "" && pinned != version,
		Attempts: w.recorder.Attempts(), Usage: u, Cost: w.cost, Frames: frames,
	}
}

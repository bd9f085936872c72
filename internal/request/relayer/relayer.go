// Package relayer obtains one whole answer from a model version, through refusals,
// cut and silent connections, and slow callers.
package relayer

import (
	"context"

	"example.com/dotterelwell/internal/contract/chat"
	"example.com/dotterelwell/internal/contract/inferrer"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/fault"
	"example.com/dotterelwell/internal/machine/ident"
	"example.com/dotterelwell/internal/machine/registrar"
	"example.com/dotterelwell/internal/request/pacer"
	"example.com/dotterelwell/internal/request/recorder"
	"example.com/dotterelwell/internal/request/retrier"
)

// Kind classifies the package's errors.
type Kind string

// Kinds of errors.
const (
	// KindNoSlot means that no slot was had; the cause tells why.
	KindNoSlot Kind = "no-slot"
	// KindRejected means that the engine found the request itself faulty.
	KindRejected Kind = "rejected"
	// KindGaveUp means that the tries were used up before the answer began.
	KindGaveUp Kind = "gave-up"
	// KindCut means that the answer had begun and its rest cannot be had.
	KindCut Kind = "cut"
	// KindStopped means that the caller left or the deadline passed.
	KindStopped Kind = "stopped"
)

// Error is the package's error type.
type Error = fault.Error[Kind]

// KindOf returns the kind of the error, or "" for an error of another package.
func KindOf(err error) Kind { return fault.KindOf[Kind](err) }

const (
	// maxStarts bounds how often one answer is started.
	maxStarts = 4
	// maxResumes bounds how often one start is resumed without progress.
	maxResumes = 4
	// resumePause is the pause before the second resumption, doubled for each later one.
	resumePause clock.Millis = 50
	// cancelTimeout bounds telling an engine that an answer is not wanted any more.
	cancelTimeout = 2 * clock.Second
)

// Timeouts bounds the silence of an engine. Zero fields take defaults.
type Timeouts struct {
	Header, FirstToken, NextToken clock.Millis
}

const (
	defaultHeaderGap = 1 * clock.Second
	defaultFirstGap  = 10 * clock.Second
	defaultNextGap   = 2 * clock.Second
)

func (g Timeouts) orDefaults() Timeouts {
	if g.Header == 0 {
		g.Header = defaultHeaderGap
	}
	if g.FirstToken == 0 {
		g.FirstToken = defaultFirstGap
	}
	if g.NextToken == 0 {
		g.NextToken = defaultNextGap
	}
	return g
}

// Relayer runs jobs. Set the exported fields before use.
type Relayer struct {
	Clock       *clock.Clock
	Inferrer    *inferrer.Inferrer
	RetryBudget *retrier.Budget
	Timeouts    Timeouts
	// OnResume, when set, is told of each resumption and its cause.
	OnResume func(server ident.Server, cause error)
}

// Job is one answer to obtain.
type Job struct {
	Body *chat.Request
	// AttemptFunc returns a new identifier for each start.
	AttemptFunc func() ident.Request
	// AcquireFunc returns a slot at a server that is not in exclude.
	AcquireFunc func(ctx context.Context, exclude []ident.Server) (*registrar.Slot, error)
	// EmitFunc takes each frame in order. KindStalled of the pacer pauses the stream.
	EmitFunc func(ctx context.Context, f inferrer.Frame) error
	// AwaitCallerFunc waits until a paused stream may go on.
	AwaitCallerFunc func(ctx context.Context) error
	// DiscardFunc drops the frames of a broken start and reports whether none has left.
	DiscardFunc func() bool
	Recorder    *recorder.Recorder
}

// Answer describes a whole answer.
type Answer struct {
	Slot       *registrar.Slot
	FirstToken clock.Millis
	Duration   clock.Millis
	Usage      chat.Usage
}

// run is the state of one start of a job.
type run struct {
	*Relayer
	job     Job
	slot    *registrar.Slot
	request ident.Request
	started clock.Millis
	after   int64
	first   clock.Millis
	usage   chat.Usage
	content int
	// reached is set once the engine may hold the request.
	reached bool
}

// Relay obtains the job's answer. The caller gets each frame once and in order.
func (r *Relayer) Relay(ctx context.Context, job Job) (Answer, error) {
	const op = "relay answer"
	r.RetryBudget.CountRequest()
	var exclude []ident.Server
	var last error
	for start := range maxStarts {
		if start > 0 && !r.RetryBudget.TryRetry() {
			return Answer{}, fault.Newf(op, KindGaveUp, "retry budget is spent: %v", last)
		}
		slot, err := job.AcquireFunc(ctx, exclude)
		if err != nil {
			return Answer{}, fault.New(op, KindNoSlot, err)
		}
		u := &run{Relayer: r, job: job, slot: slot, request: job.AttemptFunc(), started: r.Clock.Now(), after: inferrer.StartOffset}
		err = u.stream(ctx)
		if err == nil {
			return Answer{Slot: slot, FirstToken: u.first, Duration: r.Clock.Now() - u.started, Usage: u.tokens()}, nil
		}
		last = err
		switch inferrer.KindOf(err) {
		case inferrer.KindRejected:
			return Answer{}, fault.New(op, KindRejected, err)
		case inferrer.KindCanceled:
			r.cancel(u)
			return Answer{}, fault.New(op, KindStopped, err)
		}
		if ctx.Err() != nil {
			r.cancel(u)
			return Answer{}, fault.New(op, KindStopped, ctx.Err())
		}
		if !job.DiscardFunc() {
			return Answer{}, fault.New(op, KindCut, err)
		}
		r.cancel(u)
		exclude = append(exclude, slot.Server)
	}
	return Answer{}, fault.New(op, KindGaveUp, last)
}

// cancel tells the engine to stop, when it may be working.
func (r *Relayer) cancel(u *run) {
	if !u.reached {
		return
	}
	ctx, stop := context.WithTimeout(context.Background(), cancelTimeout.Duration())
	go func() {
		defer stop()
		_ = r.Inferrer.Cancel(ctx, u.slot.Address, u.request) // the engine's own timeouts serve as well
	}()
}

// stream starts the answer and resumes it until it is whole or hopeless.
func (u *run) stream(ctx context.Context) error {
	u.job.Recorder.Begin()
	err := u.call(ctx, false)
	u.reached = err == nil || fateOf(err) == recorder.ResultLost
	tries := 0
	for err != nil {
		before := u.after
		switch {
		case u.paused(err):
			err = u.continuePaused(ctx)
		case u.reached && resumable(err) && ctx.Err() == nil && tries < maxResumes:
			err = u.resume(ctx, err, tries)
			tries++
		default:
			u.end(fateOf(err), resultOf(err))
			return err
		}
		if u.after > before {
			tries = 0
		}
	}
	u.end(recorder.ResultRan, registrar.ResultOK)
	return nil
}

// continuePaused waits for a slow caller and then resumes. The engine goes on
// meanwhile, so its slot is given back.
func (u *run) continuePaused(ctx context.Context) error {
	u.slot.Release(registrar.ResultOK, u.first)
	if err := u.job.AwaitCallerFunc(ctx); err != nil {
		return fault.New("await caller", inferrer.KindCanceled, err)
	}
	return u.call(ctx, true)
}

func (u *run) resume(ctx context.Context, cause error, tries int) error {
	if u.OnResume != nil {
		u.OnResume(u.slot.Server, cause)
	}
	if tries > 0 {
		_ = u.Clock.Sleep(ctx, resumePause<<tries) // the call notices an ended context
	}
	return u.call(ctx, true)
}

// end notes the fate of a start. Once the engine may hold the request, no later
// error of a resumption proves that it has not run.
func (u *run) end(fate recorder.Result, result registrar.Result) {
	if u.reached && fate != recorder.ResultRan {
		fate = recorder.ResultLost
	}
	u.job.Recorder.End(fate)
	u.slot.Release(result, u.first)
}

// paused reports whether the caller, and not the engine, stopped the stream.
func (u *run) paused(err error) bool {
	return inferrer.KindOf(err) == inferrer.KindCanceled && pacer.KindOf(err) == pacer.KindStalled
}

func resumable(err error) bool {
	switch inferrer.KindOf(err) {
	case inferrer.KindTruncated, inferrer.KindIdleTimeout, inferrer.KindMismatched, inferrer.KindNotSent:
		return true
	}
	return false
}

func (u *run) call(ctx context.Context, resume bool) error {
	gaps := u.Timeouts.orDefaults()
	call := inferrer.Call{
		Address: u.slot.Address, Request: u.request, Body: u.job.Body, After: u.after,
		NewConnection: resume, Resume: resume,
		HeaderTimeout: gaps.Header, FirstFrameTimeout: gaps.FirstToken, FrameTimeout: gaps.NextToken,
	}
	return u.Inferrer.Stream(ctx, call, func(f inferrer.Frame) error {
		if u.after == inferrer.StartOffset {
			u.first = u.Clock.Now() - u.started
		}
		if err := u.job.EmitFunc(ctx, f); err != nil {
			return err
		}
		u.after = f.Offset
		u.count(f)
		return nil
	})
}

func (u *run) count(f inferrer.Frame) {
	if f.Answer.Text() != "" {
		u.content++
	}
	if f.Answer.Usage != nil {
		u.usage = *f.Answer.Usage
	}
}

// tokens returns the engine's count, or that of the frames when it states none.
func (u *run) tokens() chat.Usage {
	usage := u.usage
	if usage.CompletionTokens == 0 {
		usage.CompletionTokens = u.content
	}
	return usage
}

func fateOf(err error) recorder.Result {
	switch inferrer.KindOf(err) {
	case inferrer.KindNotSent:
		return recorder.ResultNotSent
	case inferrer.KindRefused:
		return recorder.ResultRefused
	case inferrer.KindRejected:
		return recorder.ResultRefused
	}
	return recorder.ResultLost
}

func resultOf(err error) registrar.Result {
	switch inferrer.KindOf(err) {
	case inferrer.KindNotSent:
		return registrar.ResultUnreachable
	case inferrer.KindRefused:
		return registrar.ResultRefused
	case inferrer.KindRejected, inferrer.KindCanceled:
		return registrar.ResultAbandoned
	}
	return registrar.ResultFailed
}

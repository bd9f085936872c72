// Package relayer obtains one whole answer from a model version. It tries other servers after
// failures, resumes connections that are cut or silent, and pauses for slow callers.
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
	// KindNoSlot means that no server slot could be acquired; the cause says why.
	KindNoSlot Kind = "no-slot"
	// KindRejected means that the engine rejected the request itself as invalid.
	KindRejected Kind = "rejected"
	// KindGaveUp means that the attempts or the retry budget were used up before any frame had
	// been sent to the caller.
	KindGaveUp Kind = "gave-up"
	// KindCut means that part of the answer had been sent and the rest cannot be obtained.
	KindCut Kind = "cut"
	// KindStopped means that the caller disconnected or the deadline passed.
	KindStopped Kind = "stopped"
)

// Error is the package's error type.
type Error = fault.Error[Kind]

// KindOf returns the kind of the error, or "" for an error of another package.
func KindOf(err error) Kind { return fault.KindOf[Kind](err) }

const (
	// maxAttempts is the maximum number of attempts for one answer.
	maxAttempts = 4
	// maxResumesWithoutProgress is the maximum number of consecutive resumptions of one attempt
	// that bring no frame.
	maxResumesWithoutProgress = 4
	// resumePause is the base of the backoff: the first resumption since the last progress is
	// immediate, the n-th one waits resumePause shifted left by n-1.
	resumePause clock.Millis = 50
	// cancelTimeout is the timeout of the call that cancels an answer at an engine.
	cancelTimeout = 2 * clock.Second
)

// Timeouts are the longest times that an engine may be silent: before the head of its answer,
// before the first token and between tokens. Zero fields take defaults.
type Timeouts struct {
	Header, FirstToken, NextToken clock.Millis
}

const (
	defaultHeaderTimeout     = 1 * clock.Second
	defaultFirstTokenTimeout = 10 * clock.Second
	defaultNextTokenTimeout  = 2 * clock.Second
)

func (t Timeouts) withDefaults() Timeouts {
	if t.Header == 0 {
		t.Header = defaultHeaderTimeout
	}
	if t.FirstToken == 0 {
		t.FirstToken = defaultFirstTokenTimeout
	}
	if t.NextToken == 0 {
		t.NextToken = defaultNextTokenTimeout
	}
	return t
}

// Relayer runs jobs. Set the exported fields before use.
type Relayer struct {
	Clock       *clock.Clock
	Inferrer    *inferrer.Inferrer
	RetryBudget *retrier.Budget
	Timeouts    Timeouts
	// OnResume, when set, is called at each resumption with the error that caused it.
	OnResume func(server ident.Server, cause error)
}

// Job describes one answer to obtain.
type Job struct {
	Body *chat.Request
	// AttemptFunc returns a new request identifier for each attempt.
	AttemptFunc func() ident.Request
	// AcquireFunc acquires a slot at a server that is not in exclude.
	AcquireFunc func(ctx context.Context, exclude []ident.Server) (*registrar.Slot, error)
	// EmitFunc receives the frames in order. An error of pacer.KindStalled pauses the stream.
	EmitFunc func(ctx context.Context, f inferrer.Frame) error
	// AwaitCallerFunc waits until a paused stream can be resumed.
	AwaitCallerFunc func(ctx context.Context) error
	// DiscardFunc discards the frames of a failed attempt. It reports whether none of them has
	// been sent to the caller.
	DiscardFunc func() bool
	Recorder    *recorder.Recorder
}

// Answer describes a whole answer and the server slot that it came from.
type Answer struct {
	Slot       *registrar.Slot
	FirstToken clock.Millis
	Duration   clock.Millis
	Usage      chat.Usage
}

// attempt is the state of one attempt of a job.
type attempt struct {
	*Relayer
	job           Job
	slot          *registrar.Slot
	request       ident.Request
	started       clock.Millis
	lastOffset    int64
	firstToken    clock.Millis
	usage         chat.Usage
	contentFrames int
	// maybeReceived is set once the engine may have received the request.
	maybeReceived bool
}

// Relay obtains the answer of a job. The caller gets each frame once and in order.
func (r *Relayer) Relay(ctx context.Context, job Job) (Answer, error) {
	const op = "relay answer"
	r.RetryBudget.CountRequest()
	var exclude []ident.Server
	var lastErr error
	for n := range maxAttempts {
		if n > 0 && !r.RetryBudget.TryRetry() {
			return Answer{}, fault.Newf(op, KindGaveUp, "retry budget is spent: %v", lastErr)
		}
		slot, err := job.AcquireFunc(ctx, exclude)
		if err != nil {
			return Answer{}, fault.New(op, KindNoSlot, err)
		}
		u := &attempt{Relayer: r, job: job, slot: slot, request: job.AttemptFunc(), started: r.Clock.Now(), lastOffset: inferrer.StartOffset}
		err = u.stream(ctx)
		if err == nil {
			return Answer{Slot: slot, FirstToken: u.firstToken, Duration: r.Clock.Now() - u.started, Usage: u.tokenUsage()}, nil
		}
		lastErr = err
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
	return Answer{}, fault.New(op, KindGaveUp, lastErr)
}

// cancel tells the engine in the background to stop the answer, if it may have received the
// request.
func (r *Relayer) cancel(u *attempt) {
	if !u.maybeReceived {
		return
	}
	ctx, stop := context.WithTimeout(context.Background(), cancelTimeout.Duration())
	go func() {
		defer stop()
		_ = r.Inferrer.Cancel(ctx, u.slot.Address, u.request) // if this fails, the engine's own timeouts end the answer
	}()
}

// stream requests the answer and resumes it until it is complete or cannot be resumed.
func (u *attempt) stream(ctx context.Context) error {
	u.job.Recorder.Begin()
	err := u.call(ctx, false)
	u.maybeReceived = err == nil || recordedResultOf(err) == recorder.ResultLost
	resumes := 0
	for err != nil {
		before := u.lastOffset
		switch {
		case u.pausedByCaller(err):
			err = u.resumeAfterPause(ctx)
		case u.maybeReceived && resumable(err) && ctx.Err() == nil && resumes < maxResumesWithoutProgress:
			err = u.resume(ctx, err, resumes)
			resumes++
		default:
			u.finish(recordedResultOf(err), resultOf(err))
			return err
		}
		if u.lastOffset > before {
			resumes = 0
		}
	}
	u.finish(recorder.ResultRan, registrar.ResultOK)
	return nil
}

// resumeAfterPause waits for a slow caller and then resumes the stream. It releases the
// server's slot first, because the engine goes on computing during the pause.
func (u *attempt) resumeAfterPause(ctx context.Context) error {
	u.slot.Release(registrar.ResultOK, u.firstToken)
	if err := u.job.AwaitCallerFunc(ctx); err != nil {
		return fault.New("await caller", inferrer.KindCanceled, err)
	}
	return u.call(ctx, true)
}

func (u *attempt) resume(ctx context.Context, cause error, resumes int) error {
	if u.OnResume != nil {
		u.OnResume(u.slot.Server, cause)
	}
	if resumes > 0 {
		_ = u.Clock.Sleep(ctx, resumePause<<resumes) // the call below returns the error of a done context
	}
	return u.call(ctx, true)
}

// finish records the result of the attempt and releases its slot. Once the engine may have
// received the request, no later error of a resumption proves that it has not run it.
func (u *attempt) finish(recorded recorder.Result, result registrar.Result) {
	if u.maybeReceived && recorded != recorder.ResultRan {
		recorded = recorder.ResultLost
	}
	u.job.Recorder.End(recorded)
	u.slot.Release(result, u.firstToken)
}

// pausedByCaller reports whether the stream was stopped because the caller reads too slowly,
// and not by the engine.
func (u *attempt) pausedByCaller(err error) bool {
	return inferrer.KindOf(err) == inferrer.KindCanceled && pacer.KindOf(err) == pacer.KindStalled
}

func resumable(err error) bool {
	switch inferrer.KindOf(err) {
	case inferrer.KindTruncated, inferrer.KindIdleTimeout, inferrer.KindMismatched, inferrer.KindNotSent:
		return true
	}
	return false
}

func (u *attempt) call(ctx context.Context, resume bool) error {
	timeouts := u.Timeouts.withDefaults()
	call := inferrer.Call{
		Address: u.slot.Address, Request: u.request, Body: u.job.Body, After: u.lastOffset,
		NewConnection: resume, Resume: resume,
		HeaderTimeout: timeouts.Header, FirstFrameTimeout: timeouts.FirstToken, FrameTimeout: timeouts.NextToken,
	}
	return u.Inferrer.Stream(ctx, call, func(f inferrer.Frame) error {
		if u.lastOffset == inferrer.StartOffset {
			u.firstToken = u.Clock.Now() - u.started
		}
		if err := u.job.EmitFunc(ctx, f); err != nil {
			return err
		}
		u.lastOffset = f.Offset
		u.count(f)
		return nil
	})
}

func (u *attempt) count(f inferrer.Frame) {
	if f.Answer.Text() != "" {
		u.contentFrames++
	}
	if f.Answer.Usage != nil {
		u.usage = *f.Answer.Usage
	}
}

// tokenUsage returns the engine's token counts. When the engine does not state the number of
// completion tokens, the number of frames with text replaces it.
func (u *attempt) tokenUsage() chat.Usage {
	usage := u.usage
	if usage.CompletionTokens == 0 {
		usage.CompletionTokens = u.contentFrames
	}
	return usage
}

func recordedResultOf(err error) recorder.Result {
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

package runner

import (
	"context"

	"github.com/cockroachdb/errors"

	"example.com/dotterelwell/internal/contract/message"
	"example.com/dotterelwell/internal/load/refuser"
	"example.com/dotterelwell/internal/machine/clock"
)

const (
	// defaultRetryAfter is the Retry-After of refusals for which no better value is known.
	defaultRetryAfter clock.Millis = 300
	// stoppingRetryAfter is the Retry-After of an instance that is about to stop. It is short
	// because another instance can answer at once.
	stoppingRetryAfter clock.Millis = 50
)

func (x *execution) refuse(kind message.Kind, err error) *message.Refusal {
	refusal := &message.Refusal{Op: "serve request", Kind: kind, Err: err, RetryAfter: defaultRetryAfter}
	switch kind {
	case message.KindStopping:
		refusal.RetryAfter = stoppingRetryAfter
	case message.KindOverloaded:
		refusal.RetryAfter = max(defaultRetryAfter, x.pause(false).RetryAfter)
	}
	return refusal
}

// refuseTooLate returns the refusal of a request that was never sent and can't be answered in the time that is left, or
// nil. Streams that go on after an event are not refused.
func (x *execution) refuseTooLate() *message.Refusal {
	if x.ranking() == nil || x.sends > 0 || x.mayHaveRun || x.answered != nil || x.streamStarted || x.req.After != "" || len(x.probed) > 0 {
		return nil
	}
	now := x.Clock.Now()
	waits := refuser.Waits{}
	if waits.Low, waits.Median = x.waits.Waits(x.service, now); waits.Low == 0 {
		return nil
	}
	// The time for the answer isn't counted: hints of its length are often far off.
	needed := x.Predictor.PrefillTime(x.requestedModel(), max(x.req.PromptTokens-x.req.SharedTokens(), 0))
	if !refuser.MustRefuse(x.deadline-now, needed, waits) {
		return nil
	}
	refusal := x.refuse(message.KindTooLate, errors.Newf("%d ms left, %.0f needed after a wait of %.0f", x.deadline-now, needed, waits.Low))
	refusal.RetryAfter = max(defaultRetryAfter, refuser.RetryAfter(waits, x.requestHash))
	return refusal
}

// refuseUnserved returns the refusal of a request that got no usable answer. The kind tells
// whether a server may have run the request.
func (x *execution) refuseUnserved(err error) *message.Refusal {
	switch {
	case x.streamStarted:
		return x.refuse(message.KindTruncated, err)
	case x.Clock.Now() >= x.deadline && x.mayHaveRun:
		return x.refuse(message.KindTimeout, err)
	case x.mayHaveRun:
		return x.refuse(message.KindFailed, err)
	}
	return x.refuse(message.KindOverloaded, err)
}

// contextRefusal returns the refusal of a request whose context is done.
func (x *execution) contextRefusal() *message.Refusal {
	if errors.Is(context.Cause(x.ctx), context.DeadlineExceeded) {
		return x.refuseUnserved(errors.New("request deadline exceeded"))
	}
	if x.streamStarted {
		return x.refuse(message.KindTruncated, context.Cause(x.ctx))
	}
	return x.refuse(message.KindCallerGone, context.Cause(x.ctx))
}

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

// refuseStopping returns the refusal of a request that waits, if the instance may stop before the request ends, or nil. The
// caller still has the time to be served by another instance. A stream that has begun goes on.
func (x *execution) refuseStopping() *message.Refusal {
	if x.streamStarted || x.StopsBeforeFunc == nil || !x.StopsBeforeFunc(x.deadline-x.Clock.Now()) {
		return nil
	}
	return x.stoppedRefusal(errors.New("the request may outlast the instance"))
}

// stoppedRefusal returns the refusal of a request that the stop of the instance ends.
func (x *execution) stoppedRefusal(err error) *message.Refusal {
	if x.streamStarted || x.mayHaveRun {
		return x.refuseUnserved(err)
	}
	return x.refuse(message.KindStopping, err)
}

// latestEnd returns when the request has to end, at its deadline or as the instance stops, and whether the stop comes first.
func (x *execution) latestEnd() (end clock.Millis, byStop bool) {
	if x.StopAtFunc == nil {
		return x.deadline, false
	}
	at := x.StopAtFunc()
	if at == 0 || at >= x.deadline {
		return x.deadline, false
	}
	return at, true
}

// refuseTooLate returns the refusal of a request that was never sent and can't be answered before its deadline or the stop of
// the instance, or nil. Streams that go on after an event are not refused.
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
	end, byStop := x.latestEnd()
	if !refuser.MustRefuse(end-now, needed, waits) {
		return nil
	}
	err := errors.Newf("%d ms left, %.0f needed after a wait of %.0f", end-now, needed, waits.Low)
	if byStop {
		return x.stoppedRefusal(err)
	}
	refusal := x.refuse(message.KindTooLate, err)
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

// ErrStopping is the cause with which the contexts of requests are cancelled as the instance stops. Without a cause, the
// caller has left.
var ErrStopping = errors.New("the instance stops")

// contextRefusal returns the refusal of a request whose context is done.
func (x *execution) contextRefusal() *message.Refusal {
	cause := context.Cause(x.ctx)
	switch {
	case errors.Is(cause, context.DeadlineExceeded):
		return x.refuseUnserved(errors.New("request deadline exceeded"))
	case errors.Is(cause, ErrStopping):
		return x.stoppedRefusal(cause)
	case x.streamStarted:
		return x.refuse(message.KindTruncated, cause)
	}
	return x.refuse(message.KindCallerGone, cause)
}

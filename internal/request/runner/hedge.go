package runner

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"example.com/dotterelwell/internal/contract/message"
	"example.com/dotterelwell/internal/contract/routing"
	"example.com/dotterelwell/internal/load/assessor"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/roster"
)

// hedgeFactor/hedgeDivisor, which is 2.5, is the multiple of the route's first-byte target
// after which a second attempt is started beside one that has no answer yet. minHedgeDelay is the
// lower bound of that delay.
const (
	hedgeFactor                = 5
	hedgeDivisor               = 2
	minHedgeDelay clock.Millis = 200
	// hedgedPart is the part of this instance's requests that may have attempts beside a silent one, and
	// minHedges a number that always may. When all servers are slow alike, more attempts make them slower.
	hedgedPart = 0.25
	minHedges  = 2
)

// hedgeDelay returns the time after which another attempt may be started beside one that has no answer yet,
// or 0 for never. A silent server may be at work, so its attempt goes on: without a second one that
// answers first, its answer is the request's.
func (x *execution) hedgeDelay() clock.Millis {
	if x.route.Delivery != routing.DeliveryIdempotent {
		return 0
	}
	return max(x.route.FirstByteTarget*hedgeFactor/hedgeDivisor, minHedgeDelay)
}

// wholeAttempt is the result of one attempt whose answer is read whole.
type wholeAttempt struct {
	// branch is the execution of the attempt: a copy of the request's, which attempts beside it don't share.
	branch  *execution
	slot    *roster.Slot
	attempt *activeAttempt
	verdict verdict
	body    []byte
	err     error
}

// sendWhole sends the request to the slot's server, and after hedgeDelay to further ones beside it, until one of them
// answers or all have failed. It returns that attempt, or the last one that failed.
func (x *execution) sendWhole(slot *roster.Slot) *wholeAttempt {
	delay := x.hedgeDelay()
	if delay == 0 {
		result := x.runWhole(slot)
		x.join(result)
		return result
	}
	ctx, cancel := context.WithCancel(x.ctx)
	defer cancel()
	x.answered = new(atomic.Bool)
	results := make(chan *wholeAttempt)
	x.wholeRequests.Add(1)
	defer x.wholeRequests.Add(-1)
	running, hedges := 0, 0
	defer func() { x.hedges.Add(-int64(hedges)) }()
	start := func(slot *roster.Slot) {
		branch := x.branch(ctx)
		running++
		x.excludeServer(slot.Server.ID)
		go func() { results <- branch.runWhole(slot) }()
	}
	start(slot)
	timer := time.NewTimer(delay.Duration())
	defer timer.Stop()
	var ended *wholeAttempt
	for running > 0 && (ended == nil || ended.verdict != verdictForward) {
		select {
		case ended = <-results:
			running--
			x.join(ended)
		case <-timer.C:
			if next := x.hedgeSlot(running); next != nil {
				hedges++
				klog.V(1).InfoS("Request is sent to another server beside a silent one", "request", x.req.ID, "silent", slot.Server.ID, "server", next.Server.ID, "after-ms", delay)
				start(next)
			}
			timer.Reset(delay.Duration())
		}
	}
	x.answered.Store(ended.verdict == verdictForward)
	cancel()
	for ; running > 0; running-- {
		x.join(<-results)
	}
	return ended
}

// hedgeSlot takes a slot and a retry for an attempt beside those that run, or returns nil.
func (x *execution) hedgeSlot(running int) *roster.Slot {
	if x.sends+running >= x.route.MaxAttempts || x.ctx.Err() != nil {
		return nil
	}
	if most := max(minHedges, hedgedPart*float64(x.wholeRequests.Load())); float64(x.hedges.Add(1)) > most {
		x.hedges.Add(-1)
		return nil
	}
	slot, err := x.Roster.Acquire(x.wantFor(x.requestedModel()))
	switch {
	case err != nil:
		slot = nil // no other server has room: the silent one may still answer
	case !x.takeRetry():
		slot.Release(roster.ResultAbandoned)
		slot = nil
	}
	if slot == nil {
		x.hedges.Add(-1)
	}
	return slot
}

// branch returns a copy of the execution for an attempt that runs beside others. join adds what it finds.
func (x *execution) branch(ctx context.Context) *execution {
	b := *x
	b.ctx, b.log, b.bodyReleases = ctx, attemptLog{}, nil
	b.sends, b.mayHaveRun, b.attemptFailed, b.probeLost = 0, false, x.attemptFailed, false
	b.excluded = slices.Clone(x.excluded)
	return &b
}

// runWhole runs one attempt and reads its whole answer.
func (x *execution) runWhole(slot *roster.Slot) *wholeAttempt {
	w := &wholeAttempt{branch: x, slot: slot}
	w.attempt, w.verdict, w.err = x.send(slot, x.route.Delivery == routing.DeliveryOnce, 0)
	if w.verdict == verdictForward || w.verdict == verdictError {
		var err error
		if w.body, err = w.attempt.body(); err != nil {
			w.verdict, w.err = verdictLost, err
		}
	}
	w.attempt.complete = w.verdict == verdictForward
	w.attempt.end(resultByVerdict[w.verdict], w.attempt.describe(w.err), w.err)
	return w
}

// join adds to the request what one attempt of its own found.
func (x *execution) join(w *wholeAttempt) {
	if w.verdict == verdictError {
		x.savedHead, x.savedBody = &w.attempt.head, w.body
	}
	b := w.branch
	if b == x {
		return
	}
	x.sends += b.sends
	x.mayHaveRun = x.mayHaveRun || b.mayHaveRun
	x.attemptFailed = x.attemptFailed || b.attemptFailed
	x.probeLost = x.probeLost || b.probeLost
	x.bodyReleases = append(x.bodyReleases, b.bodyReleases...)
	x.log.attempts = append(x.log.attempts, b.log.attempts...)
}

// serveWhole runs a request whose answer is buffered and forwarded as a whole.
func (x *execution) serveWhole() *message.Refusal {
	once := x.route.Delivery == routing.DeliveryOnce
	unsent := assessor.Unsent{}
	for {
		slot, refusal := x.acquire()
		if refusal != nil {
			return x.forwardSaved(refusal)
		}
		w := x.sendWhole(slot)
		if w.verdict == verdictForward {
			return x.forward(&w.attempt.head, w.body)
		}
		if x.ctx.Err() != nil {
			return x.forwardSaved(x.contextRefusal())
		}
		switch w.verdict {
		case verdictUnsent:
			if !unsent.Add(w.attempt.headLatency, x.route.FirstByteTarget) {
				return x.forwardSaved(x.refuseUnserved(w.err))
			}
			x.excludeServer(w.slot.Server.ID)
			continue
		case verdictError:
			if once {
				return x.forwardSaved(nil)
			}
		case verdictLost:
			if once {
				return x.refuseUnserved(w.err)
			}
		}
		x.excludeServer(w.slot.Server.ID)
		if !x.takeRetry() {
			return x.forwardSaved(x.refuseUnserved(w.err))
		}
	}
}

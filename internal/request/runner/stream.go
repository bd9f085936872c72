package runner

import (
	"io"
	"slices"
	"strconv"

	"github.com/cockroachdb/errors"

	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/contract/message"
	"example.com/dotterelwell/internal/link/splitter"
	"example.com/dotterelwell/internal/load/assessor"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/roster"
	"example.com/dotterelwell/internal/request/cascader"
)

const (
	// readBufferBytes is the size of the buffer for reads from a stream.
	readBufferBytes = 4 << 10
	// A stream without an event for eventTimeoutFactor times the route's gap target, but at
	// least minEventTimeout, is resumed at another server if one can take it. While none can, it
	// stays and looks again each resumeInterval: an engine that has preempted it will go on.
	minEventTimeout                 = 3 * clock.Second
	eventTimeoutFactor              = 2
	resumeInterval     clock.Millis = 200
	// latencySampleEvents is the number of events after which a stream's inter-event latency
	// is reported: enough for a mean, and reported before the end of the stream, because a
	// slow stream takes long to end.
	latencySampleEvents = 8
	// maxIdleBytes bounds the comments and empty lines between two events. A server's
	// keep-alive comments take a few bytes every second.
	maxIdleBytes = 16 << 10
	// extraEvents is how many events a stream may have beyond the caller's limit of answer
	// tokens, and maxEvents bounds the events of a stream without such a limit.
	extraEvents = 64
	maxEvents   = 1 << 16
)

var (
	errPartialEvent  = errors.New("stream ended inside an event")
	errEventOrder    = errors.New("event identifier is not greater than the last one")
	errEventTimeout  = errors.New("no event within the event timeout")
	errTooManyEvents = errors.New("stream exceeds its limit of events or idle bytes")
)

// serveStream runs a request that is answered by a stream of events.
func (x *execution) serveStream() *message.Refusal {
	x.model = x.Cascader.FirstModel(x.route, x.req)
	defer func() {
		if x.resumeSlot != nil {
			x.resumeSlot.Release(roster.ResultAbandoned)
		}
	}()
	unsent := assessor.Unsent{}
	for {
		slot, refusal := x.nextSlot()
		if refusal != nil {
			if x.streamStarted {
				return x.refuse(message.KindTruncated, refusal)
			}
			return x.forwardSaved(refusal)
		}
		t, v, err := x.send(slot, !x.route.Resumable, 0)
		switch v {
		case verdictForward:
			if refusal, done := x.relay(t); done {
				return refusal
			}
			continue
		case verdictError:
			if done, refusal := x.saveFailure(t); done {
				return refusal
			}
			continue
		}
		t.end(resultByVerdict[v], t.describe(err), err)
		if x.ctx.Err() != nil {
			return x.forwardSaved(x.contextRefusal())
		}
		x.excludeServer(slot.Server.ID)
		if v == verdictUnsent {
			if unsent.Add(t.headLatency, x.route.FirstByteTarget) {
				continue
			}
			return x.forwardSaved(x.refuseUnserved(err))
		}
		if !x.mayResume(v) {
			return x.forwardSaved(x.refuseUnserved(err))
		}
	}
}

// mayResume reports whether the stream may be sent to another server, and if so takes one
// retry from the budget.
func (x *execution) mayResume(v verdict) bool {
	if !x.route.Resumable && v != verdictNotRun {
		return false
	}
	return x.takeRetry()
}

// saveFailure saves a 5xx answer, ends the attempt and reports whether the request is over.
func (x *execution) saveFailure(t *activeAttempt) (done bool, refusal *message.Refusal) {
	body, err := t.body()
	t.end(roster.ResultError, t.describe(err), err)
	x.excludeServer(t.slot.Server.ID)
	if err == nil && !x.streamStarted {
		x.savedHead, x.savedBody = &t.head, body
	}
	if x.ctx.Err() != nil {
		return true, x.forwardSaved(x.contextRefusal())
	}
	if x.mayResume(verdictError) {
		return false, nil
	}
	return true, x.forwardSaved(x.refuseUnserved(err))
}

// relay forwards a stream to the caller, unless its model is dropped for a larger one. It
// reports whether the request is over; otherwise the next attempt continues the stream.
func (x *execution) relay(t *activeAttempt) (refusal *message.Refusal, done bool) {
	if !t.head.OK() {
		body, err := t.body()
		t.end(roster.ResultOK, t.describe(err), err)
		if err != nil || x.streamStarted {
			return x.refuseUnserved(err), true
		}
		return x.forward(&t.head, body), true
	}
	detail := ""
	if larger := x.Cascader.EscalationModel(x.route, x.model); larger != "" && !x.streamStarted {
		var escalated bool
		if escalated, detail = x.escalate(t, larger); escalated {
			t.end(roster.ResultOK, detail, nil)
			x.model = larger
			return nil, false
		}
	}
	begun := x.Clock.Now()
	err := t.forwardEvents()
	if err == nil {
		if t.eventsReceived < latencySampleEvents {
			x.Predictor.ObserveEvents(x.requestedModel(), t.eventsReceived, x.Clock.Now()-begun)
		}
		t.complete = true
		t.end(roster.ResultOK, detail, nil)
		return nil, true
	}
	var callerGone *sinkError
	if errors.As(err, &callerGone) {
		t.end(roster.ResultAbandoned, "caller gone", err)
		return x.refuse(message.KindCallerGone, err), true
	}
	t.reportOverrun(err)
	t.end(roster.ResultLost, "broke off after "+x.lastEventID, err)
	if x.ctx.Err() != nil {
		return x.forwardSaved(x.contextRefusal()), true
	}
	x.excludeServer(t.slot.Server.ID)
	if x.resumeSlot != nil || x.mayResume(verdictLost) {
		return nil, false
	}
	return x.refuseUnserved(err), true
}

// nextSlot returns the slot for the next attempt. That to which a silent stream goes on has been taken already.
func (x *execution) nextSlot() (*roster.Slot, *message.Refusal) {
	if slot := x.resumeSlot; slot != nil {
		x.resumeSlot = nil
		return slot, nil
	}
	return x.acquire()
}

// takeResumeSlot reports whether the stream, whose server is silent, can be resumed at another one, and takes the slot and the
// retry for that.
func (t *activeAttempt) takeResumeSlot() bool {
	x := t.execution
	if x.sends >= x.route.MaxAttempts || x.ctx.Err() != nil {
		return false
	}
	want := x.wantFor(x.requestedModel())
	want.Exclude = append(slices.Clip(want.Exclude), t.slot.Server.ID)
	slot, err := x.Roster.Acquire(want)
	if err != nil {
		return false // the attempt goes on, so this is no failure of the request
	}
	if !x.takeRetry() {
		slot.Release(roster.ResultAbandoned)
		return false
	}
	x.resumeSlot = slot
	return true
}

// escalate reports whether the answer of a small model is dropped for one of a larger model.
// detail holds the reason for the attempt's log entry.
func (x *execution) escalate(t *activeAttempt, larger declaration.ModelName) (escalated bool, detail string) {
	if t.head.Confidence == message.NoConfidence {
		return false, "no confidence"
	}
	detail = "confidence " + strconv.Itoa(t.head.Confidence)
	wait, work, found := x.Roster.Estimate(x.wantFor(larger))
	if !found {
		return false, detail + ", no server"
	}
	now := x.Clock.Now()
	low, median := x.waits.Waits(x.service, now)
	wait = max(wait, median)
	if now+clock.Millis(wait+work)+x.decodeTime(larger) > x.deadline {
		return false, detail + ", no time" // the larger model can't finish before the deadline
	}
	left := x.req.ArrivedAt + x.route.FirstByteTarget - now
	if held := x.ranking(); held != nil {
		left = held.assessor.Left(x.priority(), left, low)
	}
	pressure := cascader.Pressure(wait, work, left)
	detail += " of " + strconv.Itoa(int(x.Cascader.ConfidenceThreshold(pressure)))
	switch {
	case !x.Cascader.ShouldEscalate(t.head.Confidence, pressure):
		return false, detail
	case !x.takeRetry():
		return false, detail + ", no budget"
	}
	return true, detail
}

// decodeTime estimates how long a model takes to generate the events of the answer.
func (x *execution) decodeTime(model declaration.ModelName) clock.Millis {
	service := x.view.Config.Services[x.service]
	if service == nil || service.Engine == nil {
		return 0
	}
	tokens := x.req.AnswerHint
	if tokens == 0 || x.req.AnswerTokens > 0 && tokens > x.req.AnswerTokens {
		tokens = x.req.AnswerTokens
	}
	return x.Predictor.DecodeTime(model, tokens/service.Engine.EventTokens)
}

// sinkError means that writing to the caller failed.
type sinkError struct{ error }

// forwardEvents forwards events until the stream ends. It returns nil if the stream is
// complete.
func (t *activeAttempt) forwardEvents() error {
	var events splitter.Splitter
	timeout := max(eventTimeoutFactor*t.route.InterEventTarget, minEventTimeout)
	buffer := make([]byte, readBufferBytes)
	t.lastEventAt = t.Clock.Now()
	// waitOn returns how much longer to wait for an event after the timeout; zero ends the attempt.
	waitOn := func() clock.Millis {
		if t.takeResumeSlot() {
			return 0
		}
		return resumeInterval
	}
	t.answer.OnReadTimeout(waitOn)
	for {
		if t.streamStarted && t.route.Resumable {
			// Only whole events reset the timeout; comments and partial events do not.
			left := timeout - (t.Clock.Now() - t.lastEventAt)
			if left <= 0 {
				if left = waitOn(); left == 0 {
					return errEventTimeout
				}
			}
			if err := t.answer.SetReadTimeout(left); err != nil {
				return err
			}
		}
		n, err := t.answer.Read(buffer)
		if n > 0 {
			if err := events.Add(buffer[:n]); err != nil {
				return err
			}
			if err := t.forwardWholeEvents(&events); err != nil {
				return err
			}
		}
		switch {
		case err == io.EOF && events.HasPartial():
			return errPartialEvent
		case err == io.EOF:
			return t.endStream()
		case err != nil:
			return err
		}
	}
}

// endStream forwards the bytes after the last event, and the head if there was no event.
func (t *activeAttempt) endStream() error {
	if t.streamStarted && len(t.idleBytes) == 0 {
		return nil
	}
	return t.writeToCaller(t.idleBytes)
}

// forwardWholeEvents forwards the whole events in one write. Comments are held back until
// the next event.
func (t *activeAttempt) forwardWholeEvents(events *splitter.Splitter) error {
	whole := t.idleBytes
	passed := 0 // length of the part of whole that ends with an event
	last := t.lastEventID
	for {
		e, found := events.Next()
		if !found {
			break
		}
		if e.ID != "" {
			if !follows(e.ID, last) {
				return errEventOrder
			}
			last = e.ID
		}
		whole = append(whole, e.Raw...)
		if e.NoData {
			continue
		}
		passed = len(whole)
		t.execution.eventsForwarded++
		t.recordEvent()
	}
	t.idleBytes = whole[passed:]
	if len(t.idleBytes) > maxIdleBytes || t.eventsReceived > t.eventLimit() {
		return errTooManyEvents
	}
	if passed == 0 {
		return nil
	}
	if err := t.writeToCaller(whole[:passed:passed]); err != nil {
		return err
	}
	t.lastEventAt = t.Clock.Now() // the time for which the caller held up the write is not the server's silence
	t.execution.lastEventID = last
	return nil
}

// writeToCaller sends bytes of the stream to the caller, preceded by the head on the first
// call.
func (t *activeAttempt) writeToCaller(p []byte) error {
	if !t.streamStarted {
		t.execution.streamStarted = true
		if err := t.sink.HeadFunc(&t.head); err != nil {
			return &sinkError{err}
		}
	}
	if len(p) == 0 {
		return nil
	}
	if err := t.sink.EventsFunc(p); err != nil {
		return &sinkError{err}
	}
	return nil
}

// eventLimit returns how many events one server may send. Each event holds at least one
// token, so the caller's token limit bounds the events.
func (t *activeAttempt) eventLimit() int {
	if t.req.AnswerTokens > 0 {
		return t.req.AnswerTokens + extraEvents
	}
	return maxEvents
}

// recordEvent counts an event and observes the inter-event latency after every
// latencySampleEvents events, so that slow streams are observed before their end, and
// streams that never end are observed at all.
func (t *activeAttempt) recordEvent() {
	now := t.Clock.Now()
	t.lastEventAt = now
	if t.eventsReceived == 0 {
		t.sampleStart = now
	}
	t.eventsReceived++
	t.observed.RecordEvent()
	if t.eventsReceived%latencySampleEvents != 0 {
		return
	}
	gaps := latencySampleEvents
	if t.eventsReceived == latencySampleEvents {
		gaps--
		if t.OnInterEventLatency != nil {
			t.OnInterEventLatency(t.attempt(), (now-t.sampleStart)/clock.Millis(gaps))
		}
	}
	t.Predictor.ObserveEvents(t.requestedModel(), gaps, now-t.sampleStart)
	t.sampleStart = now
}

// follows reports whether an event's identifier is greater than the last one. It accepts
// identifiers that are not numbers, which can't be compared.
func follows(id, last string) bool {
	next, err := strconv.ParseInt(id, 10, 64)
	if err != nil {
		return true
	}
	before, err := strconv.ParseInt(last, 10, 64)
	return err != nil || next > before
}

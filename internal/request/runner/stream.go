package runner

import (
	"io"
	"strconv"

	"github.com/cockroachdb/errors"

	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/contract/message"
	"example.com/dotterelwell/internal/link/splitter"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/roster"
	"example.com/dotterelwell/internal/request/cascader"
)

const (
	// readBytes is the size of the buffer for a stream's bytes.
	readBytes = 4 << 10
	// minSilence is the least time without an event after which a stream is resumed
	// elsewhere, and silenceFactor the multiple of the route's longest pause.
	minSilence    = 3 * clock.Second
	silenceFactor = 2
	// paceEvents is the number of a stream's events after which its pace is told: enough
	// for a mean, and early, because a slow stream takes long to end.
	paceEvents = 8
	// maxIdleBytes bounds the comments and empty lines between two events. A server that
	// keeps a connection alive sends a few bytes every second.
	maxIdleBytes = 16 << 10
	// moreEvents is how many events a stream may have beyond the tokens that its caller
	// asked for at most, and maxEvents bounds those of a request that does not say.
	moreEvents = 64
	maxEvents  = 1 << 16
)

var (
	errPartial = errors.New("the stream ended inside an event")
	errOrder   = errors.New("the stream does not continue after the last event")
	errSilent  = errors.New("no event came in time")
	errEndless = errors.New("the stream brings more than was asked for")
)

// stream runs a request that is answered by events.
func (x *run) stream() *message.Refusal {
	x.model = x.Cascader.FirstModel(x.route, x.req)
	unsent := 0
	for {
		slot, refusal := x.acquire()
		if refusal != nil {
			if x.begun {
				return x.refuse(message.KindBroken, refusal)
			}
			return x.passSaved(refusal)
		}
		t, v, err := x.begin(slot, !x.route.Resumable, 0)
		switch v {
		case verdictPass:
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
		t.end(results[v], t.describe(err))
		if x.ctx.Err() != nil {
			return x.ended()
		}
		x.skip(slot.Server.ID)
		if v == verdictUnsent {
			if unsent++; unsent < maxUnsent {
				continue
			}
			return x.passSaved(x.refuseUnserved(err))
		}
		if !x.mayContinue(v) {
			return x.passSaved(x.refuseUnserved(err))
		}
	}
}

// mayContinue reports whether the stream may go to another server.
func (x *run) mayContinue(v verdict) bool {
	if !x.route.Resumable && v != verdictNotRun {
		return false
	}
	return x.maySendAgain()
}

// saveFailure keeps a server's own failure and reports whether the request ends by it.
func (x *run) saveFailure(t *try) (done bool, refusal *message.Refusal) {
	body, err := t.body()
	t.end(roster.ResultError, t.describe(err))
	x.skip(t.slot.Server.ID)
	if err == nil && !x.begun {
		x.saved, x.savedBody = &t.head, body
	}
	if x.ctx.Err() != nil {
		return true, x.passSaved(x.ended())
	}
	if x.mayContinue(verdictError) {
		return false, nil
	}
	return true, x.passSaved(x.refuseUnserved(err))
}

// relay passes a stream on. It reports whether the request is over; otherwise the
// stream continues with the next attempt.
func (x *run) relay(t *try) (refusal *message.Refusal, done bool) {
	if !t.head.OK() {
		body, err := t.body()
		t.end(roster.ResultOK, t.describe(err))
		if err != nil || x.begun {
			return x.refuseUnserved(err), true
		}
		return x.pass(&t.head, body), true
	}
	why := ""
	if larger := x.Cascader.EscalationModel(x.route, x.model); larger != "" && !x.begun {
		var again bool
		if again, why = x.escalate(t, larger); again {
			t.end(roster.ResultOK, why)
			x.model = larger
			return nil, false
		}
	}
	begun := x.Clock.Now()
	err := t.pump()
	if err == nil {
		if t.events < paceEvents {
			x.Predictor.ObserveEvents(x.servedModel(), t.events, x.Clock.Now()-begun)
		}
		t.end(roster.ResultOK, why)
		return nil, true
	}
	var callerGone *sinkError
	if errors.As(err, &callerGone) {
		t.end(roster.ResultAbandoned, "caller gone")
		return x.refuse(message.KindCallerGone, err), true
	}
	t.noteOverrun(err)
	t.end(roster.ResultLost, "broke off after "+x.after)
	if x.ctx.Err() != nil {
		return x.ended(), true
	}
	x.skip(t.slot.Server.ID)
	if x.mayContinue(verdictLost) {
		return nil, false
	}
	return x.refuseUnserved(err), true
}

// escalate decides whether the answer of a small model is dropped for one of a larger,
// and tells by what.
func (x *run) escalate(t *try, larger declaration.ModelName) (again bool, why string) {
	if t.head.Confidence == message.NoConfidence {
		return false, "no confidence"
	}
	why = "confidence " + strconv.Itoa(t.head.Confidence)
	wait, work, found := x.Roster.Estimate(x.wantFor(larger))
	if !found {
		return false, why + ", no server"
	}
	now := x.Clock.Now()
	if now+clock.Millis(wait+work)+x.making(larger) > x.deadline {
		return false, why + ", no time" // the larger model could not end its answer
	}
	left := x.req.Arrived + x.route.FirstByteTarget - now
	pressure := cascader.Pressure(wait, work, left)
	why += " of " + strconv.Itoa(int(x.Cascader.ConfidenceThreshold(pressure)))
	switch {
	case !x.Cascader.ShouldEscalate(t.head.Confidence, pressure):
		return false, why
	case !x.maySendAgain():
		return false, why + ", no budget"
	}
	return true, why
}

// making estimates how long a model takes to make the events of the answer.
func (x *run) making(model declaration.ModelName) clock.Millis {
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

// sinkError means that the caller takes no more.
type sinkError struct{ error }

// pump passes events on until the stream ends. It returns nil for a whole stream.
func (t *try) pump() error {
	var events splitter.Splitter
	silence := max(silenceFactor*t.route.GapTarget, minSilence)
	buffer := make([]byte, readBytes)
	t.lastEvent = t.Clock.Now()
	for {
		if t.begun && t.route.Resumable {
			// Bytes that bring no event do not make the stream less silent.
			left := silence - (t.Clock.Now() - t.lastEvent)
			if left <= 0 {
				return errSilent
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
			if err := t.passEvents(&events); err != nil {
				return err
			}
		}
		switch {
		case err == io.EOF && events.Partial():
			return errPartial
		case err == io.EOF:
			return t.endStream()
		case err != nil:
			return err
		}
	}
}

// endStream passes on what follows the last event, and the head if there was none.
func (t *try) endStream() error {
	if t.begun && len(t.idle) == 0 {
		return nil
	}
	return t.passOn(t.idle)
}

// passEvents passes on the events that are whole, in one piece. Comments wait for the next
// event.
func (t *try) passEvents(events *splitter.Splitter) error {
	whole := t.idle
	passed := 0 // bytes of whole that end with an event
	last := t.after
	for {
		e, found := events.Next()
		if !found {
			break
		}
		if e.ID != "" {
			if !follows(e.ID, last) {
				return errOrder
			}
			last = e.ID
		}
		whole = append(whole, e.Raw...)
		if e.Idle {
			continue
		}
		passed = len(whole)
		t.run.events++
		t.noteEvent()
	}
	t.idle = whole[passed:]
	if len(t.idle) > maxIdleBytes || t.events > t.mostEvents() {
		return errEndless
	}
	if passed == 0 {
		return nil
	}
	if err := t.passOn(whole[:passed:passed]); err != nil {
		return err
	}
	t.run.after = last
	return nil
}

// passOn passes bytes of the stream on, after its head if they are the first.
func (t *try) passOn(p []byte) error {
	if !t.begun {
		t.run.begun = true
		if err := t.sink.BeginFunc(&t.head); err != nil {
			return &sinkError{err}
		}
	}
	if len(p) == 0 {
		return nil
	}
	if err := t.sink.EventFunc(p); err != nil {
		return &sinkError{err}
	}
	return nil
}

// mostEvents is how many events one server may send: each holds a token at least.
func (t *try) mostEvents() int {
	if t.req.AnswerTokens > 0 {
		return t.req.AnswerTokens + moreEvents
	}
	return maxEvents
}

// noteEvent learns the stream's pace after every few events, so that slow streams count
// early, and those that never end as well.
func (t *try) noteEvent() {
	now := t.Clock.Now()
	t.lastEvent = now
	if t.events == 0 {
		t.paceFrom = now
	}
	t.events++
	if t.events%paceEvents != 0 {
		return
	}
	gaps := paceEvents
	if t.events == paceEvents {
		gaps--
		if t.OnInterEventLatency != nil {
			t.OnInterEventLatency(t.attempt(), (now-t.paceFrom)/clock.Millis(gaps))
		}
	}
	t.Predictor.ObserveEvents(t.servedModel(), gaps, now-t.paceFrom)
	t.paceFrom = now
}

// follows reports whether an event's identifier comes after the last one. Identifiers
// that are no numbers cannot be compared.
func follows(id, last string) bool {
	next, err := strconv.ParseInt(id, 10, 64)
	if err != nil {
		return true
	}
	before, err := strconv.ParseInt(last, 10, 64)
	return err != nil || next > before
}

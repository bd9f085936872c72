package observer

import (
	"example.com/dotterelwell/internal/contract/backend"
	"example.com/dotterelwell/internal/contract/crash"
	"example.com/dotterelwell/internal/machine/clock"
)

// Attempt is one attempt at a server. Its methods do nothing on a nil Attempt.
type Attempt struct {
	observer *Observer
	server   backend.Incarnation
	parts    []crash.Part
	cancel   func()
	sentAt   clock.Millis
	begunAt  clock.Millis // zero until the answer has begun
	endedAt  clock.Millis // zero while in flight
	events   int
	complete bool
	settled  bool
}

// Start records an attempt. It returns nil for a prompt without parts that others may share. cancel
// gives the attempt up.
func (o *Observer) Start(server backend.Incarnation, parts []crash.Part, cancel func()) *Attempt {
	if o == nil || len(parts) == 0 {
		return nil
	}
	a := &Attempt{observer: o, server: server, parts: bounded(parts), cancel: cancel, sentAt: o.Clock.Now()}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.inFlight == nil {
		o.inFlight = map[backend.Incarnation]map[*Attempt]bool{}
		o.crashes, o.breaks = map[backend.Incarnation]clock.Millis{}, map[backend.Incarnation]clock.Millis{}
		o.clear = map[crash.Part]clock.Millis{}
	}
	if o.inFlight[server] == nil {
		o.inFlight[server] = map[*Attempt]bool{}
	}
	o.inFlight[server][a] = true
	return a
}

// bounded returns the first and the last parts of a prompt that has very many.
func bounded(parts []crash.Part) []crash.Part {
	if len(parts) <= maxAttemptParts {
		return parts
	}
	half := maxAttemptParts / 2
	return append(append([]crash.Part{}, parts[:half]...), parts[len(parts)-half:]...)
}

// Begin records that the answer has begun.
func (a *Attempt) Begin() {
	if a == nil {
		return
	}
	a.observer.mu.Lock()
	defer a.observer.mu.Unlock()
	a.begunAt = a.observer.Clock.Now()
}

// RecordEvent records an event of the answer.
func (a *Attempt) RecordEvent() {
	if a == nil {
		return
	}
	a.observer.mu.Lock()
	defer a.observer.mu.Unlock()
	a.events++
}

// End is how an attempt ended.
type End int

// Ends.
const (
	// EndOther means that the attempt says nothing about the server: it was given up, or the
	// server rejected it.
	EndOther End = iota
	// EndComplete means that the whole answer arrived.
	EndComplete
	// EndBroken means that the connection ended before the answer did.
	EndBroken
)

// End records the end of the attempt. A broken connection is checked for a crash of the server.
func (a *Attempt) End(end End) {
	if a == nil {
		return
	}
	o := a.observer
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.Clock.Now()
	a.endedAt, a.complete = now, end == EndComplete
	held := o.inFlight[a.server]
	delete(held, a)
	if len(held) == 0 {
		delete(o.inFlight, a.server)
	}
	if len(o.ended) >= maxEndedAttempts {
		o.ended = o.ended[1:]
	}
	o.ended = append(o.ended, a)
	if end != EndBroken || o.isCrashed(a.server, now) {
		return
	}
	if at, found := o.breaks[a.server]; found && now-at < sameCrashWindow {
		return // another attempt's connection ended at the same moment
	}
	o.breaks[a.server] = now
	victims := o.victimsAt(a.server, now)
	go o.confirm(a.server, now, victims)
}

// victimAt returns the attempt as the victim of a crash at the given time, and false if it can't
// have caused the crash.
func (a *Attempt) victimAt(at clock.Millis) (crash.Victim, bool) {
	ended := a.endedAt > 0 && a.endedAt < at
	v := crash.Victim{Parts: a.parts, Progress: crash.Waiting, SentBefore: at - a.sentAt}
	switch {
	case a.sentAt > at, ended && at-a.endedAt > endedWindow:
		return v, false
	case a.begunAt == 0 || a.begunAt > at:
		return v, !ended
	case at-a.begunAt >= settleTime && (a.complete || a.events >= settleEvents):
		return v, false
	}
	v.Progress = crash.Starting
	return v, true
}

// getsPastBeginning reports whether the answer has been under way for long enough.
func (a *Attempt) getsPastBeginning(now clock.Millis) bool {
	return a.begunAt > 0 && now-a.begunAt >= settleTime && (a.complete || a.events >= settleEvents)
}

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
	Work
	cancel   func()
	sentAt   clock.Millis
	begunAt  clock.Millis // zero until the answer has begun
	endedAt  clock.Millis // zero while in flight
	events   int
	complete bool
	broken   bool // the connection ended while the server was working on the attempt
	settled  bool
}

// Work is what an attempt makes a server work on.
type Work struct {
	// Parts are the prompt parts that other requests may share.
	Parts       []crash.Suspect
	Fingerprint crash.Suspect
}

// has reports whether the work is on a prompt or request with all of a cause.
func (w *Work) has(cause crash.Cause) bool {
	return cause.HeldBy(w.Parts) || cause.HeldBy([]crash.Suspect{w.Fingerprint})
}

// Start records an attempt. cancel gives the attempt up; nil for one that must run to its end.
func (o *Observer) Start(server backend.Incarnation, work Work, cancel func()) *Attempt {
	if o == nil {
		return nil
	}
	work.Parts = bounded(work.Parts)
	a := &Attempt{observer: o, server: server, Work: work, cancel: cancel, sentAt: o.Clock.Now()}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.inFlight == nil {
		o.inFlight = map[backend.Incarnation]map[*Attempt]bool{}
		o.crashes, o.breaks = map[backend.Incarnation]clock.Millis{}, map[backend.Incarnation]clock.Millis{}
	}
	if o.inFlight[server] == nil {
		o.inFlight[server] = map[*Attempt]bool{}
	}
	o.inFlight[server][a] = true
	return a
}

// bounded returns the first and the last parts of a prompt that has very many.
func bounded(parts []crash.Suspect) []crash.Suspect {
	if len(parts) <= maxAttemptParts {
		return parts
	}
	half := maxAttemptParts / 2
	return append(append([]crash.Suspect{}, parts[:half]...), parts[len(parts)-half:]...)
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
	// EndStale means that a kept connection ended before the first byte of the answer.
	EndStale
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
	stale := end == EndStale && now-a.sentAt < staleTime
	a.broken = !stale && (end == EndBroken || end == EndStale)
	if end != EndBroken && end != EndStale || o.isCrashed(a.server, now) {
		return
	}
	if at, found := o.breaks[a.server]; found && now-at < sameCrashWindow {
		return // another attempt's connection ended at the same moment
	}
	o.breaks[a.server] = now
	victims := o.victimsAt(a.server, now, stale)
	go o.confirm(a.server, now, victims)
}

// victimAt returns the attempt as the victim of a crash at the given time, and false if it can't
// have caused the crash.
func (a *Attempt) victimAt(at clock.Millis) (crash.Victim, bool) {
	ended := a.endedAt > 0 && a.endedAt < at && !(a.broken && at-a.endedAt <= noticeTime)
	v := crash.Victim{Parts: a.Parts, Fingerprint: a.Fingerprint, Progress: crash.Waiting, SentBefore: at - a.sentAt}
	if a.complete {
		v.Fingerprint = 0 // the server has survived this request
	}
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

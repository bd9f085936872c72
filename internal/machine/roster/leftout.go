package roster

import (
	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/zone/rationer"
)

// endlessWait stands for the wait of a request that this instance will not be allowed to send.
const endlessWait = 60 * clock.Second

// leftOut tells why servers that are in service cannot take a request now.
type leftOut struct {
	// paused and limited are set if a server was left out for its pause or its rate limit, and
	// otherwise if one was left out for another reason.
	paused, limited, otherwise bool
	// ownAt is the earliest time at which a pause ends or a limit lets this instance send a
	// request; zero if there is none.
	ownAt clock.Millis
	// ownRate is the rate of requests that the limits allow this instance, and fleetRate the rate
	// that they allow all instances together, in requests per second.
	ownRate, fleetRate float64
}

// addPaused records a server that is left out because of its pause. If the server's trial request
// is in flight, the end of the pause depends on its outcome, so the server also counts as left
// out for another reason.
func (l *leftOut) addPaused(w *row) {
	l.paused = true
	l.otherwise = l.otherwise || w.trial
	l.addTime(w.pausedUntil)
}

// addLimited records a server that is left out because of its rate limit.
func (l *leftOut) addLimited(w *row, allowance rationer.Allowance) {
	l.limited = true
	l.fleetRate += w.limit().PerSecond
	if allowance.Held > 0 {
		l.ownRate += allowance.PerSecond
		l.addTime(allowance.NextAt)
	}
}

// addTime records when a server that is left out can take a request.
func (l *leftOut) addTime(at clock.Millis) {
	if l.ownAt == 0 || at < l.ownAt {
		l.ownAt = at
	}
}

// onlyPausedOrLimited reports whether servers were left out because of pauses or limits and for
// no other reason.
func (l *leftOut) onlyPausedOrLimited() bool { return (l.paused || l.limited) && !l.otherwise }

// wait returns how long a request would wait for this instance to be allowed to send it, behind
// a number of requests that wait already.
func (l *leftOut) wait(ahead int, now clock.Millis) clock.Millis {
	if l.ownAt == 0 {
		return endlessWait
	}
	wait := max(l.ownAt-now, 0)
	if l.ownRate > 0 {
		wait += clock.Millis(float64(ahead) / l.ownRate * float64(clock.Second))
	}
	return wait
}

// retryAfter returns when it is worthwhile to send the request again, to any instance: when the
// first pause ends, or when the limits allow all instances together one more request.
func (l *leftOut) retryAfter(now clock.Millis) clock.Millis {
	after := l.wait(0, now)
	if l.fleetRate > 0 {
		after = min(after, clock.Millis(float64(clock.Second)/l.fleetRate))
	}
	return after
}

// Pause is when a request may be sent that no server takes now because of pauses or rate limits.
type Pause struct {
	// Wait is how long the request would wait at this instance, and RetryAfter how long until
	// any instance may send one more. Both are zero if no server takes the request for another
	// reason, or one takes it.
	Wait, RetryAfter clock.Millis
}

// Pause returns when the request may be sent if pauses and rate limits are the only reason why no
// server may take it now. queued is set if the request is one of those that wait (StartWait).
func (r *Roster) Pause(want Want, queued bool) Pause {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Now()
	if r.gather(r.ViewFunc(), want, now) == 0 || len(r.scratch) > 0 || !r.leftOut.onlyPausedOrLimited() {
		return Pause{}
	}
	ahead := 0
	if !queued {
		ahead = r.services[want.Service].waiting
	}
	return Pause{Wait: r.leftOut.wait(ahead, now), RetryAfter: r.leftOut.retryAfter(now)}
}

// StartWait counts a request that waits for a pause or a rate limit of a service's servers. The
// returned function ends the wait.
func (r *Roster) StartWait(service declaration.ServiceName) (end func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	g := r.services[service]
	if g == nil {
		return func() {}
	}
	g.waiting++
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		g.waiting--
	}
}

// Package limiter adapts how many requests at once one instance sends to one backend server.
package limiter

import "example.com/dotterelwell/internal/machine/clock"

const (
	// initialLimit is the limit for a server about which nothing is known.
	initialLimit = 4
	// minLimit keeps a trickle that can notice a recovery.
	minLimit = 1
	// maxLimit bounds the limit for a server that states none.
	maxLimit = 1024
	// backOff is the factor of a decrease.
	backOff = 0.7
	// decreaseEvery is the least time between two decreases.
	decreaseEvery clock.Millis = 200
	// slowFactor is the time to first token, over the baseline, that counts as congestion.
	slowFactor = 3.0
	// baselineWeight is the weight of a new fast sample in the baseline.
	baselineWeight = 0.1
	// slowBaselineWeight is the weight of a new slow sample in the baseline.
	slowBaselineWeight = 0.005
	// recentWeight is the weight of a new sample in the recent delay.
	recentWeight = 0.3
)

// Limiter holds the limit of one server. Its zero value is ready. It is not safe
// for concurrent use.
type Limiter struct {
	limit     float64
	decreased clock.Millis
	baseline  float64
	recent    float64
	slowRow   int
	slowStart bool
}

// Limit returns the number of requests at once that may be sent.
func (l *Limiter) Limit() int {
	if l.limit == 0 {
		l.limit = initialLimit
	}
	return max(int(l.limit), minLimit)
}

// Restart goes back to start and grows quickly from there until the first congestion.
func (l *Limiter) Restart(start int) {
	l.limit = float64(max(start, minLimit))
	l.slowStart = true
	l.slowRow = 0
}

// Succeeded records an answer whose first token took firstToken, sent while
// inFlight requests were under way, and the server's stated limit (zero for none).
func (l *Limiter) Succeeded(now, firstToken clock.Millis, inFlight, stated int) {
	l.observe(float64(firstToken))
	if l.slow(float64(firstToken)) {
		l.slowRow++
		l.decrease(now)
		return
	}
	l.slowRow = 0
	if inFlight*2 < l.Limit() {
		return
	}
	if l.slowStart {
		l.limit++
	} else {
		l.limit += 1 / l.limit
	}
	ceiling := float64(maxLimit)
	if stated > 0 {
		ceiling = float64(stated)
	}
	l.limit = min(l.limit, ceiling)
}

// Refused records that the server declined a request for want of room.
func (l *Limiter) Refused(now clock.Millis) { l.decrease(now) }

// Slow returns how many answers in a row were slow against the baseline.
func (l *Limiter) Slow() int { return l.slowRow }

// Delay returns the recent time to the first token, in milliseconds; zero when unknown.
func (l *Limiter) Delay() float64 { return l.recent }

func (l *Limiter) slow(sample float64) bool {
	return l.baseline > 0 && sample > slowFactor*max(l.baseline, 1)
}

func (l *Limiter) observe(sample float64) {
	if l.baseline == 0 {
		l.baseline, l.recent = max(sample, 1), sample
		return
	}
	l.recent += recentWeight * (sample - l.recent)
	weight := baselineWeight
	if l.slow(sample) {
		weight = slowBaselineWeight
	}
	l.baseline += weight * (sample - l.baseline)
}

func (l *Limiter) decrease(now clock.Millis) {
	l.slowStart = false
	if now-l.decreased < decreaseEvery {
		return
	}
	l.decreased = now
	l.limit = max(float64(l.Limit())*backOff, minLimit)
}

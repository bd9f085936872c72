// Package limiter adapts how many concurrent requests one instance sends to one backend server:
// additive increase while answers are fast, multiplicative decrease on congestion.
package limiter

import "example.com/dotterelwell/internal/machine/clock"

const (
	// initialLimit is the limit before the first answer of a server.
	initialLimit = 4
	// minLimit keeps enough requests flowing to notice that the server has recovered.
	minLimit = 1
	// maxLimit bounds the limit of a server that reports none.
	maxLimit = 1024
	// decreaseFactor is the factor by which the limit is multiplied on congestion.
	decreaseFactor = 0.7
	// minDecreaseInterval is the minimum time between two decreases.
	minDecreaseInterval clock.Millis = 200
	// slowFactor is the ratio of time to first token to the baseline above which an answer
	// is slow and counts as congestion.
	slowFactor = 3.0
	// baselineWeight is the weight of a new sample in the baseline if it is not slow.
	baselineWeight = 0.1
	// slowBaselineWeight is the weight of a new slow sample in the baseline.
	slowBaselineWeight = 0.005
	// recentWeight is the weight of a new sample in the moving average of the delay.
	recentWeight = 0.3
)

// Limiter holds the concurrency limit of one server. Its zero value is ready to use. It is not
// safe for concurrent use.
type Limiter struct {
	limit       float64
	decreasedAt clock.Millis
	baseline    float64
	recentDelay float64
	slowStreak  int
	slowStart   bool
}

// Limit returns the number of concurrent requests that may be sent.
func (l *Limiter) Limit() int {
	if l.limit == 0 {
		l.limit = initialLimit
	}
	return max(int(l.limit), minLimit)
}

// Restart sets the limit to start, and lets it grow by 1 per answer (slow start) until the
// first decrease.
func (l *Limiter) Restart(start int) {
	l.limit = float64(max(start, minLimit))
	l.slowStart = true
	l.slowStreak = 0
}

// RecordSuccess records an answer whose first token came after firstToken. inFlight is the
// number of requests in flight when the request was sent, and stated is the limit that the
// server reports, or zero.
func (l *Limiter) RecordSuccess(now, firstToken clock.Millis, inFlight, stated int) {
	l.observe(float64(firstToken))
	if l.slow(float64(firstToken)) {
		l.slowStreak++
		l.decrease(now)
		return
	}
	l.slowStreak = 0
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

// RecordRefusal records that the server refused a request because it was full.
func (l *Limiter) RecordRefusal(now clock.Millis) { l.decrease(now) }

// SlowStreak returns how many answers in a row were slow compared with the baseline.
func (l *Limiter) SlowStreak() int { return l.slowStreak }

// Delay returns the moving average of the time to the first token, in milliseconds; zero
// before the first answer.
func (l *Limiter) Delay() float64 { return l.recentDelay }

func (l *Limiter) slow(sample float64) bool {
	return l.baseline > 0 && sample > slowFactor*max(l.baseline, 1)
}

func (l *Limiter) observe(sample float64) {
	if l.baseline == 0 {
		l.baseline, l.recentDelay = max(sample, 1), sample
		return
	}
	l.recentDelay += recentWeight * (sample - l.recentDelay)
	weight := baselineWeight
	if l.slow(sample) {
		weight = slowBaselineWeight
	}
	l.baseline += weight * (sample - l.baseline)
}

func (l *Limiter) decrease(now clock.Millis) {
	l.slowStart = false
	if now-l.decreasedAt < minDecreaseInterval {
		return
	}
	l.decreasedAt = now
	l.limit = max(float64(l.Limit())*decreaseFactor, minLimit)
}

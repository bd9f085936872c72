package informer

import (
	"k8s.io/klog/v2"

	"example.com/dotterelwell/internal/machine/clock"
)

// span is an interval of time.
type span struct{ from, to clock.Millis }

// isOutage reports whether an interval without a confirmation by the store is longer than the wait of a watch and the way of its
// result between instances take.
func (s span) isOutage() bool { return s.to-s.from > minOutage }

// covers reports whether the store was in reach during the gap, given that it confirmed the copy all through s.
func (s span) covers(gap span) bool {
	return s.to > 0 && s.from <= gap.from && !span{s.to, gap.to}.isOutage()
}

// SteadyFor returns for how long the store's confirmations have come to this or other instances without an outage, or zero if
// none has come.
func (i *Informer) SteadyFor() clock.Millis {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.confirmedAt == 0 {
		return 0
	}
	return i.Clock.Now() - i.steadySince
}

// NoteSteady records that confirmations came to a peer without an outage for the given time, the last one age ago. They show
// whether an instance that got none meanwhile was cut off alone: entries of servers that are gone then did not lapse because the
// store was away. A time of zero, which builds that do not tell it send, shows nothing.
func (i *Informer) NoteSteady(steadyFor, age clock.Millis) {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := i.Clock.Now()
	steady := span{from: now - steadyFor, to: now - age}
	if steadyFor == 0 || steady.to < i.peerSteady.to {
		return
	}
	i.peerSteady = steady
	if i.gap.to > 0 && steady.covers(i.gap) {
		klog.InfoS("Store outage is ruled out, peers reached the store", "kind", i.Kind, "unconfirmed-ms", i.gap.to-i.gap.from)
		i.outageEndedAt, i.gap, i.steadySince = i.outageBefore, span{}, min(i.steadySince, steady.from)
	}
}

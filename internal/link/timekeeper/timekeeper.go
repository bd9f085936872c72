// Package timekeeper estimates the true time from the clocks of the fleet.
//
// A process that starts while its machine's time of day is wrong stays wrong. The median over the
// clocks of this instance and its peers is right as long as under half of them are wrong.
package timekeeper

import (
	"slices"
	"sync"

	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/ident"
)

// maxRoundTrip is the longest round trip of a sample that replaces one of a shorter round trip.
const maxRoundTrip clock.Millis = 400

// Timekeeper holds how far the clocks of peers are ahead of this instance's. Its zero value knows
// no peers.
type Timekeeper struct {
	Clock *clock.Clock

	mu      sync.Mutex
	samples map[ident.Instance]sample
	offset  clock.Millis
}

type sample struct {
	incarnation ident.Incarnation
	offset      clock.Millis
	roundTrip   clock.Millis
}

// Now returns the true time.
func (t *Timekeeper) Now() clock.Millis {
	return t.Clock.Now() + t.Offset()
}

// Offset returns how far the true time is ahead of this instance's clock.
func (t *Timekeeper) Offset() clock.Millis {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.offset
}

// Record takes in a peer's clock, read while a call to it ran between two times of this
// instance's clock.
func (t *Timekeeper) Record(peer ident.Instance, incarnation ident.Incarnation, theirs, began, ended clock.Millis) {
	if theirs == 0 {
		return // a build that tells no time
	}
	s := sample{incarnation: incarnation, offset: theirs - (began+ended)/2, roundTrip: ended - began}
	t.mu.Lock()
	defer t.mu.Unlock()
	held, found := t.samples[peer]
	if found && held.incarnation == incarnation && s.roundTrip > max(held.roundTrip, maxRoundTrip) {
		return
	}
	if t.samples == nil {
		t.samples = map[ident.Instance]sample{}
	}
	t.samples[peer] = s
	t.offset = median(t.samples)
}

// Keep forgets the clocks of all instances but the given ones.
func (t *Timekeeper) Keep(listed func(ident.Instance) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for peer := range t.samples {
		if !listed(peer) {
			delete(t.samples, peer)
		}
	}
	t.offset = median(t.samples)
}

// median returns the median offset of all clocks, this instance's included. Of an even number it
// takes the one of the two that is nearer to this instance's clock.
func median(samples map[ident.Instance]sample) clock.Millis {
	offsets := []clock.Millis{0}
	for _, s := range samples {
		offsets = append(offsets, s.offset)
	}
	slices.Sort(offsets)
	middle := len(offsets) / 2
	if len(offsets)%2 == 0 && max(offsets[middle-1], -offsets[middle-1]) < max(offsets[middle], -offsets[middle]) {
		middle--
	}
	return offsets[middle]
}

// Package pacer keeps the calls for a duty below the number that the platform accepts.
package pacer

import (
	"slices"
	"sync"

	"example.com/dotterelwell/internal/machine/clock"
)

// Pacer bounds the calls within any second. Set the exported fields before use.
type Pacer struct {
	Clock *clock.Clock
	// PerSecond is the number of calls in a second; below 1, the calls are that far apart. Zero sets no
	// bound.
	PerSecond float64

	mu    sync.Mutex
	calls []clock.Millis
}

// Take reports whether a call may be made now, and counts it if so.
func (p *Pacer) Take() bool {
	if p.PerSecond <= 0 {
		return true
	}
	most, span := int(p.PerSecond), clock.Second
	if most == 0 {
		most, span = 1, clock.Millis(float64(clock.Second)/p.PerSecond)
	}
	now := p.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls = slices.DeleteFunc(p.calls, func(at clock.Millis) bool { return now-at >= span })
	if len(p.calls) >= most {
		return false
	}
	p.calls = append(p.calls, now)
	return true
}

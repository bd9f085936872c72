// Package sampler keeps how long the servers of each service have lately let requests wait before they read their
// prompts, as this instance saw it in the answers. What instances tell of their requests is some tenths of a second
// old when it arrives, in which a server gets several more; the waits that were seen include these.
package sampler

import (
	"slices"
	"sync"

	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/machine/clock"
)

const (
	// windowSamples is the number of answers from which the wait is taken, and maxAge how old they may be.
	windowSamples = 15
	maxAge        = 2 * clock.Second
	// minSamples is the number of answers below which nothing is known.
	minSamples = 5
)

// Sampler holds the waits. Its zero value is ready.
type Sampler struct {
	mu      sync.Mutex
	windows map[declaration.ServiceName]*window
}

// window holds the newest waits of a service.
type window struct {
	samples [windowSamples]sample
	next    int
}

type sample struct {
	wait float64
	at   clock.Millis
}

// Observe adds the wait of one request, in milliseconds.
func (s *Sampler) Observe(service declaration.ServiceName, wait float64, now clock.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	held := s.windows[service]
	if held == nil {
		if s.windows == nil {
			s.windows = map[declaration.ServiceName]*window{}
		}
		held = &window{}
		s.windows[service] = held
	}
	held.samples[held.next%windowSamples] = sample{wait, now}
	held.next++
}

// Wait returns the median wait of the service's latest requests, in milliseconds. Requests whose prompt was not cached
// where it was expected to be look like ones that waited; in calm they are fewer than half.
func (s *Sampler) Wait(service declaration.ServiceName, now clock.Millis) float64 {
	_, median := s.Waits(service, now)
	return median
}

// Waits returns the wait that three of four of the service's latest requests exceeded, and the median.
func (s *Sampler) Waits(service declaration.ServiceName, now clock.Millis) (low, median float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	held := s.windows[service]
	if held == nil {
		return 0, 0
	}
	var recent [windowSamples]float64
	n := 0
	for _, sample := range held.samples[:min(held.next, windowSamples)] {
		if now-sample.at < maxAge {
			recent[n] = sample.wait
			n++
		}
	}
	if n < minSamples {
		return 0, 0
	}
	slices.Sort(recent[:n])
	return recent[n/4], recent[n/2]
}

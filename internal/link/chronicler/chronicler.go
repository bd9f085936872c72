// Package chronicler keeps the latest events of an instance in a ring buffer. Each has a
// stamp of a hybrid logical clock, by which the events of all instances sort in causal order.
package chronicler

import (
	"cmp"
	"slices"
	"sync"

	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/ident"
)

// Stamp is a reading of a hybrid logical clock: the largest physical time among this
// instance's clock and all stamps received from peers, and a counter that orders stamps of
// the same time.
type Stamp struct {
	Time  clock.Millis `json:"time-ms"`
	Count uint32       `json:"count"`
}

// Compare returns a negative number when s is before other, zero when they are equal, and a
// positive number when s is after other.
func (s Stamp) Compare(other Stamp) int {
	if c := cmp.Compare(s.Time, other.Time); c != 0 {
		return c
	}
	return cmp.Compare(s.Count, other.Count)
}

// Kind names what happened.
type Kind string

// Kinds of events.
const (
	// KindRequestBegun tells that a request passed the checks of its input.
	KindRequestBegun Kind = "request-begun"
	// KindRequestFinished tells that a request has ended, with its outcome and refusal.
	KindRequestFinished Kind = "request-finished"
	// KindDispatched tells that a request is about to be sent to a backend server.
	KindDispatched Kind = "dispatched"
	// KindResumed tells that a stream is resumed, with the cause.
	KindResumed Kind = "resumed"
	// KindClaimDecided tells that a claim was won or lost.
	KindClaimDecided Kind = "claim-decided"
	// KindBillsWritten tells that a segment of bills became durable.
	KindBillsWritten Kind = "bills-written"
	// KindBillsTakenOver tells that bills of an instance that is gone were written.
	KindBillsTakenOver Kind = "bills-taken-over"
	// KindBillAtRisk tells that an answer ended while only this process held its bill.
	KindBillAtRisk Kind = "bill-at-risk"
	// KindConfigApplied tells that a new configuration is in force.
	KindConfigApplied Kind = "config-applied"
	// KindConfigRejected tells that an invalid configuration object was read.
	KindConfigRejected Kind = "config-rejected"
	// KindServerCold tells that a backend server was found cold by this instance or a peer.
	KindServerCold Kind = "server-cold"
	// KindServerWarm tells that a backend server was found warm by this instance or a peer.
	KindServerWarm Kind = "server-warm"
	// KindVersionBad tells that a version was found bad.
	KindVersionBad Kind = "version-bad"
	// KindRolloutStep tells that a roll-out moved.
	KindRolloutStep Kind = "rollout-step"
	// KindStarted tells that the process started.
	KindStarted Kind = "started"
	// KindDraining tells that a planned stop began.
	KindDraining Kind = "draining"
	// KindPaused tells that the process was paused.
	KindPaused Kind = "process-paused"
	// KindReadiness tells that the instance's readiness changed.
	KindReadiness Kind = "readiness"
)

// Event is one entry of the timeline.
type Event struct {
	Stamp    Stamp          `json:"stamp"`
	Instance ident.Instance `json:"instance"`
	Kind     Kind           `json:"kind"`
	Request  ident.Request  `json:"request,omitempty"`
	Subject  string         `json:"subject,omitempty"`
	Detail   string         `json:"detail,omitempty"`
}

// Filter selects the events of a request and those since a time. Its zero value selects all.
type Filter struct {
	Request ident.Request
	Since   clock.Millis
}

// defaultSize is the number of events kept when Chronicler.Size is not positive.
const defaultSize = 8192

// Chronicler keeps one instance's events. Set the exported fields before use.
type Chronicler struct {
	Clock    *clock.Clock
	Instance ident.Instance
	// Size is the number of events kept; defaultSize when not positive.
	Size int

	mu     sync.Mutex
	last   Stamp
	events []Event
	next   int
}

// Now returns a stamp later than every stamp that was returned or received before.
func (c *Chronicler) Now() Stamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.advance(Stamp{})
}

// MergeStamp advances the clock so that later stamps exceed the stamp received from a peer.
func (c *Chronicler) MergeStamp(peer Stamp) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance(peer)
}

func (c *Chronicler) advance(received Stamp) Stamp {
	next := Stamp{Time: c.Clock.Now()}
	for _, s := range []Stamp{c.last, received} {
		if next.Compare(s) <= 0 {
			next = Stamp{Time: s.Time, Count: s.Count + 1}
		}
	}
	c.last = next
	return next
}

// Record adds an event with the next stamp. It overwrites the oldest one when the ring buffer
// is full.
func (c *Chronicler) Record(kind Kind, request ident.Request, subject, detail string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	size := c.Size
	if size <= 0 {
		size = defaultSize
	}
	e := Event{Stamp: c.advance(Stamp{}), Instance: c.Instance, Kind: kind, Request: request, Subject: subject, Detail: detail}
	if len(c.events) < size {
		c.events = append(c.events, e)
		return
	}
	c.events[c.next] = e
	c.next = (c.next + 1) % size
}

// Events returns the kept events that the filter selects, ordered by their stamps.
func (c *Chronicler) Events(f Filter) []Event {
	c.mu.Lock()
	defer c.mu.Unlock()
	var selected []Event
	for i := range c.events {
		e := c.events[(c.next+i)%len(c.events)]
		if f.Request != "" && e.Request != f.Request || e.Stamp.Time < f.Since {
			continue
		}
		selected = append(selected, e)
	}
	return selected
}

// Merge returns the events of several instances in causal order.
func Merge(lists ...[]Event) []Event {
	all := slices.Concat(lists...)
	slices.SortStableFunc(all, func(a, b Event) int {
		if c := a.Stamp.Compare(b.Stamp); c != 0 {
			return c
		}
		return cmp.Compare(a.Instance, b.Instance)
	})
	return all
}

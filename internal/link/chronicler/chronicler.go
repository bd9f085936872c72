// Package chronicler keeps a bounded ring of events, stamped so that those of all
// instances sort in causal order.
package chronicler

import (
	"cmp"
	"slices"
	"sync"

	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/ident"
)

// Stamp is the reading of a hybrid logical clock: a physical time that never runs
// behind what has been heard of, and a counter within it.
type Stamp struct {
	Time  clock.Millis `json:"time-ms"`
	Count uint32       `json:"count"`
}

// Compare orders two stamps.
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
	// KindConfigRejected tells that an invalid configuration object was met.
	KindConfigRejected Kind = "config-rejected"
	// KindServerCold tells that a backend server was found cold, or news of it came.
	KindServerCold Kind = "server-cold"
	// KindServerWarm tells that a backend server was found warm, or news of it came.
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

// Event is one entry of the time line.
type Event struct {
	Stamp    Stamp          `json:"stamp"`
	Instance ident.Instance `json:"instance"`
	Kind     Kind           `json:"kind"`
	Request  ident.Request  `json:"request,omitempty"`
	Subject  string         `json:"subject,omitempty"`
	Detail   string         `json:"detail,omitempty"`
}

// Filter selects events. Its zero value selects all.
type Filter struct {
	Request ident.Request
	Since   clock.Millis
}

// defaultRing is the number of events kept when no number is set.
const defaultRing = 8192

// Chronicler keeps one instance's events. Set the exported fields before use.
type Chronicler struct {
	Clock    *clock.Clock
	Instance ident.Instance
	// Size is the number of events kept.
	Size int

	mu   sync.Mutex
	last Stamp
	ring []Event
	next int
}

// Now returns a stamp later than every stamp that was returned or heard before.
func (c *Chronicler) Now() Stamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.advance(Stamp{})
}

// MergeStamp makes later stamps exceed a peer's.
func (c *Chronicler) MergeStamp(peer Stamp) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance(peer)
}

func (c *Chronicler) advance(heard Stamp) Stamp {
	next := Stamp{Time: c.Clock.Now()}
	for _, s := range []Stamp{c.last, heard} {
		if next.Compare(s) <= 0 {
			next = Stamp{Time: s.Time, Count: s.Count + 1}
		}
	}
	c.last = next
	return next
}

// Record adds an event.
func (c *Chronicler) Record(kind Kind, request ident.Request, subject, detail string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	size := c.Size
	if size <= 0 {
		size = defaultRing
	}
	e := Event{Stamp: c.advance(Stamp{}), Instance: c.Instance, Kind: kind, Request: request, Subject: subject, Detail: detail}
	if len(c.ring) < size {
		c.ring = append(c.ring, e)
		return
	}
	c.ring[c.next] = e
	c.next = (c.next + 1) % size
}

// Events returns the kept events that the filter selects, in order.
func (c *Chronicler) Events(f Filter) []Event {
	c.mu.Lock()
	defer c.mu.Unlock()
	var selected []Event
	for i := range c.ring {
		e := c.ring[(c.next+i)%len(c.ring)]
		if f.Request != "" && e.Request != f.Request || e.Stamp.Time < f.Since {
			continue
		}
		selected = append(selected, e)
	}
	return selected
}

// Merge sorts the events of several instances in causal order.
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

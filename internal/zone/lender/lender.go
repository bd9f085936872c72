// Package lender lends places at cold servers: the warming duty holder of a server
// lets other instances use single places of its limit.
//
// A place is good for a short while at the borrower and is counted for longer at the
// lender, so that the two never add up to more than the limit. What a borrower has
// under way is also known from its own statements, which outlast the place.
package lender

import (
	"sync"

	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/ident"
)

const (
	// LeaseDuration is how long a borrower may start work at a place, from when it asked.
	LeaseDuration = 3 * clock.Second
	// countedSpan is how long the lender counts a place. It exceeds Span by more than
	// a borrower's statement of its work takes to arrive.
	countedSpan = 7 * clock.Second
)

// Lender keeps the places that this instance has lent. Set the exported fields before
// use. Its lock is taken after the registrar's and before the exchanger's.
type Lender struct {
	Clock *clock.Clock
	// UsageFunc returns the requests that other instances state to have at a server.
	UsageFunc func(server ident.Server) map[ident.Instance]int

	mu   sync.Mutex
	lent map[place]clock.Millis // until when the place counts
}

type place struct {
	server   ident.Server
	borrower ident.Instance
}

// PeerUsage returns how much of a server's limit other instances have: for each one the
// larger of its place and its stated work.
func (l *Lender) PeerUsage(server ident.Server) int {
	used := map[ident.Instance]int{}
	if l.UsageFunc != nil {
		used = l.UsageFunc(server)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Clock.Now()
	for p, until := range l.lent {
		switch {
		case until < now:
			delete(l.lent, p)
		case p.server == server:
			used[p.borrower] = max(used[p.borrower], 1)
		}
	}
	total := 0
	for _, n := range used {
		total += n
	}
	return total
}

// Renew lengthens a place that is lent, and reports whether there is one.
func (l *Lender) Renew(server ident.Server, borrower ident.Instance) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := place{server, borrower}
	now := l.Clock.Now()
	if l.lent[p] < now {
		return false
	}
	l.lent[p] = now + countedSpan
	return true
}

// Lend notes a place. The caller has made sure that there is room.
func (l *Lender) Lend(server ident.Server, borrower ident.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lent == nil {
		l.lent = map[place]clock.Millis{}
	}
	l.lent[place{server, borrower}] = l.Clock.Now() + countedSpan
}

// Return gives a place back.
func (l *Lender) Return(server ident.Server, borrower ident.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.lent, place{server, borrower})
}

// Package lender leases slots at cold servers: the holder of a server's warming duty lets
// another instance use one slot, for one request, of the server's cold limit.
//
// The borrower may start requests on a slot for a shorter time than the lender reserves
// it, so that the requests of lender and borrowers together never exceed the limit.
// Requests that a borrower still has in flight after its lease has ended are counted from
// the usage that the borrower reports.
package lender

import (
	"sync"

	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/ident"
)

const (
	// LeaseDuration is how long a borrower may start requests on a slot, counted from when
	// it asked for the lease.
	LeaseDuration = 3 * clock.Second
	// reservedDuration is how long the lender counts a leased slot as used. It exceeds
	// LeaseDuration by more than a borrower's usage report takes to arrive.
	reservedDuration = 7 * clock.Second
)

// Lender tracks the slots that this instance has leased to others. Set the exported fields
// before use. Lock order: its lock is acquired after the registrar's and before the
// exchanger's.
type Lender struct {
	Clock *clock.Clock
	// UsageFunc returns the number of requests that each other instance reports to have in
	// flight at a server. PeerUsage modifies the returned map.
	UsageFunc func(server ident.Server) map[ident.Instance]int

	mu            sync.Mutex
	reservedUntil map[leaseKey]clock.Millis // when the lender stops counting the slot as used
}

type leaseKey struct {
	server   ident.Server
	borrower ident.Instance
}

// PeerUsage returns how many slots of a server's limit other instances use. Each instance
// counts with the larger of its leased slots and the requests that it reports.
func (l *Lender) PeerUsage(server ident.Server) int {
	used := map[ident.Instance]int{}
	if l.UsageFunc != nil {
		used = l.UsageFunc(server)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Clock.Now()
	for key, until := range l.reservedUntil {
		switch {
		case until < now:
			delete(l.reservedUntil, key)
		case key.server == server:
			used[key.borrower] = max(used[key.borrower], 1)
		}
	}
	total := 0
	for _, n := range used {
		total += n
	}
	return total
}

// Renew renews the borrower's lease if it is still counted, and reports whether it is.
func (l *Lender) Renew(server ident.Server, borrower ident.Instance) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := leaseKey{server, borrower}
	now := l.Clock.Now()
	if l.reservedUntil[key] < now {
		return false
	}
	l.reservedUntil[key] = now + reservedDuration
	return true
}

// Lend records a lease. The caller must have checked that the server has a free slot.
func (l *Lender) Lend(server ident.Server, borrower ident.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.reservedUntil == nil {
		l.reservedUntil = map[leaseKey]clock.Millis{}
	}
	l.reservedUntil[leaseKey{server, borrower}] = l.Clock.Now() + reservedDuration
}

// Return ends the borrower's lease and frees the slot.
func (l *Lender) Return(server ident.Server, borrower ident.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.reservedUntil, leaseKey{server, borrower})
}

// Package warmer limits the concurrent requests of all instances at a backend server during
// its cold start.
//
// While a server is cold, only two kinds of instances send requests to it: the holder of
// the server's warming duty, and the instances to which the holder has leased a slot for
// one request. Instances gossip whether a server is warm. Each change of a server from
// warm to cold starts a new epoch; within an epoch, warm supersedes cold.
package warmer

import (
	"sync"

	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/ident"
)

// Warmth is the state of one server, warm or cold, as instances gossip it.
type Warmth struct {
	Server ident.Server `json:"server"`
	Epoch  uint64       `json:"epoch"`
	Warm   bool         `json:"warm"`
}

// newer reports whether n supersedes old: by a later epoch, or by warm after cold in the
// same epoch.
func (w Warmth) newer(old Warmth) bool {
	if w.Epoch != old.Epoch {
		return w.Epoch > old.Epoch
	}
	return w.Warm && !old.Warm
}

// Duty states whether this instance holds a server's warming duty, which at most one
// instance uses at a time.
type Duty struct {
	Held bool
	// Since is when this instance acquired the duty.
	Since clock.Millis
}

// Warmer decides how many concurrent requests this instance may have at a cold server. The
// zero value treats every server as cold and holds no duty. Lock order: a caller may hold
// the registrar's lock; the warmer calls its functions without holding its own lock.
type Warmer struct {
	Clock *clock.Clock
	// SettleDelay is how long a new duty holder waits before it sends requests. It must
	// exceed the time by which the instance lists of two instances may lag one another,
	// so that the previous holder has stopped.
	SettleDelay clock.Millis
	// DutyFunc returns whether, and since when, this instance holds a server's duty.
	DutyFunc func(server ident.Server) Duty
	// PeerUsageFunc returns how much of a server's cold limit other instances use, by their
	// reports and the slots leased to them.
	PeerUsageFunc func(server ident.Server) int
	// HolderFunc returns the instance that holds a server's duty. The result is a hint: two
	// instances may disagree about the holder for a while.
	HolderFunc func(server ident.Server) ident.Instance
	// OnLocalChange, when set, is called for each change that this instance detected itself.
	OnLocalChange func(Warmth)
	// OnChange, when set, is called for each change, detected here or received from a peer.
	OnChange func(Warmth)

	mu       sync.Mutex
	warmth   map[ident.Server]Warmth
	borrowed map[ident.Server]borrowedSlot
}

// borrowedSlot is a slot at a cold server that the duty holder has leased to this instance.
type borrowedSlot struct {
	from  ident.Instance
	until clock.Millis
}

// Borrow records a slot that a server's duty holder has leased to this instance until the
// given time.
func (w *Warmer) Borrow(server ident.Server, from ident.Instance, until clock.Millis) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.borrowed == nil {
		w.borrowed = map[ident.Server]borrowedSlot{}
	}
	w.borrowed[server] = borrowedSlot{from: from, until: until}
}

// BorrowedUntil returns when the lease of the slot at a server ends; zero if there is none.
func (w *Warmer) BorrowedUntil(server ident.Server) clock.Millis {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.borrowed[server].until
}

// DropBorrowed gives up the borrowed slot at a server and reports whether there was one.
func (w *Warmer) DropBorrowed(server ident.Server) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, found := w.borrowed[server]
	delete(w.borrowed, server)
	return found
}

// borrowedSlots returns 1 while this instance has an unexpired slot at the server and the
// lender still holds the duty, and 0 otherwise.
func (w *Warmer) borrowedSlots(server ident.Server) int {
	w.mu.Lock()
	slot, found := w.borrowed[server]
	w.mu.Unlock()
	if !found || w.Clock.Now() >= slot.until || w.HolderFunc == nil || w.HolderFunc(server) != slot.from {
		return 0
	}
	return 1
}

// Allowance is the limit on this instance's concurrent requests at a server.
type Allowance struct {
	// Cold is false for a warm server, which has no limit here.
	Cold bool
	// MaxRequests is the number of concurrent requests that the instance may have at a
	// cold server.
	MaxRequests int
}

// Allowance returns this instance's limit at a server that handles at most coldLimit
// concurrent requests while cold. A coldLimit below 1 counts as 1.
func (w *Warmer) Allowance(server ident.Server, coldLimit int) Allowance {
	w.mu.Lock()
	warm := w.warmth[server].Warm
	w.mu.Unlock()
	if warm {
		return Allowance{}
	}
	if w.DutyFunc == nil {
		return Allowance{Cold: true}
	}
	duty := w.DutyFunc(server)
	if !duty.Held {
		return Allowance{Cold: true, MaxRequests: w.borrowedSlots(server)}
	}
	if w.Clock.Now()-duty.Since < w.SettleDelay {
		return Allowance{Cold: true}
	}
	peerUsage := 0
	if w.PeerUsageFunc != nil {
		peerUsage = w.PeerUsageFunc(server)
	}
	return Allowance{Cold: true, MaxRequests: max(max(coldLimit, 1)-peerUsage, 0)}
}

// Warm reports whether the server counts as warm.
func (w *Warmer) Warm(server ident.Server) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.warmth[server].Warm
}

// Epoch returns the server's current epoch.
func (w *Warmer) Epoch(server ident.Server) uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.warmth[server].Epoch
}

// MarkCold records that this instance found a server cold. It does nothing if the server
// is already marked cold.
func (w *Warmer) MarkCold(server ident.Server) {
	w.mu.Lock()
	old, known := w.warmth[server]
	if known && !old.Warm {
		w.mu.Unlock()
		return
	}
	w.mu.Unlock()
	w.detected(Warmth{Server: server, Epoch: old.Epoch + 1})
}

// MarkWarm records that this instance found a server warm in an epoch.
func (w *Warmer) MarkWarm(server ident.Server, epoch uint64) {
	w.detected(Warmth{Server: server, Epoch: max(epoch, 1), Warm: true})
}

func (w *Warmer) detected(update Warmth) {
	if w.Merge(update) && w.OnLocalChange != nil {
		w.OnLocalChange(update)
	}
}

// Merge applies a warmth update and reports whether it superseded the known state.
func (w *Warmer) Merge(update Warmth) bool {
	w.mu.Lock()
	old, known := w.warmth[update.Server]
	if known && !update.newer(old) {
		w.mu.Unlock()
		return false
	}
	if w.warmth == nil {
		w.warmth = map[ident.Server]Warmth{}
	}
	w.warmth[update.Server] = update
	w.mu.Unlock()
	if w.OnChange != nil {
		w.OnChange(update)
	}
	return true
}

// Package warmer bounds the work at backend servers in cold start, over all instances.
//
// While a server is cold only its warming duty holder sends to it, and instances to
// which the holder has lent a place. Instances
// spread news of a server's warmth; each change of a server from warm to cold
// starts a new epoch, and within an epoch warm supersedes cold.
package warmer

import (
	"sync"

	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/ident"
)

// Warmth is what instances tell one another of a server's warmth.
type Warmth struct {
	Server ident.Server `json:"server"`
	Epoch  uint64       `json:"epoch"`
	Warm   bool         `json:"warm"`
}

// newer reports whether n supersedes old.
func (n Warmth) newer(old Warmth) bool {
	if n.Epoch != old.Epoch {
		return n.Epoch > old.Epoch
	}
	return n.Warm && !old.Warm
}

// Duty tells whether this instance holds a server's warming duty.
type Duty struct {
	Held bool
	// Since is when the duty was gained.
	Since clock.Millis
}

// Warmer decides how many requests an instance may have at a cold server. Its zero
// value holds every server to be cold, and no duty. Lock order: a caller may hold
// the registrar's lock; the warmer calls out without its own.
type Warmer struct {
	Clock *clock.Clock
	// SettleDelay is how long a new duty holder waits before it uses the duty. It must
	// exceed the lag between two instances' views of the instance list.
	SettleDelay clock.Millis
	// DutyFunc tells whether this instance holds a server's duty now.
	DutyFunc func(server ident.Server) Duty
	// PeerUsageFunc returns the requests that other instances have at a server, as far as known.
	PeerUsageFunc func(server ident.Server) int
	// HolderFunc returns the instance that holds a server's duty, as a hint.
	HolderFunc func(server ident.Server) ident.Instance
	// OnLocalChange, when set, is told of each change that this instance found itself.
	OnLocalChange func(Warmth)
	// OnChange, when set, is told of each change, found or heard.
	OnChange func(Warmth)

	mu     sync.Mutex
	news   map[ident.Server]Warmth
	places map[ident.Server]borrowed
}

// borrowed is a place at a cold server that its duty holder has lent to this instance.
type borrowed struct {
	from  ident.Instance
	until clock.Millis
}

// Borrow notes a place that a server's duty holder has lent until the given time.
func (w *Warmer) Borrow(server ident.Server, from ident.Instance, until clock.Millis) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.places == nil {
		w.places = map[ident.Server]borrowed{}
	}
	w.places[server] = borrowed{from: from, until: until}
}

// BorrowedUntil returns the end of the place at a server; zero when there is none.
func (w *Warmer) BorrowedUntil(server ident.Server) clock.Millis {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.places[server].until
}

// DropBorrowed gives up a place and reports whether there was one.
func (w *Warmer) DropBorrowed(server ident.Server) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, found := w.places[server]
	delete(w.places, server)
	return found
}

// lentRoom returns 1 while this instance has a place at the server from the instance
// that still holds the duty, and 0 otherwise.
func (w *Warmer) lentRoom(server ident.Server) int {
	w.mu.Lock()
	p, found := w.places[server]
	w.mu.Unlock()
	if !found || w.Clock.Now() >= p.until || w.HolderFunc == nil || w.HolderFunc(server) != p.from {
		return 0
	}
	return 1
}

// Allowance is the room of this instance at a server.
type Allowance struct {
	Cold bool
	// MaxRequests is the number of requests that the instance may have at a cold server.
	MaxRequests int
}

// Allowance returns the room at a server that bears coldLimit requests while cold.
func (w *Warmer) Allowance(server ident.Server, coldLimit int) Allowance {
	w.mu.Lock()
	warm := w.news[server].Warm
	w.mu.Unlock()
	if warm {
		return Allowance{}
	}
	if w.DutyFunc == nil {
		return Allowance{Cold: true}
	}
	duty := w.DutyFunc(server)
	if !duty.Held {
		return Allowance{Cold: true, MaxRequests: w.lentRoom(server)}
	}
	if w.Clock.Now()-duty.Since < w.SettleDelay {
		return Allowance{Cold: true}
	}
	others := 0
	if w.PeerUsageFunc != nil {
		others = w.PeerUsageFunc(server)
	}
	return Allowance{Cold: true, MaxRequests: max(max(coldLimit, 1)-others, 0)}
}

// Warm reports whether the server is held to be warm.
func (w *Warmer) Warm(server ident.Server) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.news[server].Warm
}

// Epoch returns the server's current epoch.
func (w *Warmer) Epoch(server ident.Server) uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.news[server].Epoch
}

// MarkCold records that a server was found cold. It does nothing when that is known.
func (w *Warmer) MarkCold(server ident.Server) {
	w.mu.Lock()
	old, known := w.news[server]
	if known && !old.Warm {
		w.mu.Unlock()
		return
	}
	w.mu.Unlock()
	w.found(Warmth{Server: server, Epoch: old.Epoch + 1})
}

// MarkWarm records that a server was found warm in epoch.
func (w *Warmer) MarkWarm(server ident.Server, epoch uint64) {
	w.found(Warmth{Server: server, Epoch: max(epoch, 1), Warm: true})
}

func (w *Warmer) found(n Warmth) {
	if w.Merge(n) && w.OnLocalChange != nil {
		w.OnLocalChange(n)
	}
}

// Merge takes in news and reports whether it changed anything.
func (w *Warmer) Merge(n Warmth) bool {
	w.mu.Lock()
	old, known := w.news[n.Server]
	if known && !n.newer(old) {
		w.mu.Unlock()
		return false
	}
	if w.news == nil {
		w.news = map[ident.Server]Warmth{}
	}
	w.news[n.Server] = n
	w.mu.Unlock()
	if w.OnChange != nil {
		w.OnChange(n)
	}
	return true
}

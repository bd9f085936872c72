// Package retrier bounds retries to a share of the requests.
package retrier

import (
	"cmp"
	"sync"

	"example.com/dotterelwell/internal/machine/clock"
)

const (
	// DefaultShare is the share of the requests of a window that may be retried.
	DefaultShare = 0.1
	// DefaultReserve is the number of retries that a window allows besides.
	DefaultReserve = 20.0
	// DefaultWindow is the span in which requests and retries are counted.
	DefaultWindow = 10 * clock.Second
	// parts is the number of parts of a window that are counted apart. One more is held, so
	// that the counts span a whole window at least.
	parts = 20
)

// Budget is a budget of retries: in each window no more than a share of its requests
// and a reserve. Retries that requests did not need earlier in the window can be used by
// later ones, so that small instances, to which failures come in groups, are not denied
// what all instances together may use. Its zero value is ready.
type Budget struct {
	Clock *clock.Clock
	// Share replaces DefaultShare, Reserve DefaultReserve, and Window DefaultWindow, when
	// they are not zero.
	Share, Reserve float64
	Window         clock.Millis
	// ReserveFunc, when set, returns the reserve as of now, in place of Reserve.
	ReserveFunc func() float64

	mu      sync.Mutex
	counts  [parts + 1]count
	current clock.Millis // the number of the newest part
}

// count holds what was counted in one part of a window.
type count struct{ requests, retries int }

// CountRequest counts a request.
func (r *Budget) CountRequest() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.newest().requests++
}

// TryRetry takes one retry from the budget and reports whether there was one.
func (r *Budget) TryRetry() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	newest := r.newest()
	requests, retries := 0, 0
	for _, c := range r.counts {
		requests += c.requests
		retries += c.retries
	}
	if float64(retries+1) > cmp.Or(r.Share, DefaultShare)*float64(requests)+r.reserve() {
		return false
	}
	newest.retries++
	return true
}

func (r *Budget) reserve() float64 {
	if r.ReserveFunc != nil {
		return r.ReserveFunc()
	}
	return cmp.Or(r.Reserve, DefaultReserve)
}

// newest returns the counts of the present part, after it has cleared those of parts
// that have left the window. The lock must be held.
func (r *Budget) newest() *count {
	part := r.Clock.Now() / max(cmp.Or(r.Window, DefaultWindow)/parts, 1)
	for n := min(part-r.current, parts+1); n > 0; n-- {
		r.counts[(part-n+1)%(parts+1)] = count{}
	}
	r.current = max(r.current, part)
	return &r.counts[r.current%(parts+1)]
}

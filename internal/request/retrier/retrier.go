// Package retrier implements retry budgets, which bound retries to a share of the requests.
package retrier

import (
	"cmp"
	"sync"

	"example.com/dotterelwell/internal/machine/clock"
)

const (
	// DefaultShare is the share of the requests of a window that may be retried.
	DefaultShare = 0.1
	// DefaultReserve is the number of retries that a window allows in addition to the share.
	DefaultReserve = 20.0
	// DefaultWindow is the span in which requests and retries are counted.
	DefaultWindow = 10 * clock.Second
	// buckets is the number of buckets that a window is divided into. The ring has one more,
	// so that the counts always span at least a whole window.
	buckets = 20
)

// Budget is a retry budget over a sliding window: it allows a share of the window's requests
// and a reserve. Later requests can use the retries that earlier requests of the window did
// not need. Without that, an instance with little traffic, where failures come in groups,
// would be denied retries that the fleet as a whole may make. Its zero value is ready.
type Budget struct {
	Clock *clock.Clock
	// Share replaces DefaultShare, Reserve DefaultReserve, and Window DefaultWindow, when
	// they are not zero.
	Share, Reserve float64
	Window         clock.Millis
	// ReserveFunc, when set, returns the current reserve and replaces Reserve.
	ReserveFunc func() float64

	mu           sync.Mutex
	ring         [buckets + 1]bucket
	newestNumber clock.Millis // number of the newest bucket since the clock's epoch
}

// bucket holds the counts of one part of a window.
type bucket struct{ requests, retries int }

// SetShare replaces Share.
func (r *Budget) SetShare(share float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Share = share
}

// CountRequest counts a request.
func (r *Budget) CountRequest() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.newestBucket().requests++
}

// TryRetry takes one retry from the budget and reports whether there was one.
func (r *Budget) TryRetry() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	newest := r.newestBucket()
	requests, retries := 0, 0
	for _, c := range r.ring {
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

// newestBucket clears the buckets that have left the window and returns the current one. The
// lock must be held.
func (r *Budget) newestBucket() *bucket {
	number := r.Clock.Now() / max(cmp.Or(r.Window, DefaultWindow)/buckets, 1)
	for n := min(number-r.newestNumber, buckets+1); n > 0; n-- {
		r.ring[(number-n+1)%(buckets+1)] = bucket{}
	}
	r.newestNumber = max(r.newestNumber, number)
	return &r.ring[r.newestNumber%(buckets+1)]
}

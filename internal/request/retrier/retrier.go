// Package retrier bounds retries to a share of the requests.
package retrier

import "sync"

const (
	// share is the number of retries earned by each request.
	share = 0.1
	// reserve is the number of retries available after a quiet time.
	reserve = 20.0
)

// Retrier is a budget of retries. Its zero value has a full reserve.
type Retrier struct {
	mu    sync.Mutex
	spent float64
}

// Earn adds the share of one request.
func (r *Retrier) Earn() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.spent = max(r.spent-share, 0)
}

// Spend takes one retry from the budget and reports whether there was one.
func (r *Retrier) Spend() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.spent+1 > reserve {
		return false
	}
	r.spent++
	return true
}

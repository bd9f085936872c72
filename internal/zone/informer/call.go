package informer

import (
	"context"
	"sync"
)

// storeCall tracks the list or watch call to the store that is in progress. Another
// goroutine can cancel the call so that its owner starts a new one.
type storeCall struct {
	mu        sync.Mutex
	cancel    context.CancelFunc
	waits     bool // the store holds the call open until something changes
	restarted bool
}

// begin returns the context of a new call, and a function that the caller must call when the
// call has ended. The function reports whether restart canceled the call.
func (c *storeCall) begin(ctx context.Context, waits bool) (context.Context, func() (restarted bool)) {
	ctx, cancel := context.WithCancel(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancel, c.waits, c.restarted = cancel, waits, false
	return ctx, func() bool {
		cancel()
		c.mu.Lock()
		defer c.mu.Unlock()
		c.cancel = nil
		return c.restarted
	}
}

// restart cancels the call in progress if the store holds it open. Other calls end soon by themselves, and informers that
// restart one another's calls would never finish one.
func (c *storeCall) restart() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cancel != nil && c.waits {
		c.restarted = true
		c.cancel()
	}
}

// cancelNow cancels the call in progress.
func (c *storeCall) cancelNow() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cancel != nil {
		c.restarted = true
		c.cancel()
	}
}

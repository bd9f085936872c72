package informer

import (
	"context"
	"sync"

	"example.com/dotterelwell/internal/machine/clock"
)

// minRestartAge is the minimum age of a call that is restarted. A younger call began after
// the event that asks for the restart, so it already sees the newer state of the store.
const minRestartAge clock.Millis = 500

// storeCall tracks the list or watch call to the store that is in progress. Another
// goroutine can cancel the call so that its owner starts a new one.
type storeCall struct {
	mu        sync.Mutex
	cancel    context.CancelFunc
	began     clock.Millis
	restarted bool
}

// begin returns the context of a new call, and a function that the caller must call when the
// call has ended. The function reports whether restart canceled the call.
func (c *storeCall) begin(ctx context.Context, now clock.Millis) (context.Context, func() (restarted bool)) {
	ctx, cancel := context.WithCancel(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancel, c.began, c.restarted = cancel, now, false
	return ctx, func() bool {
		cancel()
		c.mu.Lock()
		defer c.mu.Unlock()
		c.cancel = nil
		return c.restarted
	}
}

// restart cancels the call in progress, if it is at least minRestartAge old.
func (c *storeCall) restart(now clock.Millis) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cancel == nil || now-c.began < minRestartAge {
		return
	}
	c.restarted = true
	c.cancel()
}

// cancelNow cancels the call in progress, whatever its age.
func (c *storeCall) cancelNow() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cancel != nil {
		c.restarted = true
		c.cancel()
	}
}

package informer

import (
	"context"
	"sync"

	"example.com/dotterelwell/internal/machine/clock"
)

// minRestartAge is the age below which a call is not restarted: it began after whatever is
// the reason to.
const minRestartAge clock.Millis = 500

// call is the call of the store under way, which can be ended to begin another.
type call struct {
	mu        sync.Mutex
	cancel    context.CancelFunc
	began     clock.Millis
	restarted bool
}

// begin returns the context of a call, and a function that must be called at its end and
// reports whether it was restarted.
func (c *call) begin(ctx context.Context, now clock.Millis) (context.Context, func() (restarted bool)) {
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

// restart ends the call under way.
func (c *call) restart(now clock.Millis) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cancel == nil || now-c.began < minRestartAge {
		return
	}
	c.restarted = true
	c.cancel()
}

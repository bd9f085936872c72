// Package clock gives the time in whole milliseconds, real or driven by a test.
package clock

import (
	"context"
	"time"
)

// Millis is a point in time since the Unix epoch or a span of time, in milliseconds.
type Millis int64

// Spans of time that settings and protocols refer to.
const (
	Second Millis = 1000
	Minute        = 60 * Second
	Hour          = 60 * Minute
	Day           = 24 * Hour
)

// Duration converts the span to the standard library's type.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// Time converts the point in time to the standard library's type.
func (m Millis) Time() time.Time { return time.UnixMilli(int64(m)) }

// Clock tells the time and waits. Its zero value uses the operating system's clock.
type Clock struct {
	// NowFunc replaces the system's time.
	NowFunc func() Millis
	// SleepFunc replaces waiting on the system's timers.
	SleepFunc func(ctx context.Context, d Millis) error
}

// start anchors the time of this process to the steady clock, because the time of
// day may jump.
var start = time.Now()

// Now returns the current time. It never goes back within a process: it is the time
// of day at the start of the process plus the steady time since.
func (c *Clock) Now() Millis {
	if c == nil || c.NowFunc == nil {
		return Millis(start.UnixMilli() + time.Since(start).Milliseconds())
	}
	return c.NowFunc()
}

// Sleep waits for d and returns early with the context's error when ctx ends.
func (c *Clock) Sleep(ctx context.Context, d Millis) error {
	if c != nil && c.SleepFunc != nil {
		return c.SleepFunc(ctx, d)
	}
	timer := time.NewTimer(d.Duration())
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// After returns a channel that is closed once d has passed, and a function that
// gives up the wait.
func (c *Clock) After(d Millis) (<-chan struct{}, func()) {
	done := make(chan struct{})
	if c == nil || c.SleepFunc == nil {
		timer := time.AfterFunc(d.Duration(), func() { close(done) })
		return done, func() { timer.Stop() }
	}
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		if c.SleepFunc(ctx, d) == nil {
			close(done)
		}
	}()
	return done, cancel
}

// Package sweeper closes callers' connections that have been idle for too long. Unlike
// http.Server's IdleTimeout, the limit may change while connections are open.
package sweeper

import (
	"net"
	"net/http"
	"sync"

	"example.com/dotterelwell/internal/machine/clock"
)

// limitFactor times the limit is the idle time after which a connection is closed. Callers
// may send a request on any connection that has been idle for less than the limit, and
// their clocks differ from this instance's.
const limitFactor = 1.5

// Sweeper tracks the idle connections of a server. Set the exported fields before use.
type Sweeper struct {
	Clock *clock.Clock
	// LimitFunc returns how long a connection may be idle; zero for no limit.
	LimitFunc func() clock.Millis

	mu   sync.Mutex
	idle map[net.Conn]clock.Millis
}

// Track records a connection's state; it is a callback for http.Server's ConnState.
func (s *Sweeper) Track(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state != http.StateIdle {
		delete(s.idle, c)
		return
	}
	if s.idle == nil {
		s.idle = map[net.Conn]clock.Millis{}
	}
	s.idle[c] = s.Clock.Now()
}

// Sweep closes the connections that have been idle for too long and returns their number.
func (s *Sweeper) Sweep() int {
	limit := s.LimitFunc()
	if limit <= 0 {
		return 0
	}
	cutoff := s.Clock.Now() - clock.Millis(limitFactor*float64(limit))
	s.mu.Lock()
	defer s.mu.Unlock()
	closed := 0
	for c, since := range s.idle {
		if since < cutoff {
			_ = c.Close() // it may be closed already
			delete(s.idle, c)
			closed++
		}
	}
	return closed
}

package sweeper_test

import (
	"net"
	"net/http"
	"testing"

	"example.com/dotterelwell/internal/link/sweeper"
	"example.com/dotterelwell/internal/machine/clock"
)

// TestSweep checks that only connections idle for longer than the current limit are closed.
func TestSweep(t *testing.T) {
	now, limit := clock.Millis(1000), clock.Millis(10_000)
	s := &sweeper.Sweeper{Clock: &clock.Clock{NowFunc: func() clock.Millis { return now }}, LimitFunc: func() clock.Millis { return limit }}
	idle, busy := newConn(t), newConn(t)
	s.Track(idle, http.StateIdle)
	s.Track(busy, http.StateIdle)
	now += 9000
	s.Track(busy, http.StateActive)
	if n := s.Sweep(); n != 0 {
		t.Errorf("closed %d connections within the limit", n)
	}
	limit = 5000 // an operator has lowered it
	if n := s.Sweep(); n != 1 {
		t.Errorf("closed %d connections, want the idle one", n)
	}
	if _, err := idle.Write([]byte("x")); err == nil {
		t.Error("the idle connection is still open")
	}
}

func newConn(t *testing.T) net.Conn {
	near, far := net.Pipe()
	t.Cleanup(func() { _ = near.Close(); _ = far.Close() })
	return near
}

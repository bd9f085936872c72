package gatekeeper

import (
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// answerTimeout bounds the time to write a refusal, and lingerTime how long its connection is read
	// on, up to lingerBytes, so that the bytes that come don't reset it before the client has read the refusal.
	answerTimeout = 200 * time.Millisecond
	lingerTime    = 500 * time.Millisecond
	lingerBytes   = 256 << 10
)

var errRefused = errors.New("the head exceeds a bound")

// Conn is a guarded connection. net/http reads a head while the connection is new or idle; what is read in other
// states belongs to a body or to a request that the client has sent ahead.
type Conn struct {
	net.Conn
	gatekeeper *Gatekeeper

	state   atomic.Int32 // an http.ConnState
	since   atomic.Int64 // when the state or, later, the head began, in nanoseconds since the epoch
	begun   atomic.Bool  // a byte of the head has been read
	charged atomic.Int64 // the head's part of the gatekeeper's head memory
	refused atomic.Bool
	closed  atomic.Bool

	// These are used by the one goroutine that serves the connection; reads in the background end before the
	// state changes.
	head  scanner
	ahead tail
}

// rank is higher for connections that are closed rather than others; 0 for those that are kept.
func (c *Conn) rank() int {
	state := http.ConnState(c.state.Load())
	switch {
	case c.closed.Load():
		return 0
	case c.refused.Load():
		return 3
	case state == http.StateIdle && !c.begun.Load():
		return 2
	case c.inHead():
		return 1
	}
	return 0
}

func (c *Conn) inHead() bool {
	state := http.ConnState(c.state.Load())
	return state == http.StateNew || state == http.StateIdle
}

func (c *Conn) setState(state http.ConnState) {
	switch state {
	case http.StateNew, http.StateIdle:
		c.release()
		c.head = scanner{lines: c.ahead.lines(), text: c.ahead.lines() > 0}
		c.begun.Store(false)
		c.since.Store(time.Now().UnixNano())
	case http.StateActive:
		// A head that was read with the body before it has not been charged yet.
		if !c.begun.Load() && !c.charge() {
			c.evict(BoundHeadMemory)
		}
	}
	c.state.Store(int32(state))
}

// Read reads from the connection. It fails when a head exceeds a bound.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	if !c.inHead() {
		c.ahead.add(p[:n])
		return n, err
	}
	first := c.begun.CompareAndSwap(false, true)
	if first {
		c.since.Store(time.Now().UnixNano())
	}
	c.ahead.reset()
	c.ahead.add(c.head.read(p[:n]))
	switch {
	case c.head.bytes > c.gatekeeper.headLimit()+headSlack:
		return 0, c.refuse(BoundHeadBytes)
	case !c.charge():
		return 0, c.refuse(BoundHeadMemory)
	case first && !c.head.ended:
		if deadline := c.headDeadline(); !deadline.IsZero() {
			_ = c.Conn.SetReadDeadline(deadline) // fails only if the connection is closed
		}
	}
	return n, err
}

// headDeadline returns when an unfinished head is given up; zero for never.
func (c *Conn) headDeadline() time.Time {
	if c.gatekeeper.HeadTimeoutFunc == nil {
		return time.Time{}
	}
	timeout := c.gatekeeper.HeadTimeoutFunc()
	if timeout <= 0 {
		return time.Time{}
	}
	return time.Unix(0, c.since.Load()).Add(timeoutFactor * timeout.Duration())
}

// SetReadDeadline sets the deadline of reads. That of a head that has begun is at most the deadline of heads.
func (c *Conn) SetReadDeadline(t time.Time) error {
	if !t.IsZero() && c.begun.Load() && c.inHead() {
		if deadline := c.headDeadline(); !deadline.IsZero() && deadline.Before(t) {
			t = deadline
		}
	}
	return c.Conn.SetReadDeadline(t)
}

// charge counts what the head costs toward the budget of all heads. It reports whether that fits.
func (c *Conn) charge() bool {
	g := c.gatekeeper
	cost := max(c.head.cost()-allowanceBytes, 0)
	if g.HeadMemory <= 0 || cost <= c.charged.Load() {
		return true
	}
	total := g.headMemory.Add(cost - c.charged.Swap(cost))
	return total <= g.HeadMemory || g.makeRoom(c)
}

// release takes the head's cost out of the budget.
func (c *Conn) release() {
	if charged := c.charged.Swap(0); charged != 0 {
		c.gatekeeper.headMemory.Add(-charged)
	}
}

// refuse answers the request whose head is being read, and returns the error that makes net/http close the connection
// without an answer of its own.
func (c *Conn) refuse(bound Bound) error {
	if !c.closed.Load() && !c.refused.Swap(true) {
		c.gatekeeper.note(bound)
		if c.gatekeeper.RefusalFunc != nil {
			_ = c.Conn.SetWriteDeadline(time.Now().Add(answerTimeout)) // the write fails if this does
			_, _ = c.Conn.Write(c.gatekeeper.RefusalFunc(bound))       // the client may have left
		}
	}
	return &net.OpError{Op: "read", Net: "tcp", Err: errRefused}
}

// evict closes the connection from another goroutine.
func (c *Conn) evict(bound Bound) {
	c.gatekeeper.note(bound)
	_ = c.shut() // it may be closed already
}

// Close closes the connection, that of a refused request when the client has had time to read the refusal.
func (c *Conn) Close() error {
	c.release()
	if c.refused.Load() && !c.closed.Load() {
		_ = c.CloseWrite()                                     // the client may have left
		_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTime)) // the copy fails if this does
		_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes)       // any end will do
	}
	return c.shut()
}

func (c *Conn) shut() error {
	c.release()
	if !c.closed.Swap(true) {
		c.gatekeeper.remove(c)
	}
	return c.Conn.Close()
}

// CloseWrite closes the sending side, where the connection has one.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

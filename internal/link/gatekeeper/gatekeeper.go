// Package gatekeeper bounds what clients that nobody controls cost a server: their connections, and
// the heads of their requests, before net/http parses them.
//
// A parsed head takes many times its bytes: very many short lines of a legal 16 KiB take over a megabyte. What heads
// cost beyond an allowance comes from one budget for all connections of a port.
package gatekeeper

import (
	"cmp"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"example.com/dotterelwell/internal/link/accepter"
	"example.com/dotterelwell/internal/machine/clock"
)

// Bound names what was exceeded when a connection was closed or a request refused.
type Bound string

// Bounds.
const (
	// BoundConnections means that there were too many connections.
	BoundConnections Bound = "connections"
	// BoundHeadBytes means that a head exceeded the limit in force.
	BoundHeadBytes Bound = "head-bytes"
	// BoundHeadMemory means that the heads of all connections exceeded their budget.
	BoundHeadMemory Bound = "head-memory"
)

const (
	// ConnectionBytes is about how much memory a connection with an ordinary request takes: stacks,
	// buffers and the allowance of its head.
	ConnectionBytes = 32 << 10
	// allowanceBytes is the part of each head's cost that the budget leaves out, so that
	// ordinary requests pass while others use the budget up. It covers 30 lines.
	allowanceBytes = 16 << 10
	// lineBytes is about what a header line takes besides its text: its entries in the header as
	// parsed, in that of the request to a server, and in the order in which lines are sent.
	lineBytes = 400
	// shortestLine is the length of the shortest header line, in bytes.
	shortestLine = len("a:\n")
	// byteCopies is how often the text of a head is held: as read, as parsed, as sent.
	byteCopies = 3
	// pipelinedBytes is how much of a next request net/http may have read with a body.
	pipelinedBytes = 4 << 10
	// headSlack is by how much a head may exceed the limit here: the handler refuses it with its
	// exact size.
	headSlack = 1 << 10
	// defaultHeadBytes limits heads while no limit is in force.
	defaultHeadBytes = 64 << 10
	// timeoutFactor times the header time-out in force is when an unfinished head is given up. A
	// client's clock differs from this instance's.
	timeoutFactor = 2
)

// Gatekeeper guards one port. Set the exported fields before use; their zero values set no bound.
type Gatekeeper struct {
	// Port names the port in logs.
	Port string
	// Connections bounds the open connections.
	Connections int
	// HeadMemory bounds what all heads cost beyond the allowance of each, in bytes. It is taken to be enough for
	// any one head inside the limit.
	HeadMemory int64
	// HeadBytesFunc returns the limit of a head in bytes; zero for the default.
	HeadBytesFunc func() int
	// HeadTimeoutFunc returns how long a client may take for a head; zero for no limit.
	HeadTimeoutFunc func() clock.Millis
	// RefusalFunc returns the bytes of an answer that refuses a request for a bound.
	RefusalFunc func(Bound) []byte
	// OnBound is called for each connection that is closed or refused for a bound.
	OnBound func(Bound)

	headMemory atomic.Int64
	lastLog    atomic.Int64 // in nanoseconds since the epoch
	quiet      atomic.Int64 // bounds met since the last log line

	mu    sync.Mutex
	conns map[*Conn]struct{}
}

// Listen returns a listener whose connections are guarded. Its Accept waits out errors that pass.
func (g *Gatekeeper) Listen(l net.Listener) net.Listener {
	return &listener{Listener: &accepter.Accepter{Listener: l, Port: g.Port, OnError: func() { g.evict() }}, gatekeeper: g}
}

// Track records a connection's state; it is a callback for http.Server's ConnState.
func (g *Gatekeeper) Track(c net.Conn, state http.ConnState) {
	if c, ok := c.(*Conn); ok {
		c.setState(state)
	}
}

// Open returns the number of open connections.
func (g *Gatekeeper) Open() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.conns)
}

// Full reports whether a new connection would be closed unread: there are as many as may be, each with a request under way.
func (g *Gatekeeper) Full() bool {
	return g.Connections > 0 && g.Open() >= g.Connections && g.choose(func(_, _ *Conn) int { return 0 }) == nil
}

func (g *Gatekeeper) headLimit() int {
	if g.HeadBytesFunc != nil {
		if limit := g.HeadBytesFunc(); limit > 0 {
			return limit
		}
	}
	return defaultHeadBytes
}

// budget returns the bound of what all heads cost.
func (g *Gatekeeper) budget() int64 {
	limit := g.headLimit()
	return max(g.HeadMemory, int64(limit/shortestLine*lineBytes+limit*byteCopies))
}

// HeadMemoryUsed returns what all heads cost now beyond the allowance of each, in bytes.
func (g *Gatekeeper) HeadMemoryUsed() int64 { return g.headMemory.Load() }

// admit guards a new connection, in the place of another if there are too many. It returns nil
// if there is no room.
func (g *Gatekeeper) admit(raw net.Conn) *Conn {
	c := &Conn{Conn: raw, gatekeeper: g}
	c.setState(http.StateNew)
	if g.Connections > 0 && g.Open() >= g.Connections && !g.evict() {
		_ = raw.Close() // it may be closed already
		g.note(BoundConnections)
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.conns == nil {
		g.conns = map[*Conn]struct{}{}
	}
	g.conns[c] = struct{}{}
	return c
}

// evict closes a connection without a request under way: the one that has been idle for the longest
// time, or else the one whose head has been unfinished for the longest. It reports whether there was one.
func (g *Gatekeeper) evict() bool {
	victim := g.choose(func(a, b *Conn) int {
		return cmp.Or(cmp.Compare(b.rank(), a.rank()), cmp.Compare(a.since.Load(), b.since.Load()))
	})
	if victim == nil {
		return false
	}
	victim.evict(BoundConnections)
	return true
}

// makeRoom brings the cost of heads within the budget again, by closing connections whose heads are unfinished, the
// most costly first. It reports whether c may go on: it may not if its own head is the most costly.
func (g *Gatekeeper) makeRoom(c *Conn) bool {
	for g.headMemory.Load() > g.budget() {
		victim := g.choose(func(a, b *Conn) int {
			return cmp.Or(cmp.Compare(b.charged.Load(), a.charged.Load()), cmp.Compare(a.since.Load(), b.since.Load()))
		})
		if victim == nil || victim == c || victim.charged.Load() == 0 {
			return false
		}
		victim.evict(BoundHeadMemory)
	}
	return true
}

// choose returns the first of the connections without a request under way in an order; nil if there is none.
//
// Its cost is that of a look at each connection, and it is called only while a bound is met.
func (g *Gatekeeper) choose(compare func(a, b *Conn) int) *Conn {
	g.mu.Lock()
	defer g.mu.Unlock()
	var first *Conn
	for c := range g.conns {
		if c.rank() > 0 && (first == nil || compare(c, first) < 0) {
			first = c
		}
	}
	return first
}

func (g *Gatekeeper) remove(c *Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.conns, c)
}

// logInterval is the time between two log lines about bounds of one port.
const logInterval = 10 * time.Second

// note counts a bound that was met, and logs it from time to time.
func (g *Gatekeeper) note(bound Bound) {
	if g.OnBound != nil {
		g.OnBound(bound)
	}
	count := g.quiet.Add(1)
	now, last := time.Now().UnixNano(), g.lastLog.Load()
	if now-last < int64(logInterval) || !g.lastLog.CompareAndSwap(last, now) {
		return
	}
	g.quiet.Store(0)
	klog.InfoS("Clients exceed a bound", "port", g.Port, "bound", bound, "closed", count, "connections", g.Open(), "head-bytes", g.headMemory.Load())
}

// listener guards the connections that it accepts.
type listener struct {
	net.Listener
	gatekeeper *Gatekeeper
}

func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.gatekeeper.admit(raw); c != nil {
			return c, nil
		}
	}
}

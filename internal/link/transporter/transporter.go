// Package transporter sends HTTP/1.1 requests to backend servers over pooled
// connections.
//
// Requests and answers are encoded and decoded by net/http. Unlike http.Transport, a
// Transporter never sends a request twice, reports by the Kind of an error whether a
// request without a complete answer may have run, and doesn't reuse a connection on
// which unread bytes wait, because they could pass for the answer to the next request.
package transporter

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"example.com/dotterelwell/internal/link/dialer"
	"example.com/dotterelwell/internal/link/inspector"
	"example.com/dotterelwell/internal/link/tunneler"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/fault"
	"example.com/dotterelwell/internal/machine/ident"
)

// Kind classifies the package's errors.
type Kind string

// Kinds of errors.
const (
	// KindNotSent means that no byte of the request has left this process.
	KindNotSent Kind = "not-sent"
	// KindStale means that a reused connection ended before the first byte of an answer.
	// The server had most likely closed it as idle, but the request may have run.
	KindStale Kind = "stale"
	// KindSilent means that no complete head of an answer came within Call.HeadTimeout;
	// the request may have run.
	KindSilent Kind = "silent"
	// KindOverrun means that the answer's head exceeds a limit of package inspector; the
	// request may have run.
	KindOverrun Kind = "overrun"
	// KindLost means that the head of the answer did not arrive or is invalid, for any
	// other reason; the request may have run.
	KindLost Kind = "lost"
)

// Error is the package's error type.
type Error = fault.Error[Kind]

// KindOf returns the kind of the error, or "" for an error of another package.
func KindOf(err error) Kind { return fault.KindOf[Kind](err) }

const (
	// defaultMaxIdle is the number of idle connections kept per server when
	// Call.MaxIdle is zero.
	defaultMaxIdle = 16
	// defaultIdleTimeout is how long an idle connection is kept when the server sends no
	// Keep-Alive timeout.
	defaultIdleTimeout = 4 * clock.Second
	// idleTimeoutMargin is how long before the server's Keep-Alive timeout an idle
	// connection is dropped.
	idleTimeoutMargin = 1 * clock.Second
	// bufferBytes is the size of each connection's read buffer and of its write buffer.
	bufferBytes = 4 << 10
)

// Transporter sends requests and keeps a pool of idle connections per server. Its zero
// value opens TCP connections.
type Transporter struct {
	Clock *clock.Clock
	// DialFunc replaces opening TCP connections. It bounds the time that this takes; the deadline of
	// ctx is that of the request.
	DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

	mu   sync.Mutex
	idle map[ident.Address][]*conn
}

type conn struct {
	net.Conn
	inspector inspector.Inspector
	reader    *bufio.Reader
	writer    *bufio.Writer
	reused    bool
	// via is the peer through which the connection goes; empty for a direct one. The peer decides
	// on each request whether it carries it, so such a connection is not reused.
	via ident.Instance
	// expiresAt is when the connection, while idle, may no longer be reused.
	expiresAt clock.Millis
	// onReadTimeout is the function of Answer.OnReadTimeout.
	onReadTimeout func() clock.Millis
}

// Read reads from the connection. A read that exceeds its timeout goes on below the parser of the answer, which could not go on
// after an error.
func (c *conn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if n > 0 || c.onReadTimeout == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		more := c.onReadTimeout()
		if more <= 0 {
			return n, err
		}
		if err := c.SetReadDeadline(time.Now().Add(more.Duration())); err != nil {
			return n, err
		}
	}
}

// abort closes the connection of a request that has no answer yet, which unblocks all reads and writes.
func (c *conn) abort() { dialer.Abort(c.Conn) }

// Call is one request.
type Call struct {
	Address ident.Address
	Request *http.Request
	// RequestFunc, when set, builds the request once there is a connection, in place of Request. via
	// is the peer through which the connection goes; empty for a direct one.
	RequestFunc func(via ident.Instance) *http.Request
	// Fresh opens a new connection, for requests that must not fail because the server
	// has closed a pooled one.
	Fresh bool
	// SentContext, when set, takes the place of the context of Send once a connection is open and the
	// request is being sent.
	SentContext context.Context
	// HeadTimeout bounds the time to send the request and to read the head of the final
	// answer; with zero, only the context bounds it.
	HeadTimeout clock.Millis
	// MaxIdle bounds the idle connections kept to the server after the answer: zero means
	// defaultMaxIdle, and a negative number means that none is kept.
	MaxIdle int
	// OnInterim, when set, is called with each interim answer (status 1xx).
	OnInterim func(resp *http.Response)
}

// Answer is a server's answer. Close must be called; the connection is reused only if the
// body has been read to its end before.
type Answer struct {
	*http.Response

	transporter *Transporter
	address     ident.Address
	maxIdle     int
	conn        *conn
	stop        func() bool
	bodyRead    bool
}

// Send sends a request and returns when the head of the answer has been read.
// Cancelling ctx, or Call.SentContext, closes the connection, at any time until the answer is closed.
func (t *Transporter) Send(ctx context.Context, call Call) (*Answer, error) {
	const op = "send request"
	c, err := t.acquire(ctx, call)
	if err != nil {
		return nil, fault.New(op, KindNotSent, err)
	}
	if err := ctx.Err(); err != nil {
		_ = c.Close() // the caller has left while the connection was opened
		return nil, fault.New(op, KindNotSent, err)
	}
	if call.SentContext != nil {
		ctx = call.SentContext
	}
	if call.RequestFunc != nil {
		call.Request = call.RequestFunc(c.via)
	}
	stopAborting := context.AfterFunc(ctx, c.abort)
	resp, err := roundTrip(c, call)
	if err == nil && stopAborting() {
		stop := context.AfterFunc(ctx, func() { _ = c.Close() }) // closing unblocks all reads
		return &Answer{Response: resp, transporter: t, address: call.Address, maxIdle: cmp.Or(call.MaxIdle, defaultMaxIdle), conn: c, stop: stop}, nil
	}
	stopAborting()
	c.abort()
	if err == nil {
		err = ctx.Err() // the caller has left as the answer came
	}
	kind := KindLost
	switch {
	case ctx.Err() != nil:
	case inspector.KindOf(err) != "":
		kind = KindOverrun
	case errors.Is(err, os.ErrDeadlineExceeded):
		kind = KindSilent
	case c.reused && errors.Is(err, errNoAnswer):
		kind = KindStale
	}
	return nil, fault.New(op, kind, err)
}

// errNoAnswer marks a connection that ended before the first byte of an answer.
var errNoAnswer = errors.New("connection ended before any answer")

func roundTrip(c *conn, call Call) (*http.Response, error) {
	if call.HeadTimeout > 0 {
		if err := c.SetDeadline(time.Now().Add(call.HeadTimeout.Duration())); err != nil {
			return nil, err
		}
	}
	err := writeRequest(c.writer, call.Request)
	if err == nil {
		err = c.writer.Flush()
	}
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errNoAnswer, err)
	}
	c.inspector.BeginHead()
	if _, err := c.reader.Peek(1); err != nil {
		return nil, fmt.Errorf("%w: %w", errNoAnswer, err)
	}
	for {
		resp, err := http.ReadResponse(c.reader, call.Request)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			c.inspector.EndHead()
			return resp, c.SetDeadline(time.Time{})
		}
		if resp.StatusCode < http.StatusContinue {
			return nil, fmt.Errorf("status %d is none", resp.StatusCode)
		}
		if call.OnInterim != nil {
			call.OnInterim(resp)
		}
	}
}

// Reused reports whether the answer came on a connection that had served another request before.
func (a *Answer) Reused() bool { return a.conn.reused }

// SetReadTimeout sets a deadline, d from now, for all further reads of the body.
func (a *Answer) SetReadTimeout(d clock.Millis) error {
	return a.conn.SetReadDeadline(time.Now().Add(d.Duration()))
}

// OnReadTimeout sets a function that is called when a read of the body exceeds its timeout. The read goes on for the time that
// the function returns, and fails if that is zero.
func (a *Answer) OnReadTimeout(f func() (more clock.Millis)) { a.conn.onReadTimeout = f }

// Read reads the body. Any error but io.EOF means that the body is incomplete.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.Body.Read(p)
	if err == io.EOF {
		a.bodyRead = true
	}
	return n, err
}

// Close releases the answer. Its connection returns to the pool if the body has been read
// to its end, no byte after the body has been read, and neither the server's answer nor
// a cancelled context ends the connection.
func (a *Answer) Close() {
	notCancelled := a.stop()
	a.conn.onReadTimeout = nil
	if !notCancelled || !a.bodyRead || a.Response.Close || a.conn.reader.Buffered() > 0 || a.conn.SetDeadline(time.Time{}) != nil {
		_ = a.conn.Close() // it may be closed already
		return
	}
	a.transporter.putIdle(a, idleTimeoutOf(a.Header.Get("Keep-Alive")))
}

// idleTimeoutOf returns how long an idle connection may be reused, by the Keep-Alive
// header field of the last answer on it.
func idleTimeoutOf(field string) clock.Millis {
	for _, part := range strings.Split(field, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		seconds, err := strconv.Atoi(value)
		if strings.EqualFold(name, "timeout") && err == nil {
			return clock.Millis(seconds)*clock.Second - idleTimeoutMargin
		}
	}
	return defaultIdleTimeout
}

func (t *Transporter) putIdle(a *Answer, idleTimeout clock.Millis) {
	if idleTimeout <= 0 || a.maxIdle < 1 || a.conn.via != "" {
		_ = a.conn.Close() // the server would close it at once, or no idle connection is allowed
		return
	}
	a.conn.reused = true
	a.conn.expiresAt = t.Clock.Now() + idleTimeout
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.idle == nil {
		t.idle = map[ident.Address][]*conn{}
	}
	conns := t.idle[a.address]
	for len(conns) >= a.maxIdle {
		_ = conns[0].Close() // the oldest is the most likely to be stale
		conns = conns[1:]
	}
	t.idle[a.address] = append(conns, a.conn)
}

func (t *Transporter) acquire(ctx context.Context, call Call) (*conn, error) {
	if !call.Fresh {
		if c := t.takeIdle(call.Address); c != nil {
			return c, nil
		}
	}
	dial := t.DialFunc
	if dial == nil {
		dial = dialer.Dial
	}
	raw, err := dial(ctx, "tcp", string(call.Address))
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: raw, writer: bufio.NewWriterSize(raw, bufferBytes)}
	c.inspector.Source = c
	c.reader = bufio.NewReaderSize(&c.inspector, bufferBytes)
	if tunnel, ok := raw.(*tunneler.Conn); ok {
		c.via = tunnel.Peer
	}
	return c, nil
}

// takeIdle removes and returns the newest idle connection that has not expired, is still
// open and has no unread bytes; nil if there is none. It closes the others that it meets.
func (t *Transporter) takeIdle(address ident.Address) *conn {
	for {
		t.mu.Lock()
		conns := t.idle[address]
		if len(conns) == 0 {
			delete(t.idle, address)
			t.mu.Unlock()
			return nil
		}
		c := conns[len(conns)-1]
		t.idle[address] = conns[:len(conns)-1]
		t.mu.Unlock()
		if t.Clock.Now() < c.expiresAt && isIdle(c.Conn) {
			return c
		}
		_ = c.Close() // it may be closed already
	}
}

// Sweep closes the idle connections that have expired.
func (t *Transporter) Sweep() {
	now := t.Clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	for address, conns := range t.idle {
		kept := conns[:0]
		for _, c := range conns {
			if now < c.expiresAt {
				kept = append(kept, c)
				continue
			}
			_ = c.Close() // it may be closed already
		}
		t.idle[address] = kept
		if len(kept) == 0 {
			delete(t.idle, address)
		}
	}
}

// DropIdle closes the idle connections to an address.
func (t *Transporter) DropIdle(address ident.Address) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range t.idle[address] {
		_ = c.Close() // it may be closed already
	}
	delete(t.idle, address)
}

// Close closes all idle connections.
func (t *Transporter) Close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, conns := range t.idle {
		for _, c := range conns {
			_ = c.Close() // it may be closed already
		}
	}
	t.idle = nil
}

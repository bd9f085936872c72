// Package transporter sends HTTP/1.1 requests to backend servers over pooled
// connections.
//
// Requests are written and answers read by net/http's codec. Unlike its Transport,
// a Transporter never sends a request twice, says what is known of a request that got
// no answer, and takes no answer from a connection on which one was already waiting.
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
	// KindStale means that a reused connection ended before any byte of an answer; the
	// server had most likely closed it as idle, but the request may have run.
	KindStale Kind = "stale"
	// KindSilent means that no answer began within the time allowed; it may have run.
	KindSilent Kind = "silent"
	// KindOverrun means that the answer's head exceeds a bound; the request may have run.
	KindOverrun Kind = "overrun"
	// KindLost means that the request may have run and that no whole answer came.
	KindLost Kind = "lost"
)

// Error is the package's error type.
type Error = fault.Error[Kind]

// KindOf returns the kind of the error, or "" for an error of another package.
func KindOf(err error) Kind { return fault.KindOf[Kind](err) }

const (
	// dialTimeout bounds the opening of a connection. Back ends are within milliseconds;
	// the first lost packet of a handshake is sent again after one second.
	dialTimeout clock.Millis = 1200
	// defaultMaxIdle bounds the idle connections kept to one server when a call does not.
	defaultMaxIdle = 16
	// defaultIdle is how long a connection is kept whose server names no timeout.
	defaultIdle = 4 * clock.Second
	// idleMargin is how long before the server's own timeout a connection is dropped.
	idleMargin = 1 * clock.Second
	// readerBytes is the size of each connection's read buffer.
	readerBytes = 4 << 10
)

// Transporter sends requests. Its zero value opens TCP connections.
type Transporter struct {
	Clock *clock.Clock
	// DialFunc replaces opening TCP connections.
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
	// dropAt is when an idle connection is no longer used.
	dropAt clock.Millis
}

// Call is one request.
type Call struct {
	Address ident.Address
	Request *http.Request
	// Fresh asks for a new connection, for requests that must not meet a stale one.
	Fresh bool
	// HeadTimeout bounds the time until the answer begins; zero for no bound of its own.
	HeadTimeout clock.Millis
	// MaxIdle bounds the idle connections kept to the server after the answer; zero for a
	// default, and less for none.
	MaxIdle int
	// OnInterim, when set, is told of each interim answer.
	OnInterim func(resp *http.Response)
}

// Answer is a server's answer. Its body must be read to the end for the connection to
// be used again, and Close must be called.
type Answer struct {
	*http.Response

	transport *Transporter
	address   ident.Address
	maxIdle   int
	conn      *conn
	stop      func() bool
	ended     bool
}

// Send sends a request and returns when the answer's header is in. Cancelling ctx
// closes the connection, at any time until the answer is closed.
func (t *Transporter) Send(ctx context.Context, call Call) (*Answer, error) {
	const op = "send request"
	c, err := t.connect(ctx, call)
	if err != nil {
		return nil, fault.New(op, KindNotSent, err)
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() }) // closing ends all reads and writes
	resp, err := exchange(c, call)
	if err == nil {
		return &Answer{Response: resp, transport: t, address: call.Address, maxIdle: cmp.Or(call.MaxIdle, defaultMaxIdle), conn: c, stop: stop}, nil
	}
	stop()
	_ = c.Close() // it may be closed already
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

func exchange(c *conn, call Call) (*http.Response, error) {
	if call.HeadTimeout > 0 {
		if err := c.SetDeadline(time.Now().Add(call.HeadTimeout.Duration())); err != nil {
			return nil, err
		}
	}
	err := call.Request.Write(c.writer)
	if err == nil {
		err = c.writer.Flush()
	}
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errNoAnswer, err)
	}
	c.inspector.Expect()
	if _, err := c.reader.Peek(1); err != nil {
		return nil, fmt.Errorf("%w: %w", errNoAnswer, err)
	}
	for {
		resp, err := http.ReadResponse(c.reader, call.Request)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			c.inspector.Done()
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

// SetReadTimeout bounds the wait for the next bytes of the body.
func (a *Answer) SetReadTimeout(d clock.Millis) error {
	return a.conn.SetReadDeadline(time.Now().Add(d.Duration()))
}

// Read reads the body. Any error but io.EOF means that the body is not whole.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.Body.Read(p)
	if err == io.EOF {
		a.ended = true
	}
	return n, err
}

// Close ends the answer. Its connection is kept if the body has been read to its end
// and nothing follows it.
func (a *Answer) Close() {
	intact := a.stop()
	if !intact || !a.ended || a.Response.Close || a.conn.reader.Buffered() > 0 || a.conn.SetDeadline(time.Time{}) != nil {
		_ = a.conn.Close() // it may be closed already
		return
	}
	a.transport.keep(a, idleSpan(a.Header.Get("Keep-Alive")))
}

// idleSpan returns how long a connection may be kept by its Keep-Alive field.
func idleSpan(field string) clock.Millis {
	for _, part := range strings.Split(field, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		seconds, err := strconv.Atoi(value)
		if strings.EqualFold(name, "timeout") && err == nil {
			return clock.Millis(seconds)*clock.Second - idleMargin
		}
	}
	return defaultIdle
}

func (t *Transporter) keep(a *Answer, span clock.Millis) {
	if span <= 0 || a.maxIdle < 1 {
		_ = a.conn.Close() // the server would close it at once, or needs it for others
		return
	}
	a.conn.reused = true
	a.conn.dropAt = t.Clock.Now() + span
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.idle == nil {
		t.idle = map[ident.Address][]*conn{}
	}
	held := t.idle[a.address]
	for len(held) >= a.maxIdle {
		_ = held[0].Close() // the oldest is the most likely to be stale
		held = held[1:]
	}
	t.idle[a.address] = append(held, a.conn)
}

func (t *Transporter) connect(ctx context.Context, call Call) (*conn, error) {
	if !call.Fresh {
		if c := t.takeIdle(call.Address); c != nil {
			return c, nil
		}
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout.Duration())
	defer cancel()
	dial := t.DialFunc
	if dial == nil {
		dial = dialer.TCP.DialContext
	}
	raw, err := dial(ctx, "tcp", string(call.Address))
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: raw, inspector: inspector.Inspector{Source: raw}, writer: bufio.NewWriterSize(raw, readerBytes)}
	c.reader = bufio.NewReaderSize(&c.inspector, readerBytes)
	return c, nil
}

// takeIdle returns the newest idle connection on which nothing waits to be read.
func (t *Transporter) takeIdle(address ident.Address) *conn {
	for {
		t.mu.Lock()
		held := t.idle[address]
		if len(held) == 0 {
			delete(t.idle, address)
			t.mu.Unlock()
			return nil
		}
		c := held[len(held)-1]
		t.idle[address] = held[:len(held)-1]
		t.mu.Unlock()
		if t.Clock.Now() < c.dropAt && quiet(c.Conn) {
			return c
		}
		_ = c.Close() // it may be closed already
	}
}

// Sweep closes idle connections that are no longer used.
func (t *Transporter) Sweep() {
	now := t.Clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	for address, held := range t.idle {
		kept := held[:0]
		for _, c := range held {
			if now < c.dropAt {
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

// Close closes all idle connections.
func (t *Transporter) Close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, held := range t.idle {
		for _, c := range held {
			_ = c.Close() // it may be closed already
		}
	}
	t.idle = nil
}

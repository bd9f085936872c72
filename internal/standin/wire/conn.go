package wire

import (
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// bufferBytes is what one direction of a connection holds before writes wait.
const bufferBytes = 256 << 10

// conn is one end of a connection.
type conn struct {
	in, out       *half
	local, remote addr
}

func newPair(latency time.Duration, a, b addr) (near, far *conn) {
	there, back := newHalf(latency), newHalf(latency)
	near = &conn{in: back, out: there, local: a, remote: b}
	far = &conn{in: there, out: back, local: b, remote: a}
	return near, far
}

func (c *conn) Read(p []byte) (int, error) { return c.in.read(p) }

func (c *conn) Write(p []byte) (int, error) { return c.out.write(p) }

func (c *conn) Close() error {
	c.in.close()
	c.out.close()
	return nil
}

func (c *conn) LocalAddr() net.Addr { return c.local }

func (c *conn) RemoteAddr() net.Addr { return c.remote }

func (c *conn) SetDeadline(t time.Time) error {
	c.in.setReadDeadline(t)
	c.out.setWriteDeadline(t)
	return nil
}

func (c *conn) SetReadDeadline(t time.Time) error {
	c.in.setReadDeadline(t)
	return nil
}

func (c *conn) SetWriteDeadline(t time.Time) error {
	c.out.setWriteDeadline(t)
	return nil
}

// chunk is data with the time of its arrival.
type chunk struct {
	data []byte
	at   time.Time
}

// half is one direction of a connection.
type half struct {
	latency time.Duration

	mu                          sync.Mutex
	changed                     *sync.Cond
	chunks                      []chunk
	bytes                       int
	closed, silent              bool
	heldUntil                   time.Time // when the bytes that are kept back arrive
	readDeadline, writeDeadline time.Time
}

func newHalf(latency time.Duration) *half {
	h := &half{latency: latency}
	h.changed = sync.NewCond(&h.mu)
	return h
}

// wakeAt makes waiting calls look again at time t.
func (h *half) wakeAt(t time.Time) {
	time.AfterFunc(time.Until(t), func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.changed.Broadcast()
	})
}

func (h *half) read(p []byte) (int, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for {
		now := time.Now()
		switch {
		case len(h.chunks) > 0 && !h.chunks[0].at.After(now):
			return h.take(p), nil
		case !h.readDeadline.IsZero() && !now.Before(h.readDeadline):
			return 0, os.ErrDeadlineExceeded
		case h.closed && len(h.chunks) == 0:
			return 0, io.EOF
		}
		h.changed.Wait()
	}
}

func (h *half) take(p []byte) int {
	n := copy(p, h.chunks[0].data)
	h.bytes -= n
	h.chunks[0].data = h.chunks[0].data[n:]
	if len(h.chunks[0].data) == 0 {
		h.chunks = h.chunks[1:]
	}
	h.changed.Broadcast()
	return n
}

func (h *half) write(p []byte) (int, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for {
		switch {
		case h.closed:
			return 0, io.ErrClosedPipe
		case h.silent && h.bytes+len(p) <= bufferBytes:
			h.bytes += len(p) // the sender's buffer fills, and nothing leaves it
			return len(p), nil
		case !h.writeDeadline.IsZero() && !time.Now().Before(h.writeDeadline):
			return 0, os.ErrDeadlineExceeded
		case !h.silent && h.bytes < bufferBytes && (!time.Now().Before(h.heldUntil) || h.bytes+len(p) <= bufferBytes):
			at := time.Now().Add(max(h.latency, time.Until(h.heldUntil)))
			h.chunks = append(h.chunks, chunk{data: append([]byte(nil), p...), at: at})
			h.bytes += len(p)
			h.changed.Broadcast()
			if at.After(time.Now()) {
				h.wakeAt(at)
			}
			return len(p), nil
		}
		h.changed.Wait()
	}
}

// silence drops what is under way and everything that follows.
func (h *half) silence() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.silent = true
	h.chunks = nil
	h.changed.Broadcast()
}

// hold keeps back what is under way and what follows until the given time.
func (h *half) hold(until time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.heldUntil = until
	for i := range h.chunks {
		if at := h.chunks[i].at; at.After(time.Now()) && at.Before(until) {
			h.chunks[i].at = until
		}
	}
	h.wakeAt(until)
}

// close ends the direction. Over a silent one the other end does not hear of it, but
// this simple network lets it end so that nothing waits for ever after a test.
func (h *half) close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.closed = true
	h.changed.Broadcast()
}

func (h *half) setReadDeadline(t time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.readDeadline = t
	h.changed.Broadcast()
	if !t.IsZero() {
		h.wakeAt(t)
	}
}

func (h *half) setWriteDeadline(t time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.writeDeadline = t
	h.changed.Broadcast()
	if !t.IsZero() {
		h.wakeAt(t)
	}
}

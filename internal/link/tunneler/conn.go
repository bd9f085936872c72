package tunneler

import (
	"bufio"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"example.com/dotterelwell/internal/link/connector"
	"example.com/dotterelwell/internal/link/dialer"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/ident"
)

// Bytes travel between the two instances in frames: a length of frameHeadBytes, big-endian, and so
// many bytes. A frame of length zero means that the other side's connection has ended in order.
const (
	frameHeadBytes = 4
	maxFrameBytes  = bufferBytes
)

var errFrameTooLong = errors.New("frame of a tunnel is too long")

// Conn is one end of a tunnel.
type Conn struct {
	net.Conn
	// Peer is the instance at the other end.
	Peer ident.Instance

	in    *bufio.Reader
	left  int  // bytes of the current frame that have not been read
	ended bool // the end frame has been read

	mu  sync.Mutex
	out [frameHeadBytes + maxFrameBytes]byte

	closing sync.Once
	onClose func()
}

// OnClose sets a function that the first Close calls. Set it before the connection is used.
func (c *Conn) OnClose(f func()) { c.onClose = f }

// Close closes the tunnel.
func (c *Conn) Close() error {
	c.closing.Do(func() {
		if c.onClose != nil {
			c.onClose()
		}
	})
	return c.Conn.Close()
}

func newConn(stream *connector.Stream, peer ident.Instance) *Conn {
	return &Conn{Conn: stream.Conn, Peer: peer, in: stream.Reader()}
}

// Read reads bytes from the far end of the tunnel. It returns io.EOF only after the connection there has ended
// in order; a tunnel that breaks off gives another error.
func (c *Conn) Read(p []byte) (int, error) {
	if c.ended {
		return 0, io.EOF
	}
	if c.left == 0 {
		head, err := c.in.Peek(frameHeadBytes) // keeps a part of the head across a deadline
		if err != nil {
			return 0, brokenOff(err)
		}
		length := binary.BigEndian.Uint32(head)
		if _, err := c.in.Discard(frameHeadBytes); err != nil {
			return 0, err
		}
		if length == 0 {
			c.ended = true
			return 0, io.EOF
		}
		if length > maxFrameBytes {
			return 0, errFrameTooLong
		}
		c.left = int(length)
	}
	n, err := c.in.Read(p[:min(len(p), c.left)])
	c.left -= n
	return n, brokenOff(err)
}

// brokenOff replaces io.EOF, which would pass for the end of the far connection.
func brokenOff(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// Write sends bytes to the far end of the tunnel.
func (c *Conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	written := 0
	for written < len(p) {
		n := copy(c.out[frameHeadBytes:], p[written:])
		if err := c.writeFrame(n); err != nil {
			return written, err
		}
		written += n
	}
	return written, nil
}

// writeFrame sends the first n bytes that follow the head in out. The lock must be held.
func (c *Conn) writeFrame(n int) error {
	binary.BigEndian.PutUint32(c.out[:frameHeadBytes], uint32(n))
	_, err := c.Conn.Write(c.out[:frameHeadBytes+n])
	return err
}

// end tells the other end of the tunnel that the connection here has ended in order.
func (c *Conn) end() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writeFrame(0)
}

// lastBytesTimeout is how long the peer may take to close a tunnel whose server has ended.
const lastBytesTimeout = 1 * clock.Second

// ends of a tunnel, for its log line.
const (
	endServer = "server ended"
	endBroken = "server broke off"
	endPeer   = "peer ended"
)

// pass passes bytes between a peer and a server until one of them ends, and closes both.
func pass(peer *Conn, server net.Conn) (end string) {
	done := make(chan struct{})
	var answered atomic.Bool
	go func() {
		defer close(done)
		_, _ = io.CopyBuffer(plainWriter{server}, peer, make([]byte, bufferBytes)) // whoever has closed knows why
		if !answered.Load() {
			dialer.Abort(server) // the peer has given the request up
			return
		}
		_ = server.Close() // it may be closed already
	}()
	end = passAnswer(peer, server, &answered)
	if end == endServer && peer.SetReadDeadline(time.Now().Add(lastBytesTimeout.Duration())) == nil {
		<-done // closing a connection on which bytes arrive could discard those that were sent last
	}
	_ = peer.Close() // it may be closed already
	<-done
	return end
}

// passAnswer passes the server's bytes on until its connection or the peer's ends, and sets answered at the first of them.
func passAnswer(peer *Conn, server net.Conn, answered *atomic.Bool) string {
	buffer := make([]byte, bufferBytes)
	for {
		n, err := server.Read(buffer)
		if n > 0 {
			answered.Store(true)
			if _, err := peer.Write(buffer[:n]); err != nil {
				return endPeer
			}
		}
		switch {
		case err == io.EOF:
			_ = peer.end() // the peer finds the connection broken off otherwise
			return endServer
		case errors.Is(err, net.ErrClosed):
			return endPeer
		case err != nil:
			return endBroken
		}
	}
}

// plainWriter hides the method by which io.CopyBuffer would not use its buffer.
type plainWriter struct{ io.Writer }

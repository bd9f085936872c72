package dialer

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// Dial opens a connection by TCP, on which a reset never looks like an end in order.
func Dial(ctx context.Context, network, address string) (net.Conn, error) {
	raw, err := TCP.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	if tcp, ok := raw.(*net.TCPConn); ok {
		return &conn{TCPConn: tcp}, nil
	}
	return raw, nil
}

// conn is a TCP connection. The kernel tells of a reset once, to whichever of a read and a write comes first. If that is a write, a read
// finds the connection at its end, and an answer that ends with its connection would pass for complete.
type conn struct {
	*net.TCPConn

	writing    sync.Mutex // held during a write
	writeError error      // the first error of a write but for deadlines; guarded by writing
}

func (c *conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.TCPConn.Write(p)
	if err != nil && c.writeError == nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.writeError = err
	}
	return n, err
}

// Read returns the error of an earlier write in place of io.EOF.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if err != io.EOF {
		return n, err
	}
	// A write in progress may be the one that was told of the reset, or wait for the other end to read, which it no longer needs to.
	if err := c.SetWriteDeadline(time.Now()); err != nil {
		return n, err
	}
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.writeError != nil {
		return n, c.writeError
	}
	return n, io.EOF
}

// ReadFrom and WriteTo replace those of net.TCPConn, which pass Write and Read by.

// ReadFrom writes what it reads from r.
func (c *conn) ReadFrom(r io.Reader) (int64, error) { return io.Copy(struct{ io.Writer }{c}, r) }

// WriteTo writes what it reads from the connection to w.
func (c *conn) WriteTo(w io.Writer) (int64, error) { return io.Copy(w, struct{ io.Reader }{c}) }

// Abort resets a connection where it can, and closes it otherwise. A connection that is closed in order still delivers the bytes that wait for
// the link: a request that has been given up would reach its server, possibly long after the caller has left.
func Abort(c net.Conn) {
	if socket, ok := c.(interface{ SetLinger(seconds int) error }); ok {
		_ = socket.SetLinger(0) // the connection may be closed already
	}
	_ = c.Close() // as above
}

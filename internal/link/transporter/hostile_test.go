package transporter_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"example.com/dotterelwell/internal/link/transporter"
	"example.com/dotterelwell/internal/standin/wire"
)

const (
	// maxSentBytes is how many bytes a faulty server sends at most before it closes the
	// connection, and maxReadBytes how many of them the transporter may read.
	maxSentBytes = 4 << 20
	maxReadBytes = 64 << 10
)

// writeEndlessly writes start once and then piece again and again, until the caller closes
// the connection or maxSentBytes are written.
func writeEndlessly(c net.Conn, start, piece string) {
	sent, err := io.WriteString(c, start)
	for err == nil && sent < maxSentBytes {
		var n int
		n, err = io.WriteString(c, piece)
		sent += n
	}
}

// countingConn counts the bytes that are read from the connection.
type countingConn struct {
	net.Conn
	bytesRead *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytesRead.Add(int64(n))
	return n, err
}

// newCountingTransporter returns a transporter and the number of bytes that it has read.
func newCountingTransporter(network *wire.Network) (*transporter.Transporter, *atomic.Int64) {
	bytesRead := new(atomic.Int64)
	dial := network.Dialer("caller")
	return &transporter.Transporter{DialFunc: func(ctx context.Context, kind, to string) (net.Conn, error) {
		c, err := dial(ctx, kind, to)
		if err != nil {
			return nil, err
		}
		return countingConn{c, bytesRead}, nil
	}}, bytesRead
}

// endlessHeads are answers whose heads never end.
var endlessHeads = []struct{ name, start, piece string }{
	{"header lines", "HTTP/1.1 200 OK\r\n", "X-Line: value\r\n"},
	{"one header line", "HTTP/1.1 200 OK\r\nX-Line: ", strings.Repeat("x", 1000)},
	{"continuation lines", "HTTP/1.1 200 OK\r\nX-Line: a\r\n", " more\r\n"},
	{"status line", "HTTP/1.1 200 ", strings.Repeat("OK", 500)},
	{"no status line", "", strings.Repeat("rubbish ", 100)},
	{"interim answers", "", "HTTP/1.1 102 Processing\r\n\r\n"},
	{"interim answers with lines", "", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"},
	{"status below one hundred", "", "HTTP/1.1 099 Odd\r\n\r\n"},
	{"long interim answer", "HTTP/1.1 103 Early Hints\r\n", "Link: </a>\r\n"},
	{"short lines", "HTTP/1.1 200 OK\r\n", "a:\n"},
}

// TestEndlessHeads checks that an answer whose head never ends fails after a bounded number
// of bytes, with a kind of error that says that the request may have run.
func TestEndlessHeads(t *testing.T) {
	for _, tt := range endlessHeads {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var network wire.Network
				stop := serveRaw(t, &network, func(c net.Conn) { writeEndlessly(c, tt.start, tt.piece) })
				defer stop()
				tr, bytesRead := newCountingTransporter(&network)
				defer tr.Close()
				_, err := send(tr, false, 0)
				if kind := transporter.KindOf(err); kind != transporter.KindOverrun && kind != transporter.KindLost {
					t.Errorf("error %v", err)
				}
				if bytesRead.Load() > maxReadBytes {
					t.Errorf("%d bytes were read, want at most %d", bytesRead.Load(), maxReadBytes)
				}
			})
		})
	}
}

// endlessChunkedBodies are chunked bodies whose framing (chunk sizes, extensions or
// trailers) never ends.
var endlessChunkedBodies = []struct{ name, piece string }{
	{"chunk extension", "1;" + strings.Repeat("x", 1000)},
	{"small chunks with long extensions", "1;" + strings.Repeat("x", 1000) + "\r\na\r\n"},
	{"chunk size", "0000000000"},
	{"trailers", "0\r\n" + strings.Repeat("X-Trailer: value\r\n", 100)},
}

// TestEndlessFrames checks that a chunked body with endless framing and little or no
// content fails after a bounded number of bytes.
func TestEndlessFrames(t *testing.T) {
	for _, tt := range endlessChunkedBodies {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var network wire.Network
				stop := serveRaw(t, &network, func(c net.Conn) {
					writeEndlessly(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", tt.piece)
				})
				defer stop()
				tr, bytesRead := newCountingTransporter(&network)
				defer tr.Close()
				if body, err := send(tr, false, 0); err == nil {
					t.Errorf("a body of %d bytes counts as complete", len(body))
				}
				if bytesRead.Load() > maxReadBytes {
					t.Errorf("%d bytes were read, want at most %d", bytesRead.Load(), maxReadBytes)
				}
			})
		})
	}
}

// serveRaw reads one request on each connection, calls answer to write the reply and
// closes the connection.
func serveRaw(t *testing.T, network *wire.Network, answer func(net.Conn)) (stop func()) {
	l, err := network.Listen(address)
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				req, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, req.Body) // the test's requests have complete bodies
				answer(c)
			}()
		}
	}()
	return func() { _ = l.Close(); <-done }
}

// TestInterims checks that OnInterim is called for each of several interim answers and that
// the final answer after them is returned.
func TestInterims(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var network wire.Network
		stop := serveRaw(t, &network, func(c net.Conn) {
			_, _ = io.WriteString(c, strings.Repeat("HTTP/1.1 103 Early Hints\r\nX-Hint: 1\r\n\r\n", 3)+okResponse("ok")) // the caller reads it all
		})
		defer stop()
		tr := &transporter.Transporter{DialFunc: network.Dialer("caller")}
		defer tr.Close()
		hints := 0
		answer, err := tr.Send(context.Background(), transporter.Call{Address: address, Request: request("b"), OnInterim: func(resp *http.Response) {
			if resp.StatusCode == http.StatusEarlyHints && resp.Header.Get("X-Hint") == "1" {
				hints++
			}
		}})
		if err != nil || answer.StatusCode != http.StatusOK || hints != 3 {
			t.Fatalf("error %v, %d interim answers", err, hints)
		}
		answer.Close()
	})
}

// FuzzAnswer checks that an answer of arbitrary bytes yields a bounded number of header
// fields and no more body than was sent.
func FuzzAnswer(f *testing.F) {
	for _, tt := range endlessHeads {
		f.Add([]byte(tt.start + strings.Repeat(tt.piece, 3)))
	}
	for _, tt := range endlessChunkedBodies {
		f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + tt.piece))
	}
	f.Add([]byte(okResponse("ok")))
	f.Fuzz(func(t *testing.T, raw []byte) {
		near, far := net.Pipe()
		go func() {
			defer far.Close()
			if _, err := http.ReadRequest(bufio.NewReader(far)); err == nil {
				_, _ = far.Write(raw) // the transporter may close early
			}
		}()
		tr := &transporter.Transporter{DialFunc: func(context.Context, string, string) (net.Conn, error) { return near, nil }}
		defer tr.Close()
		answer, err := tr.Send(context.Background(), transporter.Call{Address: address, Request: request(""), Fresh: true})
		if err != nil {
			if transporter.KindOf(err) == transporter.KindNotSent {
				t.Fatalf("%v after the request was sent", err)
			}
			return
		}
		defer answer.Close()
		if lines := len(answer.Header); lines > 256 {
			t.Fatalf("%d header fields", lines)
		}
		body, _ := io.ReadAll(answer) // any error is fine
		if len(body) > len(raw) {
			t.Fatalf("a body of %d bytes out of %d", len(body), len(raw))
		}
	})
}

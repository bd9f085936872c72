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
	// most is what a server in trouble sends if nobody stops it, in bytes, and takenBound
	// what may be read of it.
	most       = 4 << 20
	takenBound = 64 << 10
)

// endless writes a start and then a piece again and again until its caller closes or most
// bytes are out.
func endless(c net.Conn, start, piece string) {
	sent, err := io.WriteString(c, start)
	for err == nil && sent < most {
		var n int
		n, err = io.WriteString(c, piece)
		sent += n
	}
}

// countingConn counts the bytes that are read.
type countingConn struct {
	net.Conn
	taken *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.taken.Add(int64(n))
	return n, err
}

// counting returns a transporter and the count of the bytes that it has read.
func counting(network *wire.Network) (*transporter.Transporter, *atomic.Int64) {
	taken := new(atomic.Int64)
	dial := network.Dialer("caller")
	return &transporter.Transporter{DialFunc: func(ctx context.Context, kind, to string) (net.Conn, error) {
		c, err := dial(ctx, kind, to)
		if err != nil {
			return nil, err
		}
		return countingConn{c, taken}, nil
	}}, taken
}

// hostileHeads are answers that never come to the end of their heads.
var hostileHeads = []struct{ name, start, piece string }{
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

// TestEndlessHeads ends an answer whose head does not end after a bounded number of bytes,
// and says that the request may have run.
func TestEndlessHeads(t *testing.T) {
	for _, tt := range hostileHeads {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var network wire.Network
				stop := serveRaw(t, &network, func(c net.Conn) { endless(c, tt.start, tt.piece) })
				defer stop()
				tr, taken := counting(&network)
				defer tr.Close()
				_, err := send(tr, false, 0)
				if kind := transporter.KindOf(err); kind != transporter.KindOverrun && kind != transporter.KindLost {
					t.Errorf("error %v", err)
				}
				if taken.Load() > takenBound {
					t.Errorf("%d bytes were taken, want at most %d", taken.Load(), takenBound)
				}
			})
		})
	}
}

// hostileFrames are bodies whose frames never end.
var hostileFrames = []struct{ name, piece string }{
	{"chunk extension", "1;" + strings.Repeat("x", 1000)},
	{"small chunks with long extensions", "1;" + strings.Repeat("x", 1000) + "\r\na\r\n"},
	{"chunk size", "0000000000"},
	{"trailers", "0\r\n" + strings.Repeat("X-Trailer: value\r\n", 100)},
}

// TestEndlessFrames ends a chunked body whose frames bring no content.
func TestEndlessFrames(t *testing.T) {
	for _, tt := range hostileFrames {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var network wire.Network
				stop := serveRaw(t, &network, func(c net.Conn) {
					endless(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", tt.piece)
				})
				defer stop()
				tr, taken := counting(&network)
				defer tr.Close()
				if body, err := send(tr, false, 0); err == nil {
					t.Errorf("a body of %d bytes counts as whole", len(body))
				}
				if taken.Load() > takenBound {
					t.Errorf("%d bytes were taken, want at most %d", taken.Load(), takenBound)
				}
			})
		})
	}
}

// serveRaw reads one request on each connection and lets answer write to it.
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
				_, _ = io.Copy(io.Discard, req.Body) // the test's requests are whole
				answer(c)
			}()
		}
	}()
	return func() { _ = l.Close(); <-done }
}

// TestInterims takes a few interim answers, tells of each, and a final one after them.
func TestInterims(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var network wire.Network
		stop := serveRaw(t, &network, func(c net.Conn) {
			_, _ = io.WriteString(c, strings.Repeat("HTTP/1.1 103 Early Hints\r\nX-Hint: 1\r\n\r\n", 3)+whole("ok")) // the caller reads it all
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

// FuzzAnswer reads any bytes as an answer within a bound.
func FuzzAnswer(f *testing.F) {
	for _, tt := range hostileHeads {
		f.Add([]byte(tt.start + strings.Repeat(tt.piece, 3)))
	}
	for _, tt := range hostileFrames {
		f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + tt.piece))
	}
	f.Add([]byte(whole("ok")))
	f.Fuzz(func(t *testing.T, raw []byte) {
		near, far := net.Pipe()
		go func() {
			defer far.Close()
			if _, err := http.ReadRequest(bufio.NewReader(far)); err == nil {
				_, _ = far.Write(raw) // the reader may leave early
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

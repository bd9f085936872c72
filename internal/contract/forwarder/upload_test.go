package forwarder_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	"example.com/dotterelwell/internal/contract/forwarder"
	"example.com/dotterelwell/internal/link/dialer"
	"example.com/dotterelwell/internal/machine/ident"
	"example.com/dotterelwell/internal/request/bufferer"
)

// serveRaw serves each connection on a loopback address by serve, and closes it then.
func serveRaw(t *testing.T, serve func(c net.Conn)) ident.Address {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() }) // it may be closed already
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				serve(c)
				_ = c.Close()
			}()
		}
	}()
	return ident.Address(l.Addr().String())
}

// TestResetDuringUploadIsNoAnswer guards against a part of an answer without a length passing for the whole, when the server resets the
// connection while the body of the call is still being written. The kernel tells a reset to whichever of read and write comes first.
func TestResetDuringUploadIsNoAnswer(t *testing.T) {
	address := serveRaw(t, func(c net.Conn) {
		_, _ = http.ReadRequest(bufio.NewReader(c))                  // the request is the test's own
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n{\"part\"") // fails only if the client has disconnected
		_, _ = io.CopyN(io.Discard, c, 64<<10)                       // the upload goes on
		_ = c.(*net.TCPConn).SetLinger(0)
	})
	clients, closeClients := dialer.New(nil)
	defer closeClients()
	service := forwarder.New(clients, (&bufferer.Bufferer{}).Read)
	for _, once := range []bool{false, true} {
		complete := 0
		const tries = 200
		for range tries {
			call := forwarder.Call{Address: address, Request: "r-1", Method: http.MethodPost, Path: "/", Body: make([]byte, 4<<20), AtMostOnce: once}
			if _, err := service.Forward(context.Background(), call); err == nil {
				complete++
			}
		}
		if complete > 0 {
			t.Errorf("at most once %v: %d of %d parts passed for whole answers", once, complete, tries)
		}
	}
}

// TestStatusThatIsNone guards against an answer whose status is no status of the protocol passing for one.
func TestStatusThatIsNone(t *testing.T) {
	address := serveRaw(t, func(c net.Conn) {
		_, _ = http.ReadRequest(bufio.NewReader(c))                                                   // the request is the test's own
		_, _ = io.WriteString(c, "HTTP/1.1 000 OK\r\nX-Request-Id: r-1\r\nContent-Length: 0\r\n\r\n") // fails only if the client has disconnected
	})
	clients, closeClients := dialer.New(nil)
	defer closeClients()
	service := forwarder.New(clients, (&bufferer.Bufferer{}).Read)
	for _, once := range []bool{false, true} {
		answer, err := service.Forward(context.Background(), forwarder.Call{Address: address, Request: "r-1", Method: http.MethodGet, Path: "/", AtMostOnce: once})
		if forwarder.KindOf(err) != forwarder.KindLost {
			t.Errorf("at most once %v: status %d, error %v, want one of kind %s", once, answer.Status, err, forwarder.KindLost)
		}
	}
}

package transporter_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync/atomic"
	"testing"

	"example.com/dotterelwell/internal/link/transporter"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/ident"
)

// TestBodyWithoutLength checks on real connections that a body that ends with its connection is complete
// unless the connection is reset, and that the connection is not used again.
func TestBodyWithoutLength(t *testing.T) {
	for name, reset := range map[string]bool{"closed": false, "reset": true} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			accepted := new(atomic.Int64)
			received := make(chan struct{})
			go func() {
				for {
					c, err := l.Accept()
					if err != nil {
						return
					}
					accepted.Add(1)
					_, _ = http.ReadRequest(bufio.NewReader(c))                        // the request is the test's own
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\ndata: piece\n\n") // fails only if the client has disconnected
					<-received
					if reset {
						_ = c.(*net.TCPConn).SetLinger(0)
					}
					_ = c.Close()
				}
			}()
			tr := &transporter.Transporter{Clock: &clock.Clock{}}
			defer tr.Close()
			for range 2 {
				req := &http.Request{Method: http.MethodGet, URL: &url.URL{Path: "/"}, Host: "x"}
				answer, err := tr.Send(context.Background(), transporter.Call{Address: ident.Address(l.Addr().String()), Request: req})
				if err != nil {
					t.Fatal(err)
				}
				first := make([]byte, 5)
				if _, err := io.ReadFull(answer, first); err != nil {
					t.Fatal(err)
				}
				received <- struct{}{}
				_, err = io.ReadAll(answer)
				if (err != nil) != reset {
					t.Errorf("the end of the body gives error %v", err)
				}
				answer.Close()
			}
			if n := accepted.Load(); n != 2 {
				t.Errorf("%d connections for 2 requests", n)
			}
		})
	}
}

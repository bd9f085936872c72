package transporter_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"syscall"
	"testing"

	"golang.org/x/sys/unix"

	"example.com/dotterelwell/internal/link/transporter"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/ident"
)

// TestGivenUpRequestIsNotDelivered guards against a request reaching a server after its caller has left, because its bytes waited for a narrow
// or broken link: a connection that is closed in order still delivers them.
func TestGivenUpRequestIsNotDelivered(t *testing.T) {
	const receiveBytes, requestBytes = 2 << 10, 48 << 10
	narrow := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBytes) })
	}}
	l, err := narrow.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	tr := &transporter.Transporter{Clock: &clock.Clock{}}
	defer tr.Close()
	ctx, leave := context.WithCancel(context.Background())
	sent := make(chan error)
	go func() {
		header := http.Header{}
		for n := range 12 {
			header.Add("X-Long", strings.Repeat(string(rune('a'+n)), requestBytes/12))
		}
		_, err := tr.Send(ctx, transporter.Call{Address: ident.Address(l.Addr().String()), Request: &http.Request{Method: http.MethodGet, URL: &url.URL{Path: "/"}, Host: "x", Header: header}})
		sent <- err
	}()
	server, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	first := make([]byte, 512)
	if _, err := io.ReadFull(server, first); err != nil {
		t.Fatal(err)
	}
	leave()
	if err := <-sent; err == nil {
		t.Fatal("the request was answered")
	}
	rest, err := io.ReadAll(server)
	if whole := strings.HasSuffix(string(rest), "\r\n\r\n"); whole || err == nil {
		t.Errorf("%d more bytes of the request were delivered after its caller had left, all of it: %t, error %v", len(rest), whole, err)
	}
}

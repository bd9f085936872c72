// Package dialer makes the HTTP clients that an instance uses to call backend servers and
// the platform.
package dialer

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"example.com/dotterelwell/internal/machine/clock"
)

// Timeouts and limits of the connections.
const (
	dialTimeout            = 1 * clock.Second
	idleTimeout            = 20 * clock.Second
	maxIdlePerServer       = 64
	maxResponseHeaderBytes = 64 << 10
)

// Dialer holds one client that reuses connections and one that never does.
type Dialer struct {
	// Pooled reuses open connections.
	Pooled *http.Client
	// Fresh opens a connection for each call. It is for calls that must not be sent
	// twice, because net/http retries some calls on reused connections, and for calls
	// after a connection became unresponsive.
	Fresh *http.Client
}

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// New returns the clients and a function that closes their idle connections. The clients
// open connections by dial, or by Dial when dial is nil.
func New(dial DialFunc) (*Dialer, func()) {
	if dial == nil {
		dial = Dial
	}
	pooled := newTransport(dial)
	fresh := newTransport(dial)
	fresh.DisableKeepAlives = true
	d := &Dialer{Pooled: newClient(pooled), Fresh: newClient(fresh)}
	return d, func() {
		pooled.CloseIdleConnections()
		fresh.CloseIdleConnections()
	}
}

func newTransport(dial DialFunc) *http.Transport {
	return &http.Transport{
		DialContext:            dial,
		MaxIdleConnsPerHost:    maxIdlePerServer,
		IdleConnTimeout:        idleTimeout.Duration(),
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		DisableCompression:     true,
	}
}

func newClient(t *http.Transport) *http.Client {
	return &http.Client{
		Transport:     t,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// SendTrace records whether bytes of an HTTP call may have left this process.
type SendTrace struct{ sent atomic.Bool }

// MaybeSent reports whether a connection was obtained, after which bytes may have left.
func (t *SendTrace) MaybeSent() bool { return t.sent.Load() }

// WithTrace returns a context that makes HTTP calls record in t that they got a connection.
func (t *SendTrace) WithTrace(ctx context.Context) context.Context {
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { t.sent.Store(true) }}
	return httptrace.WithClientTrace(ctx, trace)
}

// Package dialer makes the HTTP clients that an instance uses towards backend servers and the platform.
package dialer

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"example.com/dotterelwell/internal/machine/clock"
)

// Limits of the connections.
const (
	dialTimeout        = 1 * clock.Second
	idleTimeout        = 20 * clock.Second
	idlePerServer      = 64
	maxResponseHeaders = 64 << 10
)

// Dialer holds one client that reuses connections and one that never does.
type Dialer struct {
	// Pooled reuses open connections.
	Pooled *http.Client
	// Fresh opens a connection for each call. Calls that may not be repeated
	// use it, because net/http repeats some calls on reused connections, and
	// so do calls that follow a silent connection.
	Fresh *http.Client
}

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// New returns the clients and a function that closes their idle connections. dial
// opens connections; nil opens TCP connections.
func New(dial DialFunc) (*Dialer, func()) {
	if dial == nil {
		dial = TCP.DialContext
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
		MaxIdleConnsPerHost:    idlePerServer,
		IdleConnTimeout:        idleTimeout.Duration(),
		MaxResponseHeaderBytes: maxResponseHeaders,
		DisableCompression:     true,
	}
}

func newClient(t *http.Transport) *http.Client {
	return &http.Client{
		Transport:     t,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// SendTrace records whether bytes of a call may have left this process.
type SendTrace struct{ sent atomic.Bool }

// MaybeSent reports whether a connection was obtained, after which bytes may have left.
func (e *SendTrace) MaybeSent() bool { return e.sent.Load() }

// WithTrace returns a context whose HTTP calls are recorded in e.
func (e *SendTrace) WithTrace(ctx context.Context) context.Context {
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { e.sent.Store(true) }}
	return httptrace.WithClientTrace(ctx, trace)
}

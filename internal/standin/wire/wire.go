// Package wire stands in for the network: connections in memory, which work in
// virtual time and can be cut or made silent.
package wire

import (
	"context"
	"net"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

var (
	errRefused = errors.New("connection refused")
	errSilent  = errors.Wrap(os.ErrDeadlineExceeded, "dial") // a net.Error with Timeout() true, as of TCP
)

// dialPatience is how long a dial to an unreachable address takes to fail.
const dialPatience = time.Second

// Network connects addresses. Its zero value is ready.
type Network struct {
	// Latency delays each write's arrival.
	Latency time.Duration

	mu        sync.Mutex
	listeners map[string]*listener
	links     []*link
	parted    func(from, to string) bool
	refused   func(from, to string) bool
	held      func(from, to string) bool
	heldUntil time.Time
}

// link is one open connection.
type link struct {
	from, to string
	ends     [2]*conn
}

// Listen opens an address.
func (n *Network) Listen(address string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[address] != nil {
		return nil, errors.Newf("address %s is in use", address)
	}
	if n.listeners == nil {
		n.listeners = map[string]*listener{}
	}
	l := &listener{network: n, address: addr(address), accept: make(chan net.Conn, 1024), closed: make(chan struct{})}
	n.listeners[address] = l
	return l, nil
}

// Dialer returns a function that opens connections as the given host.
func (n *Network) Dialer(host string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) { return n.dial(ctx, host, address) }
}

func (n *Network) dial(ctx context.Context, host, address string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[address]
	parted := n.partedLocked(host, address)
	refused := n.refused != nil && n.refused(host, address)
	wait := time.Duration(0)
	if n.held != nil && n.held(host, address) {
		wait = time.Until(n.heldUntil)
	}
	n.mu.Unlock()
	if err := pause(ctx, wait); err != nil {
		return nil, err
	}
	if parted {
		if err := pause(ctx, dialPatience); err != nil {
			return nil, err
		}
		return nil, errSilent
	}
	if l == nil || refused {
		return nil, errRefused
	}
	near, far := newPair(n.Latency, addr(host), addr(address))
	select {
	case l.accept <- far:
	case <-l.closed:
		return nil, errRefused
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.links = append(n.links, &link{from: host, to: address, ends: [2]*conn{near, far}})
	return near, nil
}

// pause waits for a time or until ctx ends. Without a time it leaves the channel of ctx alone, which would belong to the
// bubble of the test (testing/synctest) that looks at it first.
func pause(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

func (n *Network) partedLocked(from, to string) bool { return n.parted != nil && n.parted(from, to) }

// Part makes all open and new connections for which parted is true silent: bytes
// vanish and dials time out. A nil parted lets new connections work again; open ones
// that were silent stay so.
func (n *Network) Part(parted func(from, to string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.parted = parted
	if parted != nil {
		n.silenceLocked(parted)
	}
}

// Refuse makes new connections for which refused is true fail at once, while open ones live on. A nil
// refused ends that.
func (n *Network) Refuse(refused func(from, to string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.refused = refused
}

// Reset ends the open connections for which chosen is true.
func (n *Network) Reset(chosen func(from, to string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range n.links {
		if chosen(l.from, l.to) {
			_ = l.ends[0].Close() // it may be closed already
			_ = l.ends[1].Close()
		}
	}
}

// Silence makes the open connections for which chosen is true silent for good, while
// new ones work.
func (n *Network) Silence(chosen func(from, to string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.silenceLocked(chosen)
}

// Hold keeps back the bytes on all open and new connections for which chosen is true, and dials, until d has
// passed: an end or a path falls silent and goes on.
func (n *Network) Hold(d time.Duration, chosen func(from, to string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.held, n.heldUntil = chosen, time.Now().Add(d)
	for _, l := range n.links {
		if chosen(l.from, l.to) {
			l.ends[0].out.hold(n.heldUntil)
			l.ends[1].out.hold(n.heldUntil)
		}
	}
}

func (n *Network) silenceLocked(chosen func(from, to string) bool) {
	for _, l := range n.links {
		if chosen(l.from, l.to) {
			l.ends[0].out.silence()
			l.ends[1].out.silence()
		}
	}
}

type addr string

func (addr) Network() string { return "tcp" }

func (a addr) String() string { return string(a) }

type listener struct {
	network *Network
	address addr
	accept  chan net.Conn
	once    sync.Once
	closed  chan struct{}
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accept:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() {
		l.network.mu.Lock()
		delete(l.network.listeners, string(l.address))
		l.network.mu.Unlock()
		close(l.closed)
	})
	return nil
}

func (l *listener) Addr() net.Addr { return l.address }

// Isolate cuts hosts off from everything for good, besides what Part does.
func (n *Network) Isolate(hosts ...string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	before := n.parted
	isolated := func(from, to string) bool {
		for _, h := range hosts {
			if from == h || strings.HasPrefix(to, h+":") {
				return true
			}
		}
		return false
	}
	n.parted = func(from, to string) bool {
		return isolated(from, to) || before != nil && before(from, to)
	}
	n.silenceLocked(isolated)
}

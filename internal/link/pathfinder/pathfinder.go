// Package pathfinder opens connections to backend servers, directly or through a peer, and keeps
// the state of this instance's links to servers.
//
// An instance can't tell a server that is down from a link that is lost by its own connections.
// If a direct connection fails, peers are asked to connect: if one can, the link is lost, and
// connections go through peers until a direct one succeeds again.
package pathfinder

import (
	"context"
	"net"
	"sync"
	"time"

	"example.com/dotterelwell/internal/link/dialer"
	"example.com/dotterelwell/internal/link/tunneler"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/fault"
	"example.com/dotterelwell/internal/machine/ident"
)

// Kind classifies the package's errors.
type Kind string

// Kinds of errors.
const (
	// KindNoPath means that the link to the server is lost and that no peer carries a connection to
	// it now. It tells nothing about the server.
	KindNoPath Kind = "no-path"
	// KindRefused means that the link to the server is lost and that the server refused a peer's
	// connection.
	KindRefused Kind = "refused"
	// KindSilent means that the server answers neither this instance nor its peers.
	KindSilent Kind = "silent"
)

// Error is the package's error type.
type Error = fault.Error[Kind]

// KindOf returns the kind of the error, or "" for an error of another package.
func KindOf(err error) Kind { return fault.KindOf[Kind](err) }

const (
	// dialTimeout bounds a direct connection. TCP retransmits the first lost packet of a handshake after
	// one second.
	dialTimeout clock.Millis = 1200
	// hedgeDelay is how long a direct connection may take before peers are asked as well. Servers are
	// milliseconds away.
	hedgeDelay clock.Millis = 250
	// probeInterval is the least time between two attempts in the background at one server.
	probeInterval clock.Millis = 500
	// maxProbes bounds the attempts in the background at a time.
	maxProbes = 32
	// downTimeout is how long a server that refused this instance and its peers counts as down: peers are
	// not asked again.
	downTimeout = 1 * clock.Second
	// maxCalmAsks bounds the questions in each second while this instance has opened a direct connection
	// within calmTime and has lost no link: then most servers that fail are down, and when many are at
	// once, the questions of all instances would load them.
	maxCalmAsks = 2
	calmTime    = 1 * clock.Second
	// minLost is how many links must be lost, without a direct connection since, for the instance to
	// count as cut off.
	minLost = 2
)

const op = "connect to server"

// Pathfinder opens connections. Set the exported fields before use.
type Pathfinder struct {
	Clock *clock.Clock
	// DialFunc opens a direct connection.
	DialFunc func(ctx context.Context, network, address string) (net.Conn, error)
	// TunnelFunc opens a connection through a peer. It returns an error of package tunneler. Nil
	// means that there are no peers.
	TunnelFunc func(ctx context.Context, server ident.Address) (net.Conn, error)
	// OnLost, when set, is called without a lock when a link is lost whose connections hang.
	OnLost func(server ident.Address)
	// OnCutOff, when set, is called without a lock when this instance finds that it is cut off from
	// servers. hangs tells whether connections hang rather than fail at once.
	OnCutOff func(hangs bool)

	mu     sync.Mutex
	links  map[ident.Address]*link
	probes int
	cut    cut
	// calmAsks is the number of questions in calm in the second from calmAskedAt on.
	calmAsks    int
	calmAskedAt clock.Millis
	// sweptAt is when links were last forgotten that have not been used for a while.
	sweptAt clock.Millis
}

// DialContext opens a connection to a server. The connection is a *tunneler.Conn if it goes through a peer.
func (p *Pathfinder) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	server := ident.Address(address)
	if p.TunnelFunc == nil {
		return p.dialDirect(ctx, server)
	}
	switch p.choosePath(server) {
	case pathPeers:
		return p.dialThroughPeers(ctx, server)
	case pathDirect:
		return p.dialDirect(ctx, server)
	case pathNone:
		return nil, fault.Newf(op, KindSilent, "%s answered nobody lately", address)
	}
	return p.race(ctx, server, false)
}

// dialDirect opens a direct connection, and records its result.
func (p *Pathfinder) dialDirect(ctx context.Context, server ident.Address) (net.Conn, error) {
	limited, cancel := context.WithTimeout(ctx, dialTimeout.Duration())
	defer cancel()
	conn, err := p.DialFunc(limited, "tcp", string(server))
	if err == nil {
		p.recordDirect(server)
	}
	return conn, err
}

// dialThroughPeers opens a connection to a server whose link is lost.
func (p *Pathfinder) dialThroughPeers(ctx context.Context, server ident.Address) (net.Conn, error) {
	conn, err := p.TunnelFunc(ctx, server)
	if err == nil {
		return conn, nil
	}
	switch tunneler.KindOf(err) {
	case tunneler.KindServerRefused:
		p.recordDown(server, false)
		return nil, fault.New(op, KindRefused, err)
	case tunneler.KindServerSilent:
		p.recordDown(server, true)
		return nil, fault.New(op, KindSilent, err)
	}
	return nil, fault.New(op, KindNoPath, err)
}

// dialResult is the result of one way to connect.
type dialResult struct {
	conn      net.Conn
	err       error
	viaTunnel bool
}

// race connects directly, and through a peer if that fails or takes long. It returns the connection
// that is open first. again asks peers although they have not reached the server lately.
func (p *Pathfinder) race(ctx context.Context, server ident.Address, again bool) (net.Conn, error) {
	racing, cancel := context.WithCancel(ctx)
	results := make(chan dialResult, 2)
	go func() {
		conn, err := p.dialDirect(racing, server)
		results <- dialResult{conn: conn, err: err}
	}()
	asked, pending := false, 1
	ask := func() {
		if asked || ctx.Err() != nil || !p.startAsking(server, again) {
			return
		}
		asked = true
		pending++
		go func() {
			conn, err := p.TunnelFunc(racing, server)
			results <- dialResult{conn: conn, err: err, viaTunnel: true}
		}()
	}
	hedge := time.NewTimer(hedgeDelay.Duration())
	defer hedge.Stop()
	var directErr, peersErr error
	for pending > 0 {
		select {
		case <-hedge.C:
			ask()
		case r := <-results:
			pending--
			switch {
			case r.err == nil:
				cancel()
				go discard(results, pending)
				if r.viaTunnel {
					p.recordLost(server, directErr == nil || dialer.IsTimeout(directErr))
				}
				p.endAsking(server, asked)
				return r.conn, nil
			case r.viaTunnel:
				peersErr = r.err
			default:
				directErr = r.err
				ask()
			}
		}
	}
	cancel()
	if asked && ctx.Err() == nil {
		p.recordUnreached(server, dialer.IsTimeout(directErr), peersErr)
	}
	p.endAsking(server, asked)
	return nil, directErr
}

// ReachesAny reports whether a direct connection can be opened to one of the servers. It tries them all at once.
func (p *Pathfinder) ReachesAny(ctx context.Context, servers []ident.Address) bool {
	trying, cancel := context.WithCancel(ctx)
	results := make(chan dialResult, len(servers))
	for _, server := range servers {
		go func() {
			conn, err := p.dialDirect(trying, server)
			results <- dialResult{conn: conn, err: err}
		}()
	}
	for tried := range len(servers) {
		if r := <-results; r.err == nil {
			_ = r.conn.Close() // it has shown that the server is reached
			cancel()
			go discard(results, len(servers)-tried-1)
			return true
		}
	}
	cancel()
	return false
}

// discard closes the connections that lost a race.
func discard(results <-chan dialResult, pending int) {
	for range pending {
		if r := <-results; r.conn != nil {
			_ = r.conn.Close() // the other connection was open first
		}
	}
}

// CarryContext opens a direct connection to a server for a peer. It fails at once if this instance has lately not
// reached the server.
func (p *Pathfinder) CarryContext(ctx context.Context, _, address string) (net.Conn, error) {
	server := ident.Address(address)
	if err := p.unreached(server); err != nil {
		return nil, err
	}
	conn, err := p.DialFunc(ctx, "tcp", address)
	if err == nil {
		p.recordDirect(server)
	}
	return conn, err
}

// unreached returns an error of package tunneler if this instance has lately not reached the server.
func (p *Pathfinder) unreached(server ident.Address) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	l := p.links[server]
	switch {
	case l != nil && l.lost, p.cut.off:
		p.probe(server, p.linkTo(server), now)
		return fault.Newf(op, tunneler.KindNotCarried, "the link to %s is lost here as well", server)
	case l == nil || !l.isDown(now):
		return nil
	}
	p.probe(server, l, now)
	if l.hangs {
		return fault.Newf(op, tunneler.KindServerSilent, "%s answered nobody lately", server)
	}
	return fault.Newf(op, tunneler.KindServerRefused, "%s refused connections lately", server)
}

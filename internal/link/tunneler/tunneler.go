// Package tunneler opens connections to backend servers through peers, and carries such
// connections for peers. The router at the one end and the server at the other speak with each
// other; the peer between them passes bytes on.
package tunneler

import (
	"context"
	"net"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"example.com/dotterelwell/internal/link/connector"
	"example.com/dotterelwell/internal/link/dialer"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/fault"
	"example.com/dotterelwell/internal/machine/ident"
)

// Kind classifies the package's errors.
type Kind string

// Kinds of errors.
const (
	// KindNoPeer means that the peer could not be reached, did not answer in time, or is of a build
	// without tunnels.
	KindNoPeer Kind = "no-peer"
	// KindNotCarried means that the peer doesn't carry a tunnel to the server now. It tells nothing
	// about the server.
	KindNotCarried Kind = "not-carried"
	// KindServerRefused means that the server refused the peer's connection.
	KindServerRefused Kind = "server-refused"
	// KindServerSilent means that the peer's connection to the server timed out.
	KindServerSilent Kind = "server-silent"
)

// Error is the package's error type.
type Error = fault.Error[Kind]

// KindOf returns the kind of the error, or "" for an error of another package.
func KindOf(err error) Kind { return fault.KindOf[Kind](err) }

// OpenMethod is the net/rpc method that opens a tunnel.
const OpenMethod = "tunnel.Open"

const (
	// OpenTimeout bounds the opening of a tunnel.
	OpenTimeout clock.Millis = 600
	// serverTimeout bounds the peer's connection to the server. It is shorter than OpenTimeout, so
	// that the peer can tell that the server is silent.
	serverTimeout clock.Millis = 400
	// leastLeft is how long a tunnel must last at least for a request that can go on elsewhere.
	leastLeft = 1 * clock.Second
	// bufferBytes is the size of each buffer between the two connections of a tunnel.
	bufferBytes = 4 << 10
	// MemoryBytes is about how much memory a tunnel takes at the peer that carries it.
	MemoryBytes = 32 << 10
	// MaxReferrals bounds the instances that a message names as carrying tunnels.
	MaxReferrals = 16
)

// OpenArgs are the arguments of the call that opens a tunnel.
type OpenArgs struct {
	From   ident.Instance
	Server ident.Address
	// Left is how long the tunnel must last at least, for a request that can't go on elsewhere.
	Left clock.Millis
}

// uncut is the key of the value that WithoutCut sets.
type uncut struct{}

// WithoutCut returns a context for a connection that must last until its deadline, because the request can't go
// on elsewhere.
func WithoutCut(ctx context.Context) context.Context { return context.WithValue(ctx, uncut{}, true) }

// OpenReply is the reply to the call that opens a tunnel. The tunnel is open if Failure is empty.
type OpenReply struct {
	Failure Kind
	Reason  string
	// Carriers names other instances that carry tunnels, as far as the called one knows.
	Carriers []ident.Instance
	// Stopping is as in Report.
	Stopping bool
}

// Report is what an instance tells its peers about tunnels. The zero value is that of a build
// without them.
type Report struct {
	// Carries is set if the instance carries tunnels, of which it has Carried now.
	Carries bool
	Carried int
	// Stopping is set while the instance stops: it carries tunnels for some seconds, for peers that have no
	// other.
	Stopping bool
	// CutOff is set while the instance is cut off from servers itself. Carriers then names instances
	// that carry its tunnels.
	CutOff   bool
	Carriers []ident.Instance
}

// Tunneler opens and carries tunnels. Set the exported fields before use.
type Tunneler struct {
	Instance  ident.Instance
	Connector *connector.Connector
	// DialFunc opens a connection to a server, directly and never through a peer. It may return an
	// Error, which the peer then gets.
	DialFunc func(ctx context.Context, network, address string) (net.Conn, error)
	// MayCarryFunc, when set, returns why no tunnel to a server may be carried now that must last so
	// long.
	MayCarryFunc func(server ident.Address, left clock.Millis) error
	// CarriersFunc, when set, returns instances to name to a peer whose tunnel is not carried.
	CarriersFunc func() []ident.Instance
	// StoppingFunc, when set, reports whether this instance stops.
	StoppingFunc func() bool
	// Limit bounds the tunnels that are carried at a time.
	Limit int

	mu      sync.Mutex
	carried int
}

// Carried returns the number of tunnels that this instance carries.
func (t *Tunneler) Carried() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.carried
}

// Open opens a connection to a server through the peer at an address. The reply tells of the peer also if
// there is an error.
func (t *Tunneler) Open(ctx context.Context, peer ident.Instance, at, server ident.Address) (conn *Conn, reply OpenReply, err error) {
	const op = "open tunnel"
	args := OpenArgs{From: t.Instance, Server: server, Left: leastLeft}
	if deadline, found := ctx.Deadline(); found && ctx.Value(uncut{}) != nil {
		args.Left = clock.Millis(time.Until(deadline).Milliseconds())
	}
	ctx, cancel := context.WithTimeout(ctx, OpenTimeout.Duration())
	defer cancel()
	stream, err := t.Connector.OpenStream(ctx, at, OpenMethod, args, &reply)
	if err != nil {
		return nil, OpenReply{}, fault.New(op, KindNoPeer, err)
	}
	reply.Carriers = reply.Carriers[:min(len(reply.Carriers), MaxReferrals)]
	if reply.Failure != "" {
		_ = stream.Close() // the reply is the result
		return nil, reply, fault.Newf(op, reply.Failure, "peer %s: %s", peer, reply.Reason)
	}
	return newConn(stream, peer), reply, nil
}

// Carry serves a stream that a peer has opened: it connects to the server and passes bytes on until
// one side ends. It returns when the tunnel has ended.
func (t *Tunneler) Carry(stream *connector.Stream) {
	var args OpenArgs
	if err := stream.ReadArgs(&args); err != nil {
		klog.InfoS("Tunnel cannot be opened", "err", err)
		return
	}
	server, err := t.connect(args)
	if err != nil {
		reply := OpenReply{Failure: KindOf(err), Reason: err.Error(), Stopping: t.stopping()}
		if t.CarriersFunc != nil {
			reply.Carriers = t.CarriersFunc()
		}
		klog.InfoS("Tunnel is not carried", "peer", args.From, "address", args.Server, "err", err)
		_ = stream.Reply(&reply) // the peer finds out by its time-out
		return
	}
	defer t.release()
	defer server.Close()
	if err := stream.Reply(&OpenReply{Stopping: t.stopping()}); err != nil {
		return
	}
	began := time.Now()
	end := pass(newConn(stream, args.From), server)
	klog.V(1).InfoS("Tunnel ended", "peer", args.From, "address", args.Server, "took-ms", time.Since(began).Milliseconds(), "end", end)
}

func (t *Tunneler) stopping() bool { return t.StoppingFunc != nil && t.StoppingFunc() }

// connect takes room for a tunnel and connects to the server.
func (t *Tunneler) connect(args OpenArgs) (net.Conn, error) {
	const op = "carry tunnel"
	if t.MayCarryFunc != nil {
		if err := t.MayCarryFunc(args.Server, args.Left); err != nil {
			return nil, fault.New(op, KindNotCarried, err)
		}
	}
	t.mu.Lock()
	if t.carried >= t.Limit {
		t.mu.Unlock()
		return nil, fault.Newf(op, KindNotCarried, "%d tunnels are carried already", t.Limit)
	}
	t.carried++
	t.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), serverTimeout.Duration())
	defer cancel()
	server, err := t.DialFunc(ctx, "tcp", string(args.Server))
	if err == nil {
		return server, nil
	}
	t.release()
	if KindOf(err) != "" {
		return nil, err
	}
	if dialer.IsTimeout(err) {
		return nil, fault.New(op, KindServerSilent, err)
	}
	return nil, fault.New(op, KindServerRefused, err)
}

func (t *Tunneler) release() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.carried--
}

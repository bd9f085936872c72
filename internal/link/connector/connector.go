// Package connector opens and accepts authenticated connections between instances
// and makes net/rpc calls over them with timeouts.
package connector

import (
	"context"
	"crypto/tls"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"example.com/dotterelwell/internal/link/accepter"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/fault"
	"example.com/dotterelwell/internal/machine/ident"
)

// Kind classifies the package's errors.
type Kind string

// Kinds of errors.
const (
	// KindUnreachable means that no connection could be made.
	KindUnreachable Kind = "unreachable"
	// KindUnauthorized means that the other end does not hold the shared key.
	KindUnauthorized Kind = "unauthorized"
	// KindTimeout means that no answer came before the context ended or the connection
	// was lost; the call may have taken effect.
	KindTimeout Kind = "timeout"
	// KindFailed means that the called method returned an error.
	KindFailed Kind = "failed"
)

// Error is the package's error type.
type Error = fault.Error[Kind]

const (
	dialTimeout      = 1 * clock.Second
	handshakeTimeout = 2 * clock.Second
)

// Traffic counts the bytes received and sent on all connections, those of TLS included.
type Traffic struct{ In, Out atomic.Int64 }

// Connector makes calls to peers and serves theirs. Set the exported fields before use.
type Connector struct {
	// Key is the secret that all instances share; an empty one disables authentication.
	Key []byte
	// ClientTLS and ServerTLS, when set, wrap connections in TLS.
	ClientTLS, ServerTLS *tls.Config
	// DialFunc replaces opening TCP connections.
	DialFunc func(ctx context.Context, network, address string) (net.Conn, error)
	// StreamFuncs serve the accepted connections whose first call is a method that opens a stream. The
	// connection is closed when the function returns.
	StreamFuncs map[string]func(*Stream)
	// OnFirstCall, when set, is called with an accepted connection once the header of its first call has been read.
	OnFirstCall func(net.Conn)
	// MessageMemory bounds what received messages beyond freeMessageBytes each may take together, in bytes; zero
	// sets no bound.
	MessageMemory int64
	// Traffic counts the bytes of all connections.
	Traffic Traffic

	messageMemory atomic.Int64

	mu       sync.Mutex
	clients  map[ident.Address]*rpc.Client
	accepted map[net.Conn]struct{}
	closed   bool
	serving  sync.WaitGroup
}

// Call calls a method of the peer at address and waits for the reply until ctx ends. After
// a timeout it drops the connection, so that later calls don't wait on an unresponsive one.
func (c *Connector) Call(ctx context.Context, address ident.Address, method string, args, reply any) error {
	client, err := c.clientFor(ctx, address)
	if err != nil {
		return err
	}
	call := client.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
	case <-ctx.Done():
		c.dropClient(address, client)
		return fault.New("call "+method, KindTimeout, ctx.Err())
	}
	if call.Error == nil {
		return nil
	}
	var serverError rpc.ServerError
	if errors.As(call.Error, &serverError) {
		return fault.New("call "+method, KindFailed, call.Error)
	}
	c.dropClient(address, client)
	return fault.New("call "+method, KindTimeout, call.Error)
}

func (c *Connector) clientFor(ctx context.Context, address ident.Address) (*rpc.Client, error) {
	c.mu.Lock()
	existing := c.clients[address]
	c.mu.Unlock()
	if existing != nil {
		return existing, nil
	}
	conn, err := c.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	client := rpc.NewClientWithCodec(clientCodec{newCodec(conn, c)})
	c.mu.Lock()
	defer c.mu.Unlock()
	if existing := c.clients[address]; existing != nil || c.closed {
		_ = client.Close() // another call has connected first, or the connector is closed
		if existing == nil {
			return nil, fault.Newf("connect", KindUnreachable, "the connector is closed")
		}
		return existing, nil
	}
	if c.clients == nil {
		c.clients = map[ident.Address]*rpc.Client{}
	}
	c.clients[address] = client
	return client, nil
}

func (c *Connector) dial(ctx context.Context, address ident.Address) (net.Conn, error) {
	const op = "connect to peer"
	open := c.DialFunc
	if open == nil {
		open = (&net.Dialer{Timeout: dialTimeout.Duration()}).DialContext
	}
	raw, err := open(ctx, "tcp", string(address))
	if err != nil {
		return nil, fault.New(op, KindUnreachable, err)
	}
	var conn net.Conn = &countingConn{Conn: raw, traffic: &c.Traffic}
	if c.ClientTLS != nil {
		conn = tls.Client(conn, c.ClientTLS)
	}
	if err := authenticate(conn, c.Key, roleClient); err != nil {
		_ = conn.Close() // the caller gets the handshake's error
		return nil, fault.New(op, KindUnauthorized, err)
	}
	return conn, nil
}

func (c *Connector) dropClient(address ident.Address, client *rpc.Client) {
	c.mu.Lock()
	if c.clients[address] == client {
		delete(c.clients, address)
	}
	c.mu.Unlock()
	_ = client.Close() // it may be closed already
}

// Serve accepts connections on listener and lets server answer the calls on them, until
// the listener or the connector is closed.
func (c *Connector) Serve(listener net.Listener, server *rpc.Server) error {
	listener = &accepter.Accepter{Listener: listener, Port: "peers"}
	for {
		raw, err := listener.Accept()
		if err != nil {
			c.mu.Lock()
			closed := c.closed
			c.mu.Unlock()
			if closed || errors.Is(err, net.ErrClosed) {
				return nil
			}
			return fault.New("accept peer", KindUnreachable, err)
		}
		if !c.track(raw) {
			_ = raw.Close() // the connector is closed
			return nil
		}
		c.serving.Go(func() { c.serveConn(raw, server) })
	}
}

func (c *Connector) track(conn net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	if c.accepted == nil {
		c.accepted = map[net.Conn]struct{}{}
	}
	c.accepted[conn] = struct{}{}
	return true
}

func (c *Connector) serveConn(raw net.Conn, server *rpc.Server) {
	defer func() {
		_ = raw.Close() // it may be closed already
		c.mu.Lock()
		delete(c.accepted, raw)
		c.mu.Unlock()
	}()
	var conn net.Conn = &countingConn{Conn: raw, traffic: &c.Traffic}
	if c.ServerTLS != nil {
		conn = tls.Server(conn, c.ServerTLS)
	}
	if err := authenticate(conn, c.Key, roleServer); err != nil {
		return
	}
	c.serveCalls(raw, conn, server)
}

// Close closes all connections and waits until those that were accepted are no longer
// served.
func (c *Connector) Close() {
	c.mu.Lock()
	c.closed = true
	for _, client := range c.clients {
		_ = client.Close() // it may be closed already
	}
	c.clients = nil
	for conn := range c.accepted {
		_ = conn.Close() // it may be closed already
	}
	c.mu.Unlock()
	c.serving.Wait()
}

// countingConn adds the bytes that a connection receives and sends to traffic.
type countingConn struct {
	net.Conn
	traffic *Traffic
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.In.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.Out.Add(int64(n))
	return n, err
}

package tunneler_test

import (
	"context"
	"io"
	"net"
	"net/rpc"
	"testing"

	"example.com/dotterelwell/internal/link/connector"
	"example.com/dotterelwell/internal/link/dialer"
	"example.com/dotterelwell/internal/link/tunneler"
	"example.com/dotterelwell/internal/machine/ident"
)

// resetDuringUpload answers the first bytes on each connection with a part of an answer, and resets the connection without having read
// the rest. The kernel tells a reset to whichever of read and write comes first.
func resetDuringUpload(l net.Listener, answer string) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			_, _ = c.Read(make([]byte, 1024))
			_, _ = io.WriteString(c, answer)       // fails only if the other end has closed
			_, _ = io.CopyN(io.Discard, c, 64<<10) // the upload goes on
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}()
	}
}

func listenLoopback(t *testing.T) (net.Listener, ident.Address) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() }) // it may be closed already
	return l, ident.Address(l.Addr().String())
}

// carry returns an instance that opens tunnels and the address of a peer that carries up to limit of them, on loopback addresses.
func carry(t *testing.T, limit int) (opener *tunneler.Tunneler, peer ident.Address, closePeer func()) {
	t.Helper()
	peers, peer := listenLoopback(t)
	carrying := &tunneler.Tunneler{Instance: "peer", Limit: limit, DialFunc: dialer.Dial}
	serving := &connector.Connector{StreamFuncs: map[string]func(*connector.Stream){tunneler.OpenMethod: carrying.Carry}}
	go func() { _ = serving.Serve(peers, rpc.NewServer()) }() // it ends when the listener closes
	return &tunneler.Tunneler{Instance: "opener", Connector: &connector.Connector{}}, peer, serving.Close
}

// TestResetDuringUploadIsNoEnd guards against a server's reset looking like the end of its connection, because the write of an upload had
// consumed it: an answer without a length would pass for complete.
func TestResetDuringUploadIsNoEnd(t *testing.T) {
	servers, server := listenLoopback(t)
	go resetDuringUpload(servers, "HTTP/1.1 200 OK\r\n\r\npart")
	const tries = 300
	opener, peer, closePeer := carry(t, tries) // a peer ends a tunnel some time after it was closed here
	defer closePeer()
	ends := 0
	for range tries {
		tunnel, _, err := opener.Open(context.Background(), "peer", peer, server)
		if err != nil {
			t.Fatal(err)
		}
		go func() { _, _ = tunnel.Write(make([]byte, 4<<20)) }() // fails with the connection
		if _, err := io.ReadAll(tunnel); err == nil {
			ends++
		}
		_ = tunnel.Close()
	}
	if ends > 0 {
		t.Errorf("%d of %d connections that were reset ended in order", ends, tries)
	}
}

// TestGivenUpTunnelIsReset guards against what a peer still has of a request reaching the server after the request was given up: a
// connection that is closed in order delivers it.
func TestGivenUpTunnelIsReset(t *testing.T) {
	servers, server := listenLoopback(t)
	opener, peer, closePeer := carry(t, 1)
	defer closePeer()
	tunnel, _, err := opener.Open(context.Background(), "peer", peer, server)
	if err != nil {
		t.Fatal(err)
	}
	c, err := servers.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if _, err := io.WriteString(tunnel, "GET / HTTP/1.1\r\n"); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(c, make([]byte, 4)); err != nil {
		t.Fatal(err)
	}
	_ = tunnel.Close()
	if _, err := io.ReadAll(c); err == nil {
		t.Error("the server's connection ended in order")
	}
}

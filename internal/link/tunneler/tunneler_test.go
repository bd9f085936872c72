package tunneler_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/rpc"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"example.com/dotterelwell/internal/link/connector"
	"example.com/dotterelwell/internal/link/tunneler"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/ident"
	"example.com/dotterelwell/internal/standin/wire"
)

const (
	peerAddress   ident.Address = "10.0.0.1:81"
	serverAddress ident.Address = "10.9.0.1:80"
)

// pair is an instance that opens tunnels and a peer that carries them to a server.
type pair struct {
	network      *wire.Network
	opener, peer *tunneler.Tunneler
	server       net.Listener
}

func run(t *testing.T, test func(t *testing.T, p *pair)) {
	synctest.Test(t, func(t *testing.T) {
		p := &pair{network: &wire.Network{}}
		listener, err := p.network.Listen(string(peerAddress))
		if err != nil {
			t.Fatal(err)
		}
		if p.server, err = p.network.Listen(string(serverAddress)); err != nil {
			t.Fatal(err)
		}
		serving := &connector.Connector{}
		p.peer = &tunneler.Tunneler{Instance: "peer", DialFunc: p.network.Dialer("10.0.0.1"), Limit: 2, CarriersFunc: func() []ident.Instance { return []ident.Instance{"another"} }}
		serving.StreamFuncs = map[string]func(*connector.Stream){tunneler.OpenMethod: p.peer.Carry}
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = serving.Serve(listener, rpc.NewServer()) // it ends when the listener closes
		}()
		p.opener = &tunneler.Tunneler{Instance: "opener", Connector: &connector.Connector{DialFunc: p.network.Dialer("10.0.0.2")}}
		test(t, p)
		_ = listener.Close() // it ends Serve
		serving.Close()
		<-done
	})
}

func (p *pair) open(t *testing.T) (tunnel *tunneler.Conn, server net.Conn) {
	t.Helper()
	tunnel, _, err := p.opener.Open(context.Background(), "peer", peerAddress, serverAddress)
	if err != nil {
		t.Fatal(err)
	}
	server, err = p.server.Accept()
	if err != nil {
		t.Fatal(err)
	}
	return tunnel, server
}

// TestBytes guards against bytes that are lost, changed or added on the way, in either direction.
func TestBytes(t *testing.T) {
	run(t, func(t *testing.T, p *pair) {
		tunnel, server := p.open(t)
		up, down := strings.Repeat("up\x00", 20000), strings.Repeat("\x00\x00\x00\x00down", 20000)
		go func() { _, _ = io.WriteString(tunnel, up) }() // the server's end shows what arrived
		got := make([]byte, len(up))
		if _, err := io.ReadFull(server, got); err != nil || string(got) != up {
			t.Errorf("the server got other bytes, error %v", err)
		}
		go func() {
			_, _ = io.WriteString(server, down)
			_ = server.Close()
		}()
		answer, err := io.ReadAll(tunnel)
		if err != nil || string(answer) != down {
			t.Errorf("%d of %d bytes arrived, error %v", len(answer), len(down), err)
		}
		_ = tunnel.Close()
		time.Sleep(2 * time.Second)
		if n := p.peer.Carried(); n != 0 {
			t.Errorf("%d tunnels are carried after the end", n)
		}
	})
}

// TestBrokenPeerIsNoEnd guards against the loss of a peer looking like the end of the server's connection.
func TestBrokenPeerIsNoEnd(t *testing.T) {
	run(t, func(t *testing.T, p *pair) {
		tunnel, server := p.open(t)
		_, _ = io.WriteString(server, "half") // the tunnel's end shows what arrived
		half := make([]byte, 4)
		if _, err := io.ReadFull(tunnel, half); err != nil {
			t.Fatal(err)
		}
		p.network.Reset(func(from, _ string) bool { return from == "10.0.0.2" })
		if _, err := tunnel.Read(half); err == nil || errors.Is(err, io.EOF) {
			t.Errorf("error %v, want one that is no end", err)
		}
		if _, err := server.Read(half); err == nil {
			t.Error("the server's connection is still open")
		}
	})
}

// TestDeadlineInsideFrame guards against bytes that are lost when a read deadline ends in the middle of a frame.
func TestDeadlineInsideFrame(t *testing.T) {
	run(t, func(t *testing.T, p *pair) {
		tunnel, server := p.open(t)
		if err := tunnel.SetReadDeadline(time.Now().Add(time.Second)); err != nil {
			t.Fatal(err)
		}
		buffer := make([]byte, 2)
		if _, err := tunnel.Read(buffer); err == nil {
			t.Fatal("a read without data succeeded")
		}
		if err := tunnel.SetReadDeadline(time.Time{}); err != nil {
			t.Fatal(err)
		}
		go func() {
			_, _ = io.WriteString(server, "abc") // the tunnel's end shows what arrived
			_ = server.Close()
		}()
		if got, err := io.ReadAll(tunnel); string(got) != "abc" || err != nil {
			t.Errorf("got %q, error %v", got, err)
		}
		_ = tunnel.Close()
	})
}

// TestNotCarried checks what the opener learns when a tunnel is not carried.
func TestNotCarried(t *testing.T) {
	for name, tt := range map[string]struct {
		set  func(p *pair)
		want tunneler.Kind
	}{
		"server down":   {func(p *pair) { _ = p.server.Close() }, tunneler.KindServerRefused},
		"server silent": {func(p *pair) { p.network.Part(func(from, _ string) bool { return from == "10.0.0.1" }) }, tunneler.KindServerSilent},
		"peer silent":   {func(p *pair) { p.network.Part(func(from, _ string) bool { return from == "10.0.0.2" }) }, tunneler.KindNoPeer},
		"full":          {func(p *pair) { p.peer.Limit = 0 }, tunneler.KindNotCarried},
		"not allowed": {func(p *pair) {
			p.peer.MayCarryFunc = func(ident.Address, clock.Millis) error { return errors.New("leaving") }
		}, tunneler.KindNotCarried},
		"peer is cut off":   {func(p *pair) { p.peer.DialFunc = failsWith(tunneler.KindNotCarried) }, tunneler.KindNotCarried},
		"peer knows better": {func(p *pair) { p.peer.DialFunc = failsWith(tunneler.KindServerSilent) }, tunneler.KindServerSilent},
	} {
		t.Run(name, func(t *testing.T) {
			run(t, func(t *testing.T, p *pair) {
				tt.set(p)
				began := time.Now()
				_, reply, err := p.opener.Open(context.Background(), "peer", peerAddress, serverAddress)
				if tunneler.KindOf(err) != tt.want || time.Since(began) > tunneler.OpenTimeout.Duration() {
					t.Errorf("error %v after %v, want one of kind %s", err, time.Since(began), tt.want)
				}
				if tt.want != tunneler.KindNoPeer && len(reply.Carriers) != 1 {
					t.Errorf("carriers %v, want another one to be named", reply.Carriers)
				}
			})
		})
	}
}

func failsWith(kind tunneler.Kind) func(context.Context, string, string) (net.Conn, error) {
	return func(context.Context, string, string) (net.Conn, error) {
		return nil, &tunneler.Error{Op: "connect", Kind: kind}
	}
}

// TestGarbledFrames guards against a peer that sends no frames making the opener read without end or panic.
func TestGarbledFrames(t *testing.T) {
	run(t, func(t *testing.T, p *pair) {
		p.peer.DialFunc = nil
		garbling := &connector.Connector{StreamFuncs: map[string]func(*connector.Stream){tunneler.OpenMethod: func(s *connector.Stream) {
			var args tunneler.OpenArgs
			if s.ReadArgs(&args) == nil && s.Reply(&tunneler.OpenReply{}) == nil {
				_, _ = s.Write([]byte("\xff\xff\xff\xffHTTP/1.1 200 OK\r\n")) // the opener finds out
			}
		}}}
		listener, err := p.network.Listen("10.0.0.3:81")
		if err != nil {
			t.Fatal(err)
		}
		go func() { _ = garbling.Serve(listener, rpc.NewServer()) }() // it ends when the listener closes
		tunnel, _, err := p.opener.Open(context.Background(), "garbler", "10.0.0.3:81", serverAddress)
		if err != nil {
			t.Fatal(err)
		}
		if got, err := io.ReadAll(tunnel); err == nil {
			t.Errorf("%d bytes were read without an error", len(got))
		}
		_ = tunnel.Close()
		_ = listener.Close()
		garbling.Close()
	})
}

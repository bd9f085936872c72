package assembler_test

import (
	"context"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"example.com/dotterelwell/internal/machine/assembler"
	"example.com/dotterelwell/internal/machine/loader"
	"example.com/dotterelwell/internal/standin/wire"
)

// failingListener fails once with an error that passes.
type failingListener struct {
	net.Listener
	accepts atomic.Int64
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.accepts.Add(1) == 1 {
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", syscall.ENOBUFS)}
	}
	return l.Listener.Accept()
}

// TestAcceptErrorsThatPass guards against an instance that ends because a connection could not be accepted, on any port.
func TestAcceptErrorsThatPass(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var network wire.Network
		listen := func(address string) *failingListener {
			l, err := network.Listen(address)
			if err != nil {
				t.Fatal(err)
			}
			return &failingListener{Listener: l}
		}
		callers, peers, operators := listen("10.1.0.1:80"), listen("10.1.0.1:81"), listen("10.1.0.1:82")
		s := loader.Defaults()
		s.Instance, s.Zone, s.Region = "entry-1", "a", "r"
		node, closeNode, err := assembler.New(s, assembler.Outside{DialFunc: network.Dialer("entry-1"), Caller: callers, Peer: peers, Operator: operators})
		if err != nil {
			t.Fatal(err)
		}
		defer closeNode()
		ctx, stop := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- node.Run(ctx) }()
		time.Sleep(2 * time.Second)
		for port, l := range map[string]*failingListener{"callers": callers, "peers": peers, "operators": operators} {
			if n := l.accepts.Load(); n < 2 {
				t.Errorf("%s: accept was tried %d times, want again after an error that passes", port, n)
			}
		}
		stop()
		<-ended
	})
}

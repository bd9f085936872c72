package host

import (
	"net"
	"testing"

	"golang.org/x/sys/unix"

	"example.com/dotterelwell/internal/machine/ident"
)

// TestCallersMayPauseReading guards against TCP_USER_TIMEOUT on callers' connections, which cut off the answer of a
// caller that didn't read for two seconds. The connections of peers keep it.
func TestCallersMayPauseReading(t *testing.T) {
	for _, c := range []struct {
		name    string
		listen  func(ident.Address) (net.Listener, error)
		limited bool
	}{{"callers", listenCallers, false}, {"peers", listen, true}} {
		l, err := c.listen("127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		client, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer client.Close()
		accepted, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		defer accepted.Close()
		raw, err := accepted.(*net.TCPConn).SyscallConn()
		if err != nil {
			t.Fatal(err)
		}
		timeout := 0
		var optErr error
		err = raw.Control(func(fd uintptr) {
			timeout, optErr = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
		})
		if err != nil || optErr != nil {
			t.Fatal(err, optErr)
		}
		if (timeout > 0) != c.limited {
			t.Errorf("%s: TCP_USER_TIMEOUT is %d ms, limited %v", c.name, timeout, c.limited)
		}
	}
}

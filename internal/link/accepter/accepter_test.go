package accepter

import (
	"errors"
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
)

// failing is a listener whose accepts fail with the given errors in turn, and then succeed.
type failing struct {
	net.Listener
	errs []error
}

func (f *failing) Addr() net.Addr { return &net.TCPAddr{} }

func (f *failing) Accept() (net.Conn, error) {
	if len(f.errs) == 0 {
		near, _ := net.Pipe()
		return near, nil
	}
	err := f.errs[0]
	f.errs = f.errs[1:]
	return nil, &net.OpError{Op: "accept", Err: err}
}

// TestErrorsThatPassAreWaitedOut checks that a process without descriptors and clients that give up end no listener, and that
// a closed one does end.
func TestErrorsThatPassAreWaitedOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		called := 0
		a := &Accepter{OnError: func() { called++ }, Listener: &failing{errs: []error{
			os.NewSyscallError("accept4", syscall.EMFILE), os.NewSyscallError("accept4", syscall.ENFILE),
			os.NewSyscallError("accept4", syscall.ECONNABORTED), os.NewSyscallError("accept4", syscall.EPROTO), os.NewSyscallError("accept4", syscall.ENOBUFS),
		}}}
		if _, err := a.Accept(); err != nil || called != 5 {
			t.Errorf("accept fails with %v after %d errors, want none after 5", err, called)
		}
		for _, lasting := range []error{net.ErrClosed, os.NewSyscallError("accept4", syscall.EBADF)} {
			a.Listener = &failing{errs: []error{lasting}}
			if _, err := a.Accept(); !errors.Is(err, lasting) {
				t.Errorf("accept fails with %v, want %v", err, lasting)
			}
		}
	})
}

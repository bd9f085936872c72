// Package accepter waits out errors of accept that pass: a process that has no descriptors left, or a connection
// that its client gave up before it was accepted, is no reason to stop serving.
package accepter

import (
	"errors"
	"net"
	"syscall"
	"time"

	"k8s.io/klog/v2"
)

const (
	// firstPause is the wait after a failed accept; it doubles with each further one up to lastPause.
	firstPause = 5 * time.Millisecond
	lastPause  = time.Second
	// logInterval is the time between two log lines about failed accepts.
	logInterval = 10 * time.Second
)

// Accepter is a listener whose Accept fails only with errors that do not pass. Set the exported fields before use.
type Accepter struct {
	net.Listener
	// Port names the port in logs.
	Port string
	// OnError, when set, is called after each failed accept. It may free descriptors.
	OnError func()

	loggedAt time.Time
}

// Accept waits for the next connection.
func (a *Accepter) Accept() (net.Conn, error) {
	for pause := firstPause; ; pause = min(2*pause, lastPause) {
		c, err := a.Listener.Accept()
		if err == nil || !passes(err) {
			return c, err
		}
		if now := time.Now(); now.Sub(a.loggedAt) >= logInterval {
			a.loggedAt = now
			klog.ErrorS(err, "Connections are not accepted for now", "port", a.Port, "address", a.Addr().String())
		}
		if a.OnError != nil {
			a.OnError()
		}
		time.Sleep(pause)
	}
}

// passes reports whether a later accept may succeed: all errors of the system but those that tell that the
// descriptor is none of a listening socket.
func passes(err error) bool {
	var number syscall.Errno
	if !errors.As(err, &number) {
		return false
	}
	return number != syscall.EBADF && number != syscall.EINVAL && number != syscall.ENOTSOCK
}

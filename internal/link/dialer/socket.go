package dialer

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"

	"example.com/dotterelwell/internal/machine/clock"
)

const (
	// probeInterval is the interval of TCP keep-alive probes on an idle connection, and
	// probeCount the number of unanswered ones after which it is closed.
	probeInterval = 1 * clock.Second
	probeCount    = 2
	// unackedTimeout is how long sent bytes may stay unacknowledged (TCP_USER_TIMEOUT).
	// On a path that loses packets, TCP retransmits them several times within it.
	unackedTimeout = 2 * clock.Second
)

// TCP opens connections that fail within a few seconds after the other end has stopped
// answering.
var TCP = &net.Dialer{
	Timeout:         dialTimeout.Duration(),
	KeepAliveConfig: KeepAlive,
	Control:         Control,
}

// KeepAlive closes an idle connection after probeCount unanswered keep-alive probes.
var KeepAlive = net.KeepAliveConfig{
	Enable: true, Idle: probeInterval.Duration(), Interval: probeInterval.Duration(), Count: probeCount,
}

// Control sets TCP_USER_TIMEOUT on a socket, so that a connection fails when sent bytes stay
// unacknowledged for unackedTimeout. Connections inherit the option from their listener. It also ends a connection
// whose other end acknowledges everything and doesn't read for that long, so it is not for callers.
func Control(_, _ string, raw syscall.RawConn) error {
	var setErr error
	err := raw.Control(func(fd uintptr) {
		setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout))
	})
	if err != nil {
		return err
	}
	return setErr
}

// IsTimeout reports whether an error is a time-out of the network: the other end did not answer, rather than refuse.
func IsTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

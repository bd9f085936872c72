package transporter

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// isIdle reports whether a connection is open and has no unread bytes. A connection that
// is no socket can't be checked and counts as idle.
func isIdle(c net.Conn) bool {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	err = raw.Read(func(fd uintptr) bool {
		var probe [1]byte
		_, _, err := unix.Recvfrom(int(fd), probe[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		idle = err == unix.EAGAIN
		return true
	})
	return err == nil && idle
}

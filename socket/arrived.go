package socket

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// IsReadable reports whether something has arrived at a connection or a listener: bytes, its end,
// or a connection to accept. Deadlines have no effect on it. It returns false for what has no
// descriptor.
func IsReadable(conn any) bool {
	described, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := described.SyscallConn()
	if err != nil {
		return false
	}
	count := 0
	err = raw.Control(func(fd uintptr) {
		for {
			if count, err = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0); err != unix.EINTR {
				return
			}
		}
	})
	return err == nil && count > 0
}

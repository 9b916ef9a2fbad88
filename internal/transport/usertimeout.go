package transport

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// unackedTimeout is the time for which data may stay unacknowledged. Without it, a response to a caller that is gone occupies its endpoint
// for minutes.
const unackedTimeout = 8 * time.Second

// setUserTimeout limits the time for which data on the connections of a listener may stay unacknowledged.
func setUserTimeout(_, _ string, conn syscall.RawConn) error {
	var optionErr error
	err := conn.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optionErr
}

func userTimeout(fd uintptr) (time.Duration, error) {
	ms, err := unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
	return time.Duration(ms) * time.Millisecond, err
}

package transport

import (
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// unackedTimeout is the time for which data may stay unacknowledged. Without it, a response to a caller that is gone occupies its endpoint
// for minutes.
const unackedTimeout = 8 * time.Second

// UserTimeout returns a function for net.ListenConfig.Control that closes connections whose peer acknowledges no data for a time
// (TCP_USER_TIMEOUT). Accepted connections inherit it from their listener.
func UserTimeout(timeout time.Duration) func(network, addr string, conn syscall.RawConn) error {
	return func(_, _ string, conn syscall.RawConn) error {
		var optionErr error
		err := conn.Control(func(fd uintptr) {
			optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
		})
		if err != nil {
			return errors.Wrap(err, "access listener socket")
		}
		return errors.Wrap(optionErr, "set TCP_USER_TIMEOUT")
	}
}

package agent

import (
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// userTimeout closes a connection whose peer acknowledges no data for this long. Without it the kernel retransmits to a failed
// VM for about 15 minutes, and the memory of its streams stays reserved.
const userTimeout = 10 * time.Second

// setUserTimeout sets TCP_USER_TIMEOUT on a listener. Accepted connections inherit it.
func setUserTimeout(_, _ string, conn syscall.RawConn) error {
	var optionErr error
	err := conn.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return errors.Wrap(err, "access listener socket")
	}
	return errors.Wrap(optionErr, "set TCP_USER_TIMEOUT")
}

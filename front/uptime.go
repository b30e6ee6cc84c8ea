package front

import (
	"time"

	"golang.org/x/sys/unix"
)

// uptime is a clock that goes on while the process or its machine is suspended
// and never jumps.
func uptime() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		// Without that clock no lease may be trusted.
		panic("no clock counts through a suspension: " + err.Error())
	}
	return time.Duration(now.Nano())
}

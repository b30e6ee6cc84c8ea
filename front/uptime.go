package front

import (
	"time"

	"golang.org/x/sys/unix"
)

// uptime returns the time since boot. The clock keeps counting while the process
// or its host is suspended, and is never set.
func uptime() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		// Without this clock, a lease that expired during a suspension would be
		// taken for valid.
		panic("read CLOCK_BOOTTIME, which leases depend on: " + err.Error())
	}
	return time.Duration(now.Nano())
}

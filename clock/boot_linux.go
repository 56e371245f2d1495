package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// sinceBoot returns the time since the VM booted, including the time it was suspended,
// and whether the kernel provides it.
func sinceBoot() (time.Duration, bool) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0, false
	}
	return time.Duration(t.Nano()), true
}

package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// The start of the process by the wall clock and as time since boot. Boot adds the time since
// then to startTime, so that its times resemble wall clock times.
var (
	startTime = time.Now().Round(0) // without the monotonic clock reading
	startBoot = sinceBoot()
)

// Boot includes the time that the machine is suspended, and is not affected by adjustments of the wall clock.
func Boot() time.Time {
	since := sinceBoot()
	if since == 0 || startBoot == 0 {
		return time.Now() // the kernel does not provide the time since boot
	}
	return startTime.Add(since - startBoot)
}

// sinceBoot returns the time since the machine booted; 0: the kernel does not provide it.
func sinceBoot() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return 0
	}
	return time.Duration(now.Nano())
}

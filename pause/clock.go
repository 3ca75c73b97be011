package pause

import (
	"time"

	"golang.org/x/sys/unix"
)

// SinceBoot returns the time since the machine booted. Unlike the monotonic clock of the Go
// runtime, it also counts the time during which the machine was suspended. It returns 0 if the
// kernel does not say.
func SinceBoot() time.Duration { return readClock(unix.CLOCK_BOOTTIME) }

// suspendedTime returns how long the machine has been suspended since it booted.
func suspendedTime() time.Duration {
	running := readClock(unix.CLOCK_MONOTONIC)
	return SinceBoot() - running
}

func readClock(id int32) time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(id, &ts); err != nil {
		return 0
	}
	return time.Duration(ts.Nano())
}

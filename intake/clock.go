package intake

import (
	"time"

	"golang.org/x/sys/unix"
)

// sinceBoot returns the time since the start of the instance. Unlike the
// runtime's monotonic clock, it goes on while the instance is suspended.
func sinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0
	}
	return time.Duration(ts.Nano())
}

// deadline is a moment by two clocks: the runtime's, and the one that counts
// suspended time.
type deadline struct {
	at    time.Time
	clock func() time.Duration
	boot  time.Duration
}

func newDeadline(clock func() time.Duration, left time.Duration) deadline {
	return deadline{at: time.Now().Add(left), clock: clock, boot: clock() + left}
}

func (d deadline) left() time.Duration {
	return min(time.Until(d.at), d.boot-d.clock())
}

func (d deadline) passed() bool { return d.left() <= 0 }

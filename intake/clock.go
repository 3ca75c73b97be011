package intake

import (
	"time"

	"golang.org/x/sys/unix"
)

// sinceBoot returns the time since the machine booted. Unlike the monotonic
// clock of the Go runtime, it also counts the time during which the machine was
// suspended.
func sinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0
	}
	return time.Duration(ts.Nano())
}

// deadline is a point in time on two clocks: the monotonic clock of the Go
// runtime, and a clock that also counts the time of a suspension.
type deadline struct {
	at       time.Time
	clock    func() time.Duration
	bootTime time.Duration
}

func newDeadline(clock func() time.Duration, left time.Duration) deadline {
	return deadline{at: time.Now().Add(left), clock: clock, bootTime: clock() + left}
}

// left returns the remaining time by the clock on which less is left. It is
// negative after the deadline.
func (d deadline) left() time.Duration {
	return min(time.Until(d.at), d.bootTime-d.clock())
}

func (d deadline) passed() bool { return d.left() <= 0 }

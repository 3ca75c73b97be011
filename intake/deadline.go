package intake

import "time"

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

package plan

import "time"

// lagFactor is how often an order waits for this process to run: to be sent, and to
// take its answer.
const lagFactor = 2

// usualLag is how late the ticks of a sound machine may come, whose share of a
// processor is small.
const usualLag = 25 * time.Millisecond

// ResponseTimeout returns how long an order waits for its answer that usually waits that
// long, while this process runs late by lag. It answers homes on machines that turn
// slow: they would take all workers for silent and refuse all jobs.
func ResponseTimeout(usual, lag time.Duration) time.Duration {
	return usual + lagFactor*max(lag-usualLag, 0)
}

// UpdateLag follows how late a process runs, by how late its ticks come: at once when it
// rises, and by a tenth with each tick when it falls.
func UpdateLag(before, tick time.Duration) time.Duration {
	return max(tick, before-before/10, 0)
}

const (
	// slowLag is the mean lag from which on a process is slow; objectives leave
	// about 90 ms for everything beside the work.
	slowLag = 50 * time.Millisecond

	// slowTicks is the number of ticks in a row with such a mean that make it so:
	// a single pause is no slow machine.
	slowTicks = 3

	// mostLag bounds what one tick adds to the mean, which would remember a pause
	// for long otherwise.
	mostLag = 200 * time.Millisecond

	// lagWeight is the weight of a new tick in the mean.
	lagWeight = 0.3
)

// SlowDetector tells whether a process is too slow to be a home. It answers machines that
// turn slow for seconds: their homes do better elsewhere. The zero value is fast.
type SlowDetector struct {
	mean  time.Duration
	ticks int // in a row with a mean above the limit
}

// Record takes how late a tick came.
func (s *SlowDetector) Record(lag time.Duration) {
	s.mean += time.Duration(lagWeight * float64(min(lag, mostLag)-s.mean))
	if s.mean < slowLag {
		s.ticks = 0
		return
	}
	s.ticks++
}

// IsSlow reports whether the process is slow.
func (s *SlowDetector) IsSlow() bool { return s.ticks >= slowTicks }

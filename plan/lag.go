package plan

import "time"

// lagFactor is how many times a request waits for this process to be scheduled: once to be
// sent, and once to receive its response.
const lagFactor = 2

// normalLag is the scheduling delay of timers on a healthy machine that has a small share of a
// processor.
const normalLag = 25 * time.Millisecond

// ResponseTimeout lengthens the usual timeout of a request while this process has the
// scheduling delay lag. Used for homes on machines that become slow: they would take all
// workers for unresponsive and refuse all jobs.
func ResponseTimeout(usual, lag time.Duration) time.Duration {
	return usual + lagFactor*max(lag-normalLag, 0)
}

// UpdateLag returns the tracked scheduling delay after a timer that fired late by tick. It
// rises at once, and falls by a tenth with each tick.
func UpdateLag(before, tick time.Duration) time.Duration {
	return max(tick, before-before/10, 0)
}

const (
	// slowLag is the mean scheduling delay from which on a process is slow; objectives leave
	// about 90 ms for everything beside the work.
	slowLag = 50 * time.Millisecond

	// slowTicks is the number of ticks in a row with a mean above slowLag that make a process
	// slow: a single pause does not.
	slowTicks = 3

	// maxLagSample bounds the delay of one tick that enters the mean. Without the bound a single
	// pause would raise the mean for long.
	maxLagSample = 200 * time.Millisecond

	// lagWeight is the weight of a new tick in the mean.
	lagWeight = 0.3
)

// SlowDetector detects that this process is too slow to be a home. Used for machines that
// become slow for seconds: another instance does better as home. The zero value reports a fast
// process.
type SlowDetector struct {
	mean  time.Duration
	ticks int // in a row with a mean above slowLag
}

// Record takes in how late a tick came.
func (s *SlowDetector) Record(lag time.Duration) {
	s.mean += time.Duration(lagWeight * float64(min(lag, maxLagSample)-s.mean))
	if s.mean < slowLag {
		s.ticks = 0
		return
	}
	s.ticks++
}

// IsSlow reports whether the process is slow.
func (s *SlowDetector) IsSlow() bool { return s.ticks >= slowTicks }

package plan

import "time"

const (
	// checkFactor is the multiple of its estimate after which the progress of a run is checked;
	// estimates are off by half either way.
	checkFactor = 1.6

	// checkDelay is added for short runs, whose estimate is close to the delay of requests.
	checkDelay = 40 * time.Millisecond

	// moveCost bounds the time that a stop and a new start take in addition to the run.
	moveCost = 80 * time.Millisecond
)

// ProgressCheckAt returns when the progress of a run should be checked.
func ProgressCheckAt(started time.Time, estimate time.Duration) time.Time {
	return started.Add(time.Duration(checkFactor*float64(estimate)) + checkDelay)
}

// endFactor and endDelay leave most runs enough time to end as estimated.
const (
	endFactor = 1.2
	endDelay  = 15 * time.Millisecond
)

// LikelyEnd returns when a run has probably ended. Used for lost responses: a request that
// waits for the end of a run is sent again after this time.
func LikelyEnd(started time.Time, estimate time.Duration) time.Time {
	return started.Add(time.Duration(endFactor*float64(estimate)) + endDelay)
}

// RemainingTime predicts how much longer a run takes that has done percent of its work in the
// time elapsed. Before any progress it returns an hour.
func RemainingTime(elapsed time.Duration, percent int) time.Duration {
	if percent <= 0 {
		return time.Hour
	}
	return elapsed * time.Duration(100-min(percent, 100)) / time.Duration(percent)
}

// minStall is the least time without progress that counts as a stall; progress checks are this
// far apart at most.
const minStall = 150 * time.Millisecond

// Stalled reports whether a run made no progress for longer than all of its work should take.
// Used for workers on which tasks hang forever: their runs are given up even while no other
// worker has free capacity.
func Stalled(sinceProgress, estimate time.Duration) bool {
	return sinceProgress > max(estimate, minStall)
}

// ShouldMove reports whether a run would end much earlier if it was stopped and started on
// another worker. Used for workers that become slow, and for tasks that stall on responsive
// workers.
func ShouldMove(elapsed time.Duration, percent int, estimate time.Duration) bool {
	return RemainingTime(elapsed, percent) > 2*(estimate+moveCost)
}

package plan

import "time"

const (
	// lookFactor is how many times its estimate a run lasts before its
	// progress is looked at; estimates are off by half either way.
	lookFactor = 1.6

	// lookDelay is added for short runs, whose estimate is near the delay of
	// orders.
	lookDelay = 40 * time.Millisecond

	// moveCost is what a stop and a new start take at most beside the run.
	moveCost = 80 * time.Millisecond
)

// ProgressCheckAt returns when the progress of a run is worth a look.
func ProgressCheckAt(started time.Time, estimate time.Duration) time.Time {
	return started.Add(time.Duration(lookFactor*float64(estimate)) + lookDelay)
}

// endFactor and endDelay leave most runs time to end as estimated.
const (
	endFactor = 1.2
	endDelay  = 15 * time.Millisecond
)

// LikelyEnd returns when a run has probably ended. It answers answers that get
// lost: whoever waits for the end asks anew then.
func LikelyEnd(started time.Time, estimate time.Duration) time.Time {
	return started.Add(time.Duration(endFactor*float64(estimate)) + endDelay)
}

// RemainingTime predicts how much longer a run takes that has done percent of its work
// within elapsed.
func RemainingTime(elapsed time.Duration, percent int) time.Duration {
	if percent <= 0 {
		return time.Hour
	}
	return elapsed * time.Duration(100-min(percent, 100)) / time.Duration(percent)
}

// minStandstill is the least time without headway that counts as a standstill;
// progress is known from looks that are this far apart at most.
const minStandstill = 150 * time.Millisecond

// Stalled reports whether a run has stood still for longer than all of its work
// should take. It answers workers on which tasks hang for good: their runs are
// given up even while no other worker has room.
func Stalled(still, estimate time.Duration) bool {
	return still > max(estimate, minStandstill)
}

// ShouldMove reports whether a run does better to start anew elsewhere. It answers
// workers that turn slow, and tasks that stand still on workers that answer.
func ShouldMove(elapsed time.Duration, percent int, estimate time.Duration) bool {
	return RemainingTime(elapsed, percent) > 2*(estimate+moveCost)
}

// Package near decides whether a waiting task is held for a place on a worker in the rack of its
// data, or starts at once on a worker elsewhere, where it takes longer. Its functions neither block
// nor do I/O. They are used for data that many jobs want at the same time: their rack has no free
// place for most of the time, while the rest of the data centre has.
package near

import "time"

// Task describes a task for which there is no free place in the rack of its data.
type Task struct {
	Run       time.Duration // expected run time in that rack
	FarFactor float64       // how many times as long it takes elsewhere
	Held      time.Duration // how long it has been held so far
}

// Hold decides whether a task is held for a place in the rack that is expected to come free after
// the time release, when it could start elsewhere at once: if it is expected to end earlier that way. A
// held task thus keeps what was promised when its job was admitted, and leaves the rest of the capacity
// to others. The time for which it has been held counts as well, so that releases which fail to come, or
// go to more urgent tasks, delay a task by no more than a run elsewhere would have.
func Hold(t Task, release time.Duration) bool {
	return t.Held+release+t.Run < time.Duration(float64(t.Run)*t.FarFactor)
}

// overdueFactor and overdueDelay bound how long after its expected end a run may still count on to
// release its place soon: the bounds by which most runs have ended.
const (
	overdueFactor = 1.2
	overdueDelay  = 15 * time.Millisecond
)

// ReleaseIn returns the time until a run is expected to release its place, given its estimate and
// the time since its start. It reports false for a run that should have ended by now: nothing is
// known of its end then, and a task that was held for its place decides anew.
func ReleaseIn(elapsed, estimate time.Duration) (time.Duration, bool) {
	if elapsed < estimate {
		return estimate - elapsed, true
	}
	last := time.Duration(overdueFactor*float64(estimate)) + overdueDelay
	return last - elapsed, elapsed < last
}

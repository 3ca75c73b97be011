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
	Left      time.Duration // until it must end for its job to meet its objective and its caller's timeout
}

// far returns the expected run time outside the rack.
func (t Task) far() time.Duration { return time.Duration(float64(t.Run) * t.FarFactor) }

// Hold decides whether a task is held for a place in the rack that is expected to come free after
// the time release, when it could start elsewhere at once. Short reports that the data centre has
// less free capacity than its waiting tasks need.
//
// The earlier of the two expected ends decides, within two bounds. A task that meets its objective
// by a start elsewhere is held only as long as it would still meet it by a start elsewhere at the
// time of the release, so that a release which does not come costs no answer in time. A task that
// would miss its objective elsewhere has nothing to lose: it is held whenever it ends earlier that
// way. Where capacity is short, a task that meets its objective either way is held even if it ends
// later: elsewhere it would occupy FarFactor times as much capacity, at the expense of the others
// that wait.
func Hold(t Task, release time.Duration, short bool) bool {
	nearEnd, farEnd := release+t.Run, t.far()
	switch {
	case farEnd > t.Left:
		return nearEnd < farEnd
	case release+farEnd > t.Left:
		return false
	}
	return nearEnd < farEnd || short
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

// Package plan holds the decisions of a home: which job is next, where a task
// starts, which job is refused or sent elsewhere, which worker is avoided and
// which run is moved. Its functions neither wait nor send; each names the load
// pattern that it answers.
package plan

import (
	"cmp"
	"slices"
	"time"

	"foxtailmux/model"
)

// lateFactor is how many objectives may pass until an answer is of no more use
// to its caller; the users' pages give it.
const lateFactor = 3

// Objective is the time within which a caller wants the answer of a job whose
// longest chain of steps takes chain.
func Objective(r model.Route, chain time.Duration) time.Duration {
	return time.Duration(r.Stretch*float64(chain)) + r.Allowance
}

// CriticalPath returns the longest chain of steps, with one estimate for each step.
func CriticalPath(steps []model.Step, estimates []time.Duration) time.Duration {
	ends := make([]time.Duration, len(steps))
	var longest time.Duration
	for i, s := range steps {
		for _, earlier := range s.After {
			ends[i] = max(ends[i], ends[earlier])
		}
		ends[i] += estimates[i]
		longest = max(longest, ends[i])
	}
	return longest
}

// MaxStartDelay is how long after its arrival a job may start and still be of use to
// its caller. It answers the time without a home after a restart of all instances:
// a job that would only wait for its refusal is refused sooner.
func MaxStartDelay(objective, chain time.Duration) time.Duration {
	return max(lateFactor*objective-chain, 0)
}

// WaitingJob is a job with tasks that wait.
type WaitingJob struct {
	Arrived   time.Time
	Objective time.Duration
	Remaining time.Duration // of its longest chain
	Priority  int
	Started   bool // a task of it ran
}

// latestStart is when the waiting tasks must start for an answer in time.
func (w WaitingJob) latestStart() time.Time { return w.Arrived.Add(w.Objective - w.Remaining) }

// late reports whether a job that has not started can't end in time.
func (w WaitingJob) late(now time.Time) bool { return !w.Started && now.After(w.latestStart()) }

// Expired reports whether a job that has not started can no longer be of use.
func (w WaitingJob) Expired(now time.Time) bool {
	return !w.Started && now.Sub(w.Arrived) > MaxStartDelay(w.Objective, w.Remaining)
}

// Compare orders jobs by the time at which they must start. It answers bursts
// of unlike jobs: a short one that has little time goes before a long one that
// has much. Jobs that are late already come last, so that they use only what
// the others leave; those of which some tasks have run keep their place, since
// the rest of a wide job would wait for all of its caller's time otherwise, and
// what ran would be wasted.
func Compare(a, b WaitingJob, now time.Time) int {
	lateA, lateB := a.late(now), b.late(now)
	switch {
	case lateA != lateB && lateA:
		return 1
	case lateA != lateB:
		return -1
	}
	return cmp.Or(
		a.latestStart().Compare(b.latestStart()),
		cmp.Compare(a.Priority, b.Priority),
		a.Arrived.Compare(b.Arrived),
	)
}

// Candidate is a worker that a task may start on.
type Candidate struct {
	Free     model.Resources
	Health   HealthState
	NearData bool // in the rack of the task's data
}

// Place picks the candidate for a task by the best fit: the one that has the
// least left afterwards, so that large gaps stay for large tasks. It answers a
// mix of unlike needs on unlike workers. Workers in doubt come last, and those
// near the data first. It returns -1 when no candidate has room.
func Place(needs model.Resources, candidates []Candidate) int {
	best := -1
	for i, c := range candidates {
		if c.Health == Ejected || !needs.Within(c.Free) {
			continue
		}
		if best < 0 || better(c, candidates[best]) {
			best = i
		}
	}
	return best
}

func better(a, b Candidate) bool {
	if a.Health != b.Health {
		return a.Health < b.Health
	}
	if a.NearData != b.NearData {
		return a.NearData
	}
	return a.Free.TotalMilliCores() < b.Free.TotalMilliCores()
}

// ExpectedRelease is processor time, in thousandths of a core, that becomes free.
type ExpectedRelease struct {
	MilliCores int
	In         time.Duration
}

// Backlog is what a job finds at its arrival. Processors are in thousandths of
// a core.
type Backlog struct {
	Capacity int               // of all workers in use
	Free     int               // of it
	Ahead    int               // claimed by waiting tasks that go first
	Running  []ExpectedRelease // what runs
	MeanRun  time.Duration     // of a task
}

// EstimateWait estimates how long a job waits until the last of its tasks starts. What
// runs frees its room at its expected end; a backlog above the capacity is
// worked off in rounds of the mean run time.
func (b Backlog) EstimateWait(processor int) time.Duration {
	missing := b.Ahead + processor - b.Free
	if missing <= 0 {
		return 0
	}
	if b.Capacity <= 0 {
		return time.Hour
	}

	slices.SortFunc(b.Running, func(x, y ExpectedRelease) int { return cmp.Compare(x.In, y.In) })
	var last time.Duration
	for _, f := range b.Running {
		missing -= f.MilliCores
		last = max(last, f.In)
		if missing <= 0 {
			return last
		}
	}
	rounds := float64(missing) / float64(b.Capacity)
	return last + time.Duration((1+rounds)*float64(b.MeanRun))
}

// admitFactor is the share of the objective within which a job must be
// expected to end in order to be admitted. An answer is of some use up to
// lateFactor, and the expected wait is off by half of that either way.
const admitFactor = 1.5

// JobTiming are those that decide whether a job is of use: the longest chain of what is
// left of it, within what time its caller wants the answer and how long the caller
// waits, both since its arrival, and its age.
type JobTiming struct {
	CriticalPath  time.Duration
	Objective     time.Duration
	CallerTimeout time.Duration
	Age           time.Duration
}

// endsWithin reports whether a job that still waits that long ends within so many
// objectives, and before its caller gives up.
func (t JobTiming) endsWithin(wait time.Duration, objectives float64) bool {
	limit := min(time.Duration(objectives*float64(t.Objective)), t.CallerTimeout)
	return t.Age+wait+t.CriticalPath <= limit
}

// Admit reports whether a job that waits that long still ends in time. It
// answers load above the capacity: a job that would end far too late only delays
// those behind it, and its caller does better to come back.
func Admit(wait time.Duration, t JobTiming) bool { return t.endsWithin(wait, admitFactor) }

const (
	// keepFactor is the share of the objective within which a job that waits
	// must be expected to end in order to be kept. It is above admitFactor, so
	// that an admitted job is not refused for a small error of the estimate.
	keepFactor = 2.0

	// lateWait is the share of the objective by which a job that is late already
	// may be expected to end after it. It goes behind all that can be in time,
	// so a longer wait only grows.
	lateWait = 0.25
)

// Keep reports whether a job that waits is kept. It answers backlogs that grew
// after jobs were admitted, such as those that callers build up while there is
// no home, and load that stays above the capacity: what can't be served is
// refused long before it expires.
func Keep(wait time.Duration, t JobTiming) bool {
	if t.Age+t.CriticalPath > t.Objective {
		return wait == 0 || t.endsWithin(wait, 1+lateWait)
	}
	return t.endsWithin(wait, keepFactor)
}

// shortestRun is the least share of its estimate that a task takes; estimates are
// off by half either way.
const shortestRun = 0.5

// Infeasible reports whether a task that waits can no longer end before its caller
// gives up. It answers wide jobs that started in part before the load rose: their
// callers do better to know at once.
func Infeasible(estimate, left time.Duration) bool {
	return time.Duration(shortestRun*float64(estimate)) > left
}

// Retry bounds.
const (
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// RetryAfter is when a refused caller does best to come back: when the present
// backlog is worked off, spread over as long again by a draw from [0, 1), so
// that those refused together don't return together.
func RetryAfter(wait time.Duration, draw float64) time.Duration {
	wait = min(max(wait, minRetryAfter), maxRetryAfter)
	return wait + time.Duration(draw*float64(wait))
}

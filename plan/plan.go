// Package plan holds the decisions of a home, the one entry instance that at present owns the
// workers of a data centre and alone starts tasks on them (an elected leader): the order of
// jobs, the worker for each task, the refusal or redirection of jobs, the ejection of workers
// and the move of slow or stalled runs to other workers. Its functions neither block nor do
// I/O. The comment of each decision names the load pattern that it is made for.
package plan

import (
	"cmp"
	"slices"
	"time"

	"foxtailmux/model"
	"foxtailmux/share"
)

// lateFactor is the number of objectives after which an answer is of no use to its caller, as
// the platform defines it.
const lateFactor = 3

// Objective returns the time within which a caller wants the answer of a job whose critical
// path takes chain.
func Objective(r model.Route, chain time.Duration) time.Duration {
	return time.Duration(r.Stretch*float64(chain)) + r.Allowance
}

// CriticalPath returns the run time of the longest chain of dependent steps. Estimates holds
// the expected run time of a task for each step.
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

// MaxStartDelay returns how long after its arrival a job may start and still be of use to its
// caller. Used for the time without a home after a restart of all instances: a job that could
// only wait for its refusal is refused sooner.
func MaxStartDelay(objective, chain time.Duration) time.Duration {
	return max(lateFactor*objective-chain, 0)
}

// WaitingJob is a job with tasks that have not started.
type WaitingJob struct {
	Arrived   time.Time
	Objective time.Duration
	Remaining time.Duration // run time of the critical path of its unfinished steps
	Priority  int
	Started   bool       // at least one of its tasks has started
	Rank      share.Rank // zero while the capacity suffices
}

// latestStart returns the time by which the waiting tasks must start to meet the objective.
func (w WaitingJob) latestStart() time.Time { return w.Arrived.Add(w.Objective - w.Remaining) }

// isLate reports whether a job that has not started can no longer meet its objective.
func (w WaitingJob) isLate(now time.Time) bool { return !w.Started && now.After(w.latestStart()) }

// Expired reports whether a job that has not started is of no more use to its caller.
func (w WaitingJob) Expired(now time.Time) bool {
	return !w.Started && now.Sub(w.Arrived) > MaxStartDelay(w.Objective, w.Remaining)
}

// Compare orders jobs by the latest time at which they must start (least slack first). Used for
// bursts of mixed jobs: a short job with little slack goes before a long job with much slack.
// Jobs that are already late come last, so that they use only the capacity that the others
// leave. Late jobs that have started keep their place: otherwise the remaining tasks of a wide
// job would wait until its caller gives up, and the finished ones would be wasted. While the
// capacity is short, the ranks of the jobs come before their slack. Of two jobs
// with the same latest start, the one with the lower Priority goes first, then the one that
// arrived first.
func Compare(a, b WaitingJob, now time.Time) int {
	lateA, lateB := a.isLate(now), b.isLate(now)
	switch {
	case lateA != lateB && lateA:
		return 1
	case lateA != lateB:
		return -1
	}
	return cmp.Or(
		share.Compare(a.Rank, b.Rank),
		a.latestStart().Compare(b.latestStart()),
		cmp.Compare(a.Priority, b.Priority),
		a.Arrived.Compare(b.Arrived),
	)
}

// Candidate is a worker that a task may start on.
type Candidate struct {
	Free     model.Resources
	Health   HealthState
	NearData bool          // in the rack of the task's data
	Wanted   bool          // in a rack that tasks with data there wait for
	Run      time.Duration // expected run time of the task there, 0 if unknown
}

// comfortFactor is the multiple of its expected run time that a task must have left to be placed
// by best fit; declared run times are off by half, and most of that is learned.
const comfortFactor = 1.25

// Place returns the index of the candidate for a task that has to end within left. Healthy
// workers come before suspect ones, and those on which it is expected to end well in time before
// the others. Among those, the workers near the data come first and those in racks that other
// tasks wait for last, then the slowest, then the one with the least CPU left afterwards (best
// fit), so that fast workers and large gaps stay free for the tasks that need them. Where the task
// does not end well in time anywhere, the fastest worker comes first. Used for a mix of tasks with
// different needs and slack on workers of different sizes and speeds. It returns -1 when no
// candidate that is not ejected has enough free capacity.
func Place(needs model.Resources, left time.Duration, candidates []Candidate) int {
	easy := time.Duration(float64(left) / comfortFactor)
	best := -1
	for i := range candidates {
		c := &candidates[i]
		if c.Health == Ejected || !needs.Within(c.Free) {
			continue
		}
		if best < 0 || isBetter(c, &candidates[best], easy) {
			best = i
		}
	}
	return best
}

// isBetter compares two candidates for a task that ends well in time if it runs no longer than easy.
func isBetter(a, b *Candidate, easy time.Duration) bool {
	if a.Health != b.Health {
		return a.Health < b.Health
	}
	easyA, easyB := a.Run <= easy, b.Run <= easy
	if easyA != easyB {
		return easyA
	}
	if !easyA && a.Run != b.Run {
		return a.Run < b.Run
	}
	if a.NearData != b.NearData {
		return a.NearData
	}
	if a.Wanted != b.Wanted {
		return b.Wanted
	}
	if a.Run != b.Run {
		return a.Run > b.Run
	}
	return a.Free.TotalMilliCores() < b.Free.TotalMilliCores()
}

// AwaitFaster reports whether a task that has to end within left does better to wait for a worker
// that becomes free than to start on the best free one, where it takes run. Other is the time
// until it would end on the other one. Used for moments in which only slow workers are free: a
// short task leaves a fast one soon.
func AwaitFaster(run, left, other time.Duration) bool { return run > left && other <= left }

// ExpectedRelease is an amount of CPU, in thousandths of a core, and the time until a running
// task is expected to release it.
type ExpectedRelease struct {
	MilliCores int
	In         time.Duration
}

// Backlog describes the capacity and the load that a job finds at its arrival. CPU amounts are
// in thousandths of a core.
type Backlog struct {
	Capacity         int               // of all usable workers
	Free             int               // part of Capacity that is not reserved
	Ahead            int               // needed by waiting tasks that start earlier
	ExpectedReleases []ExpectedRelease // expected ends of the running tasks
	MeanRun          time.Duration     // mean estimate of the running tasks
}

// Missing returns how much CPU, in thousandths of a core, a job that needs milliCores has to wait
// for; 0 or less if it can start at once.
func (b Backlog) Missing(milliCores int) int { return b.Ahead + milliCores - b.Free }

// EstimateWait estimates how long a job that needs milliCores waits until the last of its tasks
// starts. Running tasks release their capacity at their expected ends; a backlog above the
// capacity is worked off in rounds of the mean run time. Without any capacity it returns an
// hour. It sorts b.ExpectedReleases.
func (b Backlog) EstimateWait(milliCores int) time.Duration {
	missing := b.Missing(milliCores)
	if missing <= 0 {
		return 0
	}
	if b.Capacity <= 0 {
		return time.Hour
	}

	slices.SortFunc(b.ExpectedReleases, func(x, y ExpectedRelease) int { return cmp.Compare(x.In, y.In) })
	var last time.Duration
	for _, f := range b.ExpectedReleases {
		missing -= f.MilliCores
		last = max(last, f.In)
		if missing <= 0 {
			return last
		}
	}
	rounds := float64(missing) / float64(b.Capacity)
	return last + time.Duration((1+rounds)*float64(b.MeanRun))
}

// admitFactor is the number of objectives within which a job must be expected to end to be
// admitted. An answer is of some use up to lateFactor objectives, and the estimate of the wait
// is off by half of these either way.
const admitFactor = 1.5

// JobTiming holds the times that decide whether a job is of use: the critical path of its
// steps, its objective and how long its caller waits for the answer (both counted from its
// arrival), and the time since its arrival.
type JobTiming struct {
	CriticalPath  time.Duration
	Objective     time.Duration
	CallerTimeout time.Duration
	Age           time.Duration
}

// endsWithin reports whether a job that still waits for that time ends within a number of
// objectives, and before its caller gives up.
func (t JobTiming) endsWithin(wait time.Duration, objectives float64) bool {
	limit := min(time.Duration(objectives*float64(t.Objective)), t.CallerTimeout)
	return t.Age+wait+t.CriticalPath <= limit
}

// inTimeFactor is the number of objectives within which a job must be expected to end to count as
// in time; estimates of waits are off either way.
const inTimeFactor = 0.85

// InTime reports whether a job that waits for that time still meets its objective.
func InTime(wait time.Duration, t JobTiming) bool { return t.endsWithin(wait, inTimeFactor) }

// Slack returns how long a job can wait for its start and still meet its objective.
func Slack(t JobTiming) time.Duration {
	return max(min(time.Duration(inTimeFactor*float64(t.Objective)), t.CallerTimeout)-t.Age-t.CriticalPath, 0)
}

// Admit reports whether a job that waits for that time still ends early enough to be admitted.
// Used for load above the capacity: a job that would end far too late only delays those behind
// it, and its caller does better to retry later.
func Admit(wait time.Duration, t JobTiming) bool { return t.endsWithin(wait, admitFactor) }

const (
	// keepFactor is the number of objectives within which a waiting job must be expected to end
	// to be kept. It is above admitFactor, so that an admitted job is not refused for a small
	// error of the estimate.
	keepFactor = 2.0

	// lateTolerance is the share of the objective by which a job that is already late may be
	// expected to miss it. A late job goes behind all jobs that can be in time, so a longer
	// wait only grows.
	lateTolerance = 0.25
)

// Keep reports whether a waiting job is kept. Used for backlogs that grew after jobs were
// admitted, such as the one that builds up while there is no home, and for load that stays
// above the capacity: jobs that can't end in time are refused long before they expire. A job
// that is already late is kept if it can start now, or if it misses its objective by no more
// than lateTolerance.
func Keep(wait time.Duration, t JobTiming) bool {
	if t.Age+t.CriticalPath > t.Objective {
		return wait == 0 || t.endsWithin(wait, 1+lateTolerance)
	}
	return t.endsWithin(wait, keepFactor)
}

// retriedShare is the share of the usual timeout of a queue's callers below which a caller has
// probably submitted its job before. Callers of one queue may wait twice as long as others, such as
// for jobs that take longer than declared.
const retriedShare = 0.45

// WaitedBefore estimates how long a caller has waited before it submitted a job, from the time
// that it still waits and from the time that callers of the queue usually wait. Used for the
// seconds after a loss of all instances: callers whose connections broke submit their jobs again
// among those with new jobs, with what is left of their timeouts, and no instance remembers
// them. Without the estimate the jobs that are late already would take the capacity from those
// that can be in time.
func WaitedBefore(left, usual time.Duration) time.Duration {
	if float64(left) >= retriedShare*float64(usual) {
		return 0
	}
	return usual - left
}

// minRunShare is the least share of its estimate that a task runs; estimates are off by half
// either way.
const minRunShare = 0.5

// Infeasible reports whether a waiting task can no longer end within left, the time until its
// caller gives up. Used for wide jobs of which some tasks started before the load rose:
// their callers do better to be refused at once.
func Infeasible(estimate, left time.Duration) bool {
	return time.Duration(minRunShare*float64(estimate)) > left
}

// Bounds of the wait that RetryAfter returns, before the random spread.
const (
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// RetryAfter returns the time after which a refused caller should retry: when the present
// backlog is worked off, plus the random share of that time, so that callers that were refused
// together don't cause a retry storm. Random is in [0, 1).
func RetryAfter(wait time.Duration, random float64) time.Duration {
	wait = min(max(wait, minRetryAfter), maxRetryAfter)
	return wait + time.Duration(random*float64(wait))
}

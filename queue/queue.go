// Package queue holds the tasks that wait for a slot. Tasks are grouped and
// ordered by job, since a caller gets the answer only when the last task of the
// job has ended.
package queue

import (
	"maps"
	"slices"
	"time"
)

// maxTeamRecords is the number of team records from which on those of teams
// without a waiting job are evicted.
const maxTeamRecords = 1024

// Queue is a set of waiting tasks, ordered by an Order. It is not safe for
// concurrent use; the scheduler's lock guards it.
type Queue struct {
	order Order
	jobs  []*Job
	teams map[string]*teamUsage
	pools map[string]Waiting
	size  int
}

// Waiting is the number of tasks that wait for a worker of a pool and the sum of
// their expected run times.
type Waiting struct {
	Tasks       int
	ExpectedRun time.Duration
}

// New returns an empty queue with the given order.
func New(order Order) *Queue {
	return &Queue{order: order, teams: map[string]*teamUsage{}, pools: map[string]Waiting{}}
}

// SetOrder replaces the order, also for the jobs that wait already.
func (q *Queue) SetOrder(order Order) { q.order = order }

// Len returns the number of waiting tasks.
func (q *Queue) Len() int { return q.size }

// JobCount returns the number of jobs with waiting tasks.
func (q *Queue) JobCount() int { return len(q.jobs) }

// Waiting returns the totals of the tasks that wait for a pool.
func (q *Queue) Waiting(pool string) Waiting { return q.pools[pool] }

// Push adds a job with all its items.
func (q *Queue) Push(j *Job) {
	q.addJob(j)
	for _, it := range j.Items {
		q.addTotals(j, it)
	}
}

// PushFront returns an item that was popped but not started to the front of its
// job and subtracts its run time from the usage of the team.
func (q *Queue) PushFront(j *Job, it *Item) {
	if !slices.Contains(q.jobs, j) {
		q.addJob(j)
	}
	j.Items = slices.Insert(j.Items, 0, it)
	j.team.charge(-it.ExpectedRun, j.Weight)
	q.addTotals(j, it)
}

func (q *Queue) addJob(j *Job) {
	q.evictIdleTeams()
	j.team = q.addTeamJob(j.Team)
	q.jobs = append(q.jobs, j)
}

func (q *Queue) addTotals(j *Job, it *Item) {
	q.adjustTotals(j, 1, it.ExpectedRun)
}

func (q *Queue) subtractTotals(j *Job, it *Item) {
	q.adjustTotals(j, -1, -it.ExpectedRun)
}

func (q *Queue) adjustTotals(j *Job, tasks int, work time.Duration) {
	q.size += tasks
	j.remaining += work

	w := q.pools[j.Pool]
	w.Tasks += tasks
	w.ExpectedRun += work
	if w.Tasks == 0 {
		delete(q.pools, j.Pool)
		return
	}
	q.pools[j.Pool] = w
}

// Pop removes the first item, in the order of the jobs, for which fits returns
// true, and charges its run time to the team. It returns nil if there is none.
func (q *Queue) Pop(now time.Time, fits func(*Job, *Item) bool) (*Job, *Item) {
	best, bestItem := -1, -1
	for i, j := range q.jobs {
		if best >= 0 && !q.order.Before(j, q.jobs[best], now) {
			continue
		}
		k := slices.IndexFunc(j.Items, func(it *Item) bool { return fits(j, it) })
		if k >= 0 {
			best, bestItem = i, k
		}
	}
	if best < 0 {
		return nil, nil
	}

	j := q.jobs[best]
	it := j.Items[bestItem]
	j.Items = slices.Delete(j.Items, bestItem, bestItem+1)
	q.subtractTotals(j, it)
	j.team.charge(it.ExpectedRun, j.Weight)
	if len(j.Items) == 0 {
		q.removeJobAt(best)
	}
	return j, it
}

func (q *Queue) removeJobAt(index int) {
	q.jobs[index].team.jobs--
	q.jobs = slices.Delete(q.jobs, index, index+1)
}

// TakeLast removes up to max items of a pool's jobs that are not pinned, beginning
// with the job that comes last in the order. Each returned job is a copy with the
// items taken from it.
func (q *Queue) TakeLast(pool string, now time.Time, max int) []*Job {
	var taken []*Job
	for max > 0 {
		last := q.lastUnpinned(pool, now)
		if last < 0 {
			return taken
		}

		j := q.jobs[last]
		keep := len(j.Items) - min(max, len(j.Items))
		part := *j
		part.Items = slices.Clone(j.Items[keep:])
		part.remaining = 0
		for _, it := range part.Items {
			q.subtractTotals(j, it)
		}
		j.Items = j.Items[:keep]
		if keep == 0 {
			q.removeJobAt(last)
		}
		max -= len(part.Items)
		taken = append(taken, &part)
	}
	return taken
}

// lastUnpinned returns the index of the job of a pool that comes last in the order
// and is not pinned, or -1.
func (q *Queue) lastUnpinned(pool string, now time.Time) int {
	last := -1
	for i, j := range q.jobs {
		if j.Pool == pool && !j.Pinned && (last < 0 || q.order.Before(q.jobs[last], j, now)) {
			last = i
		}
	}
	return last
}

// Remove removes all waiting items of a job and returns them.
func (q *Queue) Remove(j *Job) []*Item {
	i := slices.Index(q.jobs, j)
	if i < 0 {
		return nil
	}

	q.removeJobAt(i)
	items := j.Items
	j.Items = nil
	for _, it := range items {
		q.subtractTotals(j, it)
	}
	return items
}

// RemovePool removes all waiting items of a pool's jobs and returns them.
func (q *Queue) RemovePool(pool string) []*Item {
	var items []*Item
	for _, j := range slices.Clone(q.jobs) {
		if j.Pool == pool {
			items = append(items, q.Remove(j)...)
		}
	}
	return items
}

// Pools returns the names of the pools that tasks wait for, sorted.
func (q *Queue) Pools() []string {
	return slices.Sorted(maps.Keys(q.pools))
}

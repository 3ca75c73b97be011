// Package queue holds the tasks that wait for a slot, grouped by job, since
// an answer waits for the last task of its job.
package queue

import (
	"maps"
	"slices"
	"time"
)

// maxTeams is the number of teams above which idle ones are forgotten.
const maxTeams = 1024

// Queue is a set of waiting tasks. It is not safe for concurrent use; the
// scheduler that owns it guards it.
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

// New returns an empty queue.
func New(order Order) *Queue {
	return &Queue{order: order, teams: map[string]*teamUsage{}, pools: map[string]Waiting{}}
}

// SetOrder changes the order of the jobs that wait.
func (q *Queue) SetOrder(order Order) { q.order = order }

// Len returns the number of waiting tasks.
func (q *Queue) Len() int { return q.size }

// JobCount returns the number of jobs with waiting tasks.
func (q *Queue) JobCount() int { return len(q.jobs) }

// Waiting returns what waits for a pool.
func (q *Queue) Waiting(pool string) Waiting { return q.pools[pool] }

// Push adds a job with its items.
func (q *Queue) Push(j *Job) {
	q.enter(j)
	for _, it := range j.Items {
		q.count(j, it)
	}
}

// PushFront puts an item back that was popped but not started.
func (q *Queue) PushFront(j *Job, it *Item) {
	if !slices.Contains(q.jobs, j) {
		q.enter(j)
	}
	j.Items = slices.Insert(j.Items, 0, it)
	j.team.add(-it.ExpectedRun, j.Weight)
	q.count(j, it)
}

func (q *Queue) enter(j *Job) {
	q.forgetIdle()
	j.team = q.join(j.Team)
	q.jobs = append(q.jobs, j)
}

func (q *Queue) count(j *Job, it *Item) {
	q.adjust(j, 1, it.ExpectedRun)
}

func (q *Queue) discount(j *Job, it *Item) {
	q.adjust(j, -1, -it.ExpectedRun)
}

func (q *Queue) adjust(j *Job, tasks int, work time.Duration) {
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

// Pop removes the first item, in the order of the jobs, for which fits is
// true. It returns nil when there is none.
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
	q.discount(j, it)
	j.team.add(it.ExpectedRun, j.Weight)
	if len(j.Items) == 0 {
		q.leave(best)
	}
	return j, it
}

func (q *Queue) leave(index int) {
	q.jobs[index].team.jobs--
	q.jobs = slices.Delete(q.jobs, index, index+1)
}

// TakeLast removes up to max items of a pool's jobs that are not pinned, those of
// the job that comes last in the order first. Each returned job is a copy that
// holds the items taken from it.
func (q *Queue) TakeLast(pool string, now time.Time, max int) []*Job {
	var taken []*Job
	for max > 0 {
		last := q.last(pool, now)
		if last < 0 {
			return taken
		}

		j := q.jobs[last]
		keep := len(j.Items) - min(max, len(j.Items))
		part := *j
		part.Items = slices.Clone(j.Items[keep:])
		part.remaining = 0
		for _, it := range part.Items {
			q.discount(j, it)
		}
		j.Items = j.Items[:keep]
		if keep == 0 {
			q.leave(last)
		}
		max -= len(part.Items)
		taken = append(taken, &part)
	}
	return taken
}

// last returns the index of the last job of a pool that is not pinned, or -1.
func (q *Queue) last(pool string, now time.Time) int {
	last := -1
	for i, j := range q.jobs {
		if j.Pool == pool && !j.Pinned && (last < 0 || q.order.Before(q.jobs[last], j, now)) {
			last = i
		}
	}
	return last
}

// Remove takes out all waiting items of a job and returns them.
func (q *Queue) Remove(j *Job) []*Item {
	i := slices.Index(q.jobs, j)
	if i < 0 {
		return nil
	}

	q.leave(i)
	items := j.Items
	j.Items = nil
	for _, it := range items {
		q.discount(j, it)
	}
	return items
}

// RemovePool takes out all waiting items of a pool and returns them.
func (q *Queue) RemovePool(pool string) []*Item {
	var items []*Item
	for _, j := range slices.Clone(q.jobs) {
		if j.Pool == pool {
			items = append(items, q.Remove(j)...)
		}
	}
	return items
}

// Pools returns the pools that tasks wait for.
func (q *Queue) Pools() []string {
	return slices.Sorted(maps.Keys(q.pools))
}

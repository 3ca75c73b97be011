// Package queue holds the tasks that wait for a slot, grouped by job, since
// an answer waits for the last task of its job.
package queue

import (
	"slices"
	"time"
)

// Queue is a set of waiting tasks. It is not safe for concurrent use;
// the scheduler that owns it guards it.
type Queue struct {
	order Order
	jobs  []*Job
	size  int
}

// New returns an empty queue.
func New(order Order) *Queue {
	return &Queue{order: order}
}

// SetOrder changes the order of the jobs that wait.
func (q *Queue) SetOrder(order Order) { q.order = order }

// Len returns the number of waiting tasks.
func (q *Queue) Len() int { return q.size }

// Jobs returns the number of jobs with waiting tasks.
func (q *Queue) Jobs() int { return len(q.jobs) }

// Push adds a job with its items.
func (q *Queue) Push(j *Job) {
	q.jobs = append(q.jobs, j)
	q.size += len(j.Items)
}

// PushFront puts an item back that was popped but not started.
func (q *Queue) PushFront(j *Job, it *Item) {
	q.size++
	j.Items = append([]*Item{it}, j.Items...)

	if !slices.Contains(q.jobs, j) {
		q.jobs = append([]*Job{j}, q.jobs...)
	}
}

// Pop removes the first item, in the order of the jobs, for which fits is
// true. It returns nil when there is none.
func (q *Queue) Pop(now time.Time, fits func(*Job, *Item) bool) (*Job, *Item) {
	best := -1
	bestItem := -1
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
	q.removeItem(best, bestItem)
	return j, it
}

func (q *Queue) removeItem(job, item int) {
	j := q.jobs[job]
	j.Items = slices.Delete(j.Items, item, item+1)
	q.size--

	if len(j.Items) == 0 {
		q.jobs = slices.Delete(q.jobs, job, job+1)
	}
}

// Remove takes out all waiting items of a job and returns them.
func (q *Queue) Remove(j *Job) []*Item {
	i := slices.Index(q.jobs, j)
	if i < 0 {
		return nil
	}

	q.jobs = slices.Delete(q.jobs, i, i+1)
	items := j.Items
	j.Items = nil
	q.size -= len(items)
	return items
}

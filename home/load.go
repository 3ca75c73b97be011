package home

import (
	"time"

	"foxtailmux/model"
	"foxtailmux/plan"
)

// wholeTasks is the part of a gap that typical tasks fill.
func wholeTasks(free, typical int) int {
	if typical <= 0 {
		return max(free, 0)
	}
	return max(free, 0) / typical * typical
}

// typicalWeight is the weight of a new job in the typical claim of a task.
const typicalWeight = 8

// noteTypical takes a job's claim into the typical one.
func (h *Home) noteTypical(j *job) {
	if len(j.batch.Steps) == 0 {
		return
	}
	claim := j.batch.Steps[0].Needs.TotalMilliCores()
	if h.typical == 0 {
		h.typical = claim
	}
	h.typical += (claim - h.typical) / typicalWeight
}

// FreeCapacity returns the present load.
func (h *Home) FreeCapacity() model.FreeCapacity {
	h.mu.Lock()
	defer h.mu.Unlock()
	var l model.FreeCapacity
	now := time.Now()
	for _, u := range h.units {
		if u.usable() && u.health.State(now) == plan.Healthy {
			l.Capacity += u.book.Capacity().TotalMilliCores()
			l.Free += wholeTasks(u.book.Free().TotalMilliCores(), h.typical)
		}
	}
	for j := range h.waiting {
		l.Waiting += j.waitingProcessor()
	}
	return l
}

// Pending returns the number of a queue's jobs of which no task started.
func (h *Home) Pending(queue string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for j := range h.waiting {
		if j.route.Name == queue && !j.started {
			n++
		}
	}
	return n
}

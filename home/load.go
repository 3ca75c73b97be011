package home

import (
	"time"

	"foxtailmux/model"
	"foxtailmux/plan"
)

// wholeTasks rounds free CPU down to a multiple of the typical need of a task.
func wholeTasks(free, typical int) int {
	if typical <= 0 {
		return max(free, 0)
	}
	return max(free, 0) / typical * typical
}

// typicalWeight is the number of jobs over which the typical need of a task is averaged.
const typicalWeight = 8

// updateTypicalTask includes the need of a job's tasks in the typical one.
func (h *Home) updateTypicalTask(j *job) {
	if len(j.batch.Steps) == 0 {
		return
	}
	milliCores := j.batch.Steps[0].Needs.TotalMilliCores()
	if h.typicalMilliCores == 0 {
		h.typicalMilliCores = milliCores
	}
	h.typicalMilliCores += (milliCores - h.typicalMilliCores) / typicalWeight
}

// FreeCapacity returns the capacity of the healthy workers, the part of it that is free for
// tasks of typical size, and the need of the waiting tasks. A drained data centre has no capacity.
func (h *Home) FreeCapacity() model.FreeCapacity {
	h.mu.Lock()
	defer h.mu.Unlock()
	var f model.FreeCapacity
	now := time.Now()
	drained := h.isDrained()
	for _, w := range h.workers {
		if !drained && w.isUsable() && w.health.State(now) == plan.Healthy {
			f.Capacity += w.tracker.Capacity().TotalMilliCores()
			f.Free += wholeTasks(w.tracker.Free().TotalMilliCores(), h.typicalMilliCores)
		}
	}
	for j := range h.waiting {
		f.Waiting += j.waitingMilliCores()
	}
	return f
}

// Pending returns the number of jobs of a queue of which no task has started.
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

package home

import (
	"time"

	"foxtailmux/lease"
)

// LeaseMargin is added to the longest lease for the drift of the workers' clocks, and for requests that are under
// way when the last lease is granted.
const LeaseMargin = 250 * time.Millisecond

// allRunsKnown reports whether no worker can still have an unreported run of an earlier home.
func (h *Home) allRunsKnown(now time.Time) bool {
	return h.options.First || h.earlierLeasesEnded(now) || h.allReported()
}

// workersKnown reports whether the workers that responded are all that can be expected to.
func (h *Home) workersKnown(now time.Time) bool {
	return now.Sub(h.startedAt) > h.options.MaxLease+LeaseMargin || h.allReported()
}

// allReported reports whether all workers have reported their runs.
func (h *Home) allReported() bool {
	if !h.listComplete {
		return false
	}
	for _, w := range h.workers {
		if !w.reported {
			return false
		}
	}
	return len(h.workers) > 0
}

// AwaitsWorkers reports whether a complete list of workers is of use to the home.
func (h *Home) AwaitsWorkers() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.closed && !h.listComplete && !h.allRunsKnown(time.Now())
}

// inheritingWorkers returns the workers with runs of an earlier home that are not adopted yet.
func (h *Home) inheritingWorkers() []*worker {
	var list []*worker
	for _, w := range h.workers {
		if w.tracker.HasInherited() {
			list = append(list, w)
		}
	}
	return list
}

// adoptRuns continues the runs of a job that an earlier home started on some workers, and counts
// those that have succeeded on any.
func (h *Home) adoptRuns(j *job, workers []*worker, now time.Time) {
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.state != taskWaiting {
			continue
		}
		if ended, ok := h.unclaimedEnds[t.name]; ok && ended.Reason == lease.Done {
			j.setDone(t)
			j.started = true
			continue
		}
		for _, w := range workers {
			run, ok := w.tracker.Adopt(t.name, j.batch.Steps[t.step].Needs, now)
			if !ok {
				continue
			}
			t.state, t.worker, t.run, t.startedAt, t.maybeRunning, t.adopted = taskRunning, w, run, now, false, true
			t.leftRuns = nil
			w.assign(j, t)
			j.trail.addRun(t, true)
			j.started = true
			w.signal()
			h.options.Log.Info().Str("job", j.batch.ID).Str("task", t.name).Str("worker", w.info.ID).
				Int64("run", run).Msg("run taken over")
			break
		}
	}
}

// adoptWaitingJobs adopts the runs on a worker for the waiting jobs, after its first report.
func (h *Home) adoptWaitingJobs(w *worker, now time.Time) {
	for j := range h.waiting {
		h.adoptRuns(j, []*worker{w}, now)
		if h.complete(j) {
			h.finish(j, Outcome{Result: Succeeded})
		}
	}
}

package home

import (
	"encoding/json"
	"slices"
	"time"
)

// LeftRun is a run that a closed home may have left on a worker. The incarnation is 0 if the worker has
// not reported one.
type LeftRun struct {
	Task        string   `json:"task"`
	Worker      string   `json:"worker"`
	Incarnation int64    `json:"incarnation,omitempty"`
	Until       LeaseEnd `json:"left"`
}

// LeaseEnd is the local time at which a lease has certainly ended. In JSON it is the time that is left, in
// nanoseconds, so that it is never too early on another machine.
type LeaseEnd struct{ time.Time }

// MarshalJSON encodes the time that is left. The error is always nil.
func (e LeaseEnd) MarshalJSON() ([]byte, error) { return json.Marshal(max(time.Until(e.Time), 0)) }

// UnmarshalJSON decodes the time that is left. The error is that of a number that is none.
func (e *LeaseEnd) UnmarshalJSON(text []byte) error {
	var left time.Duration
	err := json.Unmarshal(text, &left)
	e.Time = time.Now().Add(left)
	return err
}

// addLeftRuns records the runs of a waiting task that an earlier home may have left.
func (t *task) addLeftRuns(s Submission) {
	n := len(t.leftRuns)
	for _, r := range s.LeftRuns {
		if r.Task == t.name {
			t.leftRuns = append(t.leftRuns, r)
		}
	}
	t.maybeRunning = t.maybeRunning || !s.TasksReported || len(t.leftRuns) == n
}

// hasLeftRun reports whether a run that an earlier home has left may be in progress unnoticed.
func (h *Home) hasLeftRun(t *task, now time.Time) bool {
	return slices.ContainsFunc(t.leftRuns, func(r LeftRun) bool { return h.mayBeLeft(r, now) })
}

// mayBeLeft reports whether the lease of a run has not ended and its worker has not reported its runs to this
// home. From its first report on a worker refuses the requests of earlier homes.
func (h *Home) mayBeLeft(r LeftRun, now time.Time) bool {
	return now.Before(r.Until.Time) && !h.hasReported(r.Worker, r.Incarnation)
}

// hasReported reports whether an incarnation of a worker, or a later one, has reported its runs.
func (h *Home) hasReported(worker string, incarnation int64) bool {
	w := h.workers[worker]
	return w != nil && w.reported && w.tracker.Incarnation() >= incarnation
}

// leftRunsOf returns the runs of a task that this home and the ones before may have left, for the next one.
func (h *Home) leftRunsOf(t *task, now time.Time) []LeftRun {
	var list []LeftRun
	for _, r := range t.leftRuns {
		if h.mayBeLeft(r, now) {
			list = append(list, r)
		}
	}
	for _, w := range h.workersByID() {
		if w.tracker.Has(t.name) {
			list = append(list, w.leftRun(t.name, now))
		}
	}
	return list
}

// leftRun describes a run on the worker that is left to the next home.
func (w *worker) leftRun(task string, now time.Time) LeftRun {
	r := LeftRun{Task: task, Worker: w.info.ID, Incarnation: w.tracker.Incarnation(), Until: LeaseEnd{now.Add(w.home.options.MaxLease + LeaseMargin)}}
	if w.tracker.Clock.Known() {
		r.Until.Time = w.tracker.ExpiresAt()
	}
	return r
}

// findLeftRuns requests the list of workers anew if a worker with a run that an earlier home has left is
// missing from it, or there in an earlier incarnation.
func (h *Home) findLeftRuns(s Submission) {
	for _, r := range s.LeftRuns {
		if w := h.workers[r.Worker]; w == nil || w.info.Incarnation < r.Incarnation {
			h.options.RefreshWorkers()
			return
		}
	}
}

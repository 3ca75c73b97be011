package home

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// LongOpenAge is the age from which the other homes are told of an unfinished job. It leaves time for
	// two heartbeats until its caller can have submitted it again, after 1.3 s.
	LongOpenAge = 700 * time.Millisecond

	// supersedePollInterval is the time between checks whether the runs of a superseded job have ended,
	// which are confirmed within a few milliseconds.
	supersedePollInterval = 10 * time.Millisecond
)

// RequestID identifies the request of a caller. The submissions and parts of its job share it.
type RequestID struct {
	Origin      string `json:"origin"`
	Incarnation string `json:"incarnation"` // of the origin
	Number      int64  `json:"number"`      // rises with each request of the incarnation; 0 is unknown
}

// RequestID returns the identity of the request that the submission belongs to.
func (s Submission) RequestID() RequestID {
	return RequestID{Origin: s.Origin, Incarnation: s.Incarnation, Number: s.Request}
}

// recordRequest records the request of a submission that joins the job, if it is the job's latest one.
func (j *job) recordRequest(s Submission, now time.Time) {
	if at := now.Add(-s.Age); s.RequestID() != j.request && at.After(j.requestedAt) {
		j.request, j.requestedAt = s.RequestID(), at
	}
}

// OpenJob is an unfinished job of a home.
type OpenJob struct {
	ID, Queue   string
	Request     RequestID     // its last one
	RequestedAt time.Time     // when that arrived at its origin
	Left        time.Duration // until its time is over
}

// LongOpenJobs returns the unfinished jobs whose last request arrived LongOpenAge or longer ago.
func (h *Home) LongOpenJobs() []OpenJob {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	var list []OpenJob
	for _, j := range h.jobs {
		if now.Sub(j.requestedAt) >= LongOpenAge {
			list = append(list, OpenJob{ID: j.key.ID, Queue: j.key.Queue, Request: j.request, RequestedAt: j.requestedAt, Left: j.deadline.Sub(now)})
		}
	}
	return list
}

// JobsWithRuns returns the ids of the jobs that may have a run on a worker.
func (h *Home) JobsWithRuns() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var ids []string
	for _, w := range h.workers {
		for _, r := range w.tracker.Runs() {
			id, _, _ := strings.Cut(r.Task, ".")
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return slices.Compact(ids)
}

// errClosed is returned by a home that was closed before all runs of a superseded job had ended.
var errClosed = eris.New("the home was closed")

// SupersedeRequest asks for the end of the jobs with an id and a queue that belong to earlier requests than one of
// the given age. If the job was announced, runs of an earlier home that its workers have not reported count as left.
type SupersedeRequest struct {
	Job       string        `json:"job"` // id
	Queue     string        `json:"queue"`
	By        RequestID     `json:"by"`
	Age       time.Duration `json:"age"`
	Announced bool          `json:"announced,omitempty"`
}

// Supersede ends jobs whose caller has submitted them again. It returns when none of their runs can be on a
// worker, or at once if the home has a job of a later request, which it reports. The error is that of ctx, or that
// of a closed home.
func (h *Home) Supersede(ctx context.Context, r SupersedeRequest) (laterOpen bool, err error) {
	arrivedAt := time.Now().Add(-r.Age)
	ticker := time.NewTicker(supersedePollInterval)
	defer ticker.Stop()
	for {
		runsLeft, later, err := h.supersede(r, arrivedAt)
		if err != nil || later || !runsLeft {
			return later, err
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return false, eris.Wrap(ctx.Err(), "runs have not ended")
		}
	}
}

// supersede ends the jobs of earlier requests and reports whether a worker may still have a run of one.
func (h *Home) supersede(r SupersedeRequest, arrivedAt time.Time) (runsLeft, laterOpen bool, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed || h.isGivenUp() {
		return false, false, errClosed
	}
	for _, j := range h.jobs {
		if !r.Concerns(j.key) || j.request == r.By {
			continue
		}
		if !j.requestedAt.Before(arrivedAt) {
			return false, true, nil
		}
		l := h.options.Log.Info().Stringer("job", j.key).Str("home", h.options.DataCentre).Int64("token", h.options.Token).
			Bool("started", j.started).Str("byOrigin", r.By.Origin).Int64("byRequest", r.By.Number)
		j.lastSubmission.addTo(l).Msg("job is superseded")
		h.abort(j, Outcome{Result: Cancelled, Reason: "its caller has submitted it again"})
	}
	now := time.Now()
	if k := (Key{ID: r.Job, Queue: r.Queue}); now.Sub(h.startedAt) < inheritanceWindow && !slices.Contains(h.unwanted, k) {
		h.unwanted = append(h.unwanted, k)
	}
	if r.Announced && !h.allRunsKnown(now) {
		return true, false, nil
	}
	for _, w := range h.workers {
		if w.hasRunOfEarlierRequest(r) {
			return true, false, nil
		}
	}
	return false, false, nil
}

// Concerns reports whether a job, or a part of one, is the one that is to end. The content of a job does not tell: its
// tasks have the same names.
func (r SupersedeRequest) Concerns(k Key) bool { return k.ID == r.Job && k.Queue == r.Queue }

// hasRunOfEarlierRequest reports whether the worker may have a run of the job that belongs to no job of the later
// request. The queue of an inherited run is not known.
func (w *worker) hasRunOfEarlierRequest(r SupersedeRequest) bool {
	for _, run := range w.tracker.Runs() {
		if !(Key{ID: r.Job}).hasTask(run.Task) {
			continue
		}
		if a, ok := w.assignments[run.Task]; !ok || r.Concerns(a.job.key) && a.job.request != r.By {
			return true
		}
	}
	return false
}

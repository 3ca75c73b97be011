package fleet

import (
	"context"
	"slices"
	"sync"
	"time"

	"foxtailmux/home"
)

// heldSubmissions are the submissions that wait until earlier ones of their jobs have ended, and those that have
// done so. Used for jobs that are submitted once more, or cancelled, before their home has them. The zero value is
// ready to use.
type heldSubmissions struct {
	mu   sync.Mutex
	list map[*heldSubmission]struct{}
}

type heldSubmission struct {
	home.Submission
	since time.Time // when it was received, at the age of the submission
	end   context.CancelCauseFunc
}

func (s *heldSubmission) requestedAt() time.Time { return s.since.Add(-s.Age) }

// Add adds a submission and returns a context that ends with it, and the function that removes it.
func (h *heldSubmissions) Add(ctx context.Context, s home.Submission, since time.Time) (held context.Context, remove func()) {
	held, end := context.WithCancelCause(ctx)
	entry := &heldSubmission{Submission: s, since: since, end: end}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.list == nil {
		h.list = map[*heldSubmission]struct{}{}
	}
	h.list[entry] = struct{}{}
	return held, func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		delete(h.list, entry)
		end(nil)
	}
}

// Supersede ends the submissions of earlier requests of a job. It reports whether there is one of a later request.
func (h *heldSubmissions) Supersede(r home.SupersedeRequest) (laterOpen bool) {
	arrivedAt := time.Now().Add(-r.Age)
	h.mu.Lock()
	defer h.mu.Unlock()
	for s := range h.list {
		switch {
		case !r.Concerns(s.Key()), s.RequestID() == r.By:
		case s.requestedAt().Before(arrivedAt):
			s.end(errSuperseded)
		default:
			laterOpen = true
		}
	}
	return laterOpen
}

// Cancel ends the submissions with the ids, whose callers have left.
func (h *heldSubmissions) Cancel(ids ...home.SubmissionID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for s := range h.list {
		if slices.Contains(ids, s.ID()) {
			s.end(context.Canceled)
		}
	}
}

// Len returns the number of submissions.
func (h *heldSubmissions) Len() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.list)
}

// LongOpenJobs returns the jobs of the submissions as home.Home.LongOpenJobs does.
func (h *heldSubmissions) LongOpenJobs() []home.OpenJob {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	var list []home.OpenJob
	for s := range h.list {
		if now.Sub(s.requestedAt()) >= home.LongOpenAge {
			list = append(list, home.OpenJob{
				ID: s.Batch.ID, Queue: s.Batch.Queue, Request: s.RequestID(), RequestedAt: s.requestedAt(), Left: s.since.Add(s.TimeLeft).Sub(now),
			})
		}
	}
	return list
}

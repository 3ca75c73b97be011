package lease

import "time"

// maxLateness is how much later a worker may carry out a request that it left without a
// response, as guaranteed by the platform.
const maxLateness = 12 * time.Second

// lateStart is a start request without a response, which may still be carried out. The
// incarnation of the worker that it was sent to refuses it once a start of the same run or its
// stop was carried out; the next incarnation at the address remembers neither.
type lateStart struct {
	Run
	sentAt time.Time
}

// rememberLateStart keeps a start without a response for as long as it may still be carried
// out.
func (t *Tracker) rememberLateStart(r Run, now time.Time) {
	t.pruneLateStarts(now)
	t.lateStarts[r.Task] = lateStart{Run: r, sentAt: now}
}

func (t *Tracker) pruneLateStarts(now time.Time) {
	for task, l := range t.lateStarts {
		if now.Sub(l.sentAt) > maxLateness {
			delete(t.lateStarts, task)
		}
	}
}

// HasLateStarts reports whether a start without a response may still be carried out.
func (t *Tracker) HasLateStarts(now time.Time) bool {
	t.pruneLateStarts(now)
	return len(t.lateStarts) > 0
}

// resetForRestart handles a new incarnation of the worker, whose clock and sequence of ended
// runs start anew. Runs that are absent from its report are removed like any other missing run.
// A start without a response may still reach the new incarnation, with a lease on the clock of
// the old one, so each of these runs becomes unconfirmed again until the new incarnation has
// confirmed its stop.
func (t *Tracker) resetForRestart(clock int64, now time.Time) {
	t.lastEndSeen, t.lastEndAcked, t.lastReportClock = 0, 0, 0
	t.Clock, t.outdatedResponses = Clock{}, 0
	for _, e := range t.runs {
		e.seenClock, e.unlisted = 0, false
	}
	// Requests that the new incarnation has carried out already granted at most this lease.
	t.lastLeaseEnd = clock + t.maxLease.Milliseconds()
	t.pruneLateStarts(now)
	for task, l := range t.lateStarts {
		if t.runs[task] == nil {
			t.RecordStart(l.Run, 0, now)
			t.runs[task].unwanted = true
		}
		if e := t.runs[task]; e.Number == l.Number {
			e.state = unconfirmed
		}
	}
	for _, e := range t.runs {
		if e.state == startSent || e.state == unconfirmed {
			e.leaseEnd = clock + (maxLateness + t.maxLease).Milliseconds()
			t.lastLeaseEnd = max(t.lastLeaseEnd, e.leaseEnd)
		}
	}
}

package lease

import (
	"iter"
	"slices"
	"time"
)

// ApplyReport takes in the report that responds to a renewal sent at sentAt. It returns the
// runs that ended, of those that were tracked.
func (t *Tracker) ApplyReport(renewal Renewal, r Report, sentAt, now time.Time) []EndedRun {
	var ended []EndedRun
	if r.Incarnation != 0 && r.Incarnation != t.incarnation {
		if t.incarnation != 0 {
			t.resetForRestart(r.Clock, now)
		}
		t.incarnation, t.incarnationAt = r.Incarnation, now
	}
	t.lastEndAcked = max(t.lastEndAcked, renewal.LastEndSeen)
	stale := r.Clock < t.lastReportClock
	newer := r.Clock > t.lastReportClock
	if !stale {
		t.RecordResponse(r.Clock, now)
		t.lastReportClock, t.lastReport = r.Clock, now
	}

	for _, e := range r.Ended {
		if e.Sequence <= t.lastEndSeen {
			continue
		}
		t.lastEndSeen = e.Sequence
		if known := t.find(e.Task, e.Run); known != nil {
			t.remove(known)
			ended = append(ended, e)
		}
	}
	if stale {
		return ended // a newer report has listed the active runs
	}
	t.recordProgress(r.Active, newer, now)
	return append(ended, t.removeMissing(r, sentAt)...)
}

// RecordResponse records a response with the worker's clock in milliseconds, 0 if the response
// did not carry it.
func (t *Tracker) RecordResponse(clock int64, now time.Time) {
	t.Clock.Set(clock, now)
	t.lastResponse = now
}

// LastResponse returns when the worker last responded.
func (t *Tracker) LastResponse() time.Time { return t.lastResponse }

// endAllAsLost removes and returns all runs.
func (t *Tracker) endAllAsLost() []EndedRun {
	var ended []EndedRun
	for _, e := range t.runs {
		ended = append(ended, EndedRun{Task: e.Task, Run: e.Number, Reason: Lost})
		t.remove(e)
	}
	return ended
}

// recordProgress records the progress of the active runs. It tracks unknown ones as inherited
// from an earlier home if the report is newer than all others.
func (t *Tracker) recordProgress(active []Active, newer bool, now time.Time) {
	for _, a := range active {
		e := t.runs[a.Task]
		switch {
		case e == nil && !newer:
		case e == nil:
			t.runs[a.Task] = &trackedRun{
				Run: Run{Task: a.Task, Number: a.Run}, state: inherited, needsUnknown: true,
				stateSetAt: now, seenClock: t.lastReportClock, startedAt: now,
			}
			t.unsizedRuns++
			t.lastLeaseEnd = max(t.lastLeaseEnd, t.Clock.At(now)+t.maxLease.Milliseconds())
		case e.Number == a.Run:
			e.recordProgress(a.Percent, t.lastReportClock, now)
		}
	}
}

// recordProgress records that a run was on the worker at a time of the worker's clock, and the share of
// its work that is done. It confirms a run whose start got no response.
func (e *trackedRun) recordProgress(percent int, clock int64, now time.Time) {
	e.seenClock, e.unlisted = max(e.seenClock, clock), false
	if e.state == unconfirmed {
		e.state, e.stateSetAt = running, now
	}
	if percent > e.percent {
		e.percent, e.percentAt = percent, now
	}
}

// unlistedTime is how long after the response to its start, on the worker's clock in milliseconds, a run
// that no report has listed counts as lost. The response may be a second one to an earlier request, which
// was made in the same millisecond, while the start is still under way.
const unlistedTime = 250

// removeMissing removes and returns the runs that the worker should have and does not list:
// those that were confirmed before the renewal was sent and the report was made, and unconfirmed
// ones whose start would arrive after the end of its lease.
func (t *Tracker) removeMissing(r Report, sentAt time.Time) []EndedRun {
	var ended []EndedRun
	for _, e := range t.runs {
		listed := slices.ContainsFunc(r.Active, func(a Active) bool { return a.Task == e.Task && a.Run == e.Number })
		if listed {
			continue
		}
		expectedAt := e.seenClock
		if e.unlisted {
			expectedAt += unlistedTime
		}
		confirmed := e.state != startSent && e.state != unconfirmed && e.stateSetAt.Before(sentAt) && r.Clock > expectedAt
		expired := e.state == unconfirmed && r.Clock > e.leaseEnd
		if confirmed || expired {
			ended = append(ended, EndedRun{Task: e.Task, Run: e.Number, Reason: Lost})
			t.remove(e)
		}
	}
	return ended
}

// ExpireRuns ends all runs of an unreachable worker as soon as every lease that was ever
// granted to it is over on its clock.
func (t *Tracker) ExpireRuns(now time.Time) []EndedRun {
	if !t.HasExpired(now) {
		return nil
	}
	return t.endAllAsLost()
}

// HasExpired reports whether there are runs, and every lease that was ever granted to them is over at a local time.
func (t *Tracker) HasExpired(at time.Time) bool {
	return len(t.runs) > 0 && t.Clock.Known() && !at.Before(t.ExpiresAt())
}

// ExpiresAt returns when every lease that was granted is over.
func (t *Tracker) ExpiresAt() time.Time { return t.Clock.PassedAt(t.lastLeaseEnd).Add(expiryMargin) }

// EndAll ends all runs of a worker whose process has certainly ended.
func (t *Tracker) EndAll() []EndedRun {
	clear(t.lateStarts)
	t.lastEndSeen, t.lastEndAcked, t.lastLeaseEnd, t.incarnation, t.lastReportClock = 0, 0, 0, 0, 0
	t.Clock = Clock{}
	return t.endAllAsLost()
}

// Progress is the progress of a run. StartedAt is when its start was sent, or when it was first
// reported. Stopping is set for all runs that are not confirmed to be running.
type Progress struct {
	Run
	Percent   int
	PercentAt time.Time // when Percent last rose
	StartedAt time.Time
	Stopping  bool
}

// Progress iterates over the progress of all runs.
func (t *Tracker) Progress() iter.Seq[Progress] {
	return func(yield func(Progress) bool) {
		for _, e := range t.runs {
			p := Progress{
				Run: e.Run, Percent: e.percent, PercentAt: e.percentAt, StartedAt: e.startedAt,
				Stopping: e.state != running,
			}
			if !yield(p) {
				return
			}
		}
	}
}

// LastReport returns when the last report was received.
func (t *Tracker) LastReport() time.Time { return t.lastReport }

// stopRetry is how long a run may stay listed after its stop was sent or confirmed; workers
// need up to 50 ms to stop one.
const stopRetry = 100 * time.Millisecond

// Unconfirmed returns the runs that need a stop request, and whether any run is unconfirmed or
// to be stopped. A run needs a stop request if its start or its last stop got no response, if
// it is unwanted and still running, or if it is listed stopRetry after its last stop.
func (t *Tracker) Unconfirmed(now time.Time) (stops []Run, more bool) {
	for _, e := range t.runs {
		if !e.needsAttention() {
			continue
		}
		more = true
		if e.state != stopping || now.Sub(e.stateSetAt) > stopRetry {
			stops = append(stops, e.Run)
		}
	}
	return stops, more
}

// HasUnconfirmed reports whether any run is unconfirmed or to be stopped.
func (t *Tracker) HasUnconfirmed() bool {
	for _, e := range t.runs {
		if e.needsAttention() {
			return true
		}
	}
	return false
}

func (e *trackedRun) needsAttention() bool {
	return e.state == unconfirmed || e.state == stopping || e.unwanted && e.state == running
}

// StoppingCount returns the number of runs that are being stopped.
func (t *Tracker) StoppingCount() int {
	n := 0
	for _, e := range t.runs {
		if e.state == stopping {
			n++
		}
	}
	return n
}

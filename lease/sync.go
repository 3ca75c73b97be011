package lease

import (
	"slices"
	"time"
)

// ApplyReport takes a worker's report on a hold that was sent at sentAt, and returns
// the ends of runs that the book held.
func (b *Tracker) ApplyReport(h Renewal, r Report, sentAt, now time.Time) []EndedRun {
	var over []EndedRun
	if r.Incarnation != 0 && b.born != 0 && r.Incarnation != b.born {
		b.reborn(r.Clock, now)
	}
	if r.Incarnation != 0 {
		b.born = r.Incarnation
	}
	b.acked = max(b.acked, h.LastEndSeen)
	overtaken := r.Clock < b.syncedClock
	fresh := r.Clock > b.syncedClock
	if !overtaken {
		b.RecordResponse(r.Clock, now)
		b.syncedClock, b.syncedAt = r.Clock, now
	}

	for _, e := range r.Ended {
		if e.Sequence <= b.seen {
			continue
		}
		b.seen = e.Sequence
		if held := b.find(e.Task, e.Run); held != nil {
			b.remove(held)
			over = append(over, e)
		}
	}
	if overtaken {
		return over // what runs is known better by now
	}
	b.progress(r.Active, fresh, now)
	return append(over, b.missing(r, sentAt)...)
}

// RecordResponse notes an answer with the worker's clock.
func (b *Tracker) RecordResponse(clock int64, now time.Time) {
	b.Clock.Set(clock, now)
	b.heardAt = now
}

// LastResponse returns when the worker last answered.
func (b *Tracker) LastResponse() time.Time { return b.heardAt }

func (b *Tracker) abandon() []EndedRun {
	var over []EndedRun
	for _, e := range b.runs {
		over = append(over, EndedRun{Task: e.Task, Run: e.Number, Reason: Lost})
		b.remove(e)
	}
	return over
}

// progress notes how far the runs are, and enters those of earlier homes if the
// report is newer than all others.
func (b *Tracker) progress(active []Active, fresh bool, now time.Time) {
	for _, a := range active {
		e := b.runs[a.Task]
		switch {
		case e == nil && !fresh:
		case e == nil:
			b.runs[a.Task] = &entry{Run: Run{Task: a.Task, Number: a.Run}, state: foreign, unsized: true, settledAt: now, startedAt: now}
			b.unsized++
			b.until = max(b.until, b.Clock.At(now)+b.maxLease.Milliseconds())
		case e.Number == a.Run:
			e.advance(a.Percent, now)
		}
	}
}

// advance notes that a run is there. One whose start got no answer is running
// after all.
func (e *entry) advance(percent int, now time.Time) {
	if e.state == unknown {
		e.state, e.settledAt = running, now
	}
	if percent > e.percent {
		e.percent, e.percentAt = percent, now
	}
}

// missing returns the runs that the worker should know and does not: one that
// was settled before the hold was sent, or whose unanswered start came too
// late to be carried out still.
func (b *Tracker) missing(r Report, sentAt time.Time) []EndedRun {
	var over []EndedRun
	for _, e := range b.runs {
		listed := slices.ContainsFunc(r.Active, func(a Active) bool { return a.Task == e.Task && a.Run == e.Number })
		if listed {
			continue
		}
		settled := e.state != ordered && e.state != unknown && e.settledAt.Before(sentAt)
		expired := e.state == unknown && r.Clock > e.until
		if settled || expired {
			over = append(over, EndedRun{Task: e.Task, Run: e.Number, Reason: Lost})
			b.remove(e)
		}
	}
	return over
}

// ExpireRuns ends all runs of a worker that can't be reached, once every lease that
// was ever ordered is over on its clock.
func (b *Tracker) ExpireRuns(now time.Time) []EndedRun {
	if len(b.runs) == 0 || !b.Clock.Known() || now.Before(b.ExpiresAt()) {
		return nil
	}
	return b.abandon()
}

// ExpiresAt returns when every lease that was ordered is over.
func (b *Tracker) ExpiresAt() time.Time { return b.Clock.PassedAt(b.until).Add(lapseMargin) }

// EndAll ends all runs of a worker whose process is proven to be gone.
func (b *Tracker) EndAll() []EndedRun {
	clear(b.late)
	b.seen, b.acked, b.until, b.born, b.syncedClock = 0, 0, 0, 0, 0
	b.Clock = Clock{}
	return b.abandon()
}

// Progress tells how far a run is and since when it is known to be there.
type Progress struct {
	Run
	Percent   int
	PercentAt time.Time // when Percent last rose
	StartedAt time.Time
	Stopping  bool
}

// Progress lists how far the runs are.
func (b *Tracker) Progress() []Progress {
	var list []Progress
	for _, e := range b.runs {
		list = append(list, Progress{
			Run: e.Run, Percent: e.percent, PercentAt: e.percentAt, StartedAt: e.startedAt,
			Stopping: e.state != running,
		})
	}
	return list
}

// LastReport returns when the last report was taken.
func (b *Tracker) LastReport() time.Time { return b.syncedAt }

// stopRetry is how long a run may stay listed after its stop was answered;
// workers take 50 ms at most.
const stopRetry = 100 * time.Millisecond

// Unconfirmed returns the runs that need a stop, since their start or their last
// stop got no answer, and whether any run is in doubt or to be stopped.
func (b *Tracker) Unconfirmed(now time.Time) (stops []Run, more bool) {
	for _, e := range b.runs {
		if !e.unsettled() {
			continue
		}
		more = true
		if e.state != stopping || now.Sub(e.settledAt) > stopRetry {
			stops = append(stops, e.Run)
		}
	}
	return stops, more
}

// HasUnconfirmed reports whether any run is in doubt or to be stopped.
func (b *Tracker) HasUnconfirmed() bool {
	for _, e := range b.runs {
		if e.unsettled() {
			return true
		}
	}
	return false
}

func (e *entry) unsettled() bool {
	return e.state == unknown || e.state == stopping || e.unwanted && e.state == running
}

// StoppingCount returns the number of runs that were told to stop.
func (b *Tracker) StoppingCount() int {
	n := 0
	for _, e := range b.runs {
		if e.state == stopping {
			n++
		}
	}
	return n
}

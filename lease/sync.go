package lease

import (
	"slices"
	"time"
)

// Sync takes a worker's report on a hold that was sent at sentAt, and returns
// the ends of runs that the book held.
func (b *Book) Sync(h Hold, r Report, sentAt, now time.Time) []End {
	var over []End
	if r.Born != 0 && b.born != 0 && r.Born != b.born {
		b.reborn(r.Clock, now)
	}
	if r.Born != 0 {
		b.born = r.Born
	}
	b.acked = max(b.acked, h.Seen)
	overtaken := r.Clock < b.syncedClock
	fresh := r.Clock > b.syncedClock
	if !overtaken {
		b.Heard(r.Clock, now)
		b.syncedClock, b.syncedAt = r.Clock, now
	}

	for _, e := range r.Ended {
		if e.Number <= b.seen {
			continue
		}
		b.seen = e.Number
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

// Heard notes an answer with the worker's clock.
func (b *Book) Heard(clock int64, now time.Time) {
	b.Clock.Set(clock, now)
	b.heardAt = now
}

// HeardAt returns when the worker last answered.
func (b *Book) HeardAt() time.Time { return b.heardAt }

func (b *Book) abandon() []End {
	var over []End
	for _, e := range b.runs {
		over = append(over, End{Task: e.Task, Run: e.Run, How: Lost})
		b.remove(e)
	}
	return over
}

// progress notes how far the runs are, and enters those of earlier homes if the
// report is newer than all others.
func (b *Book) progress(active []Active, fresh bool, now time.Time) {
	for _, a := range active {
		e := b.runs[a.Task]
		switch {
		case e == nil && !fresh:
		case e == nil:
			b.runs[a.Task] = &entry{Held: Held{Task: a.Task, Run: a.Run}, state: foreign, unsized: true, settledAt: now, startedAt: now}
			b.unsized++
			b.until = max(b.until, b.Clock.At(now)+b.maxLease.Milliseconds())
		case e.Run == a.Run:
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
func (b *Book) missing(r Report, sentAt time.Time) []End {
	var over []End
	for _, e := range b.runs {
		listed := slices.ContainsFunc(r.Active, func(a Active) bool { return a.Task == e.Task && a.Run == e.Run })
		if listed {
			continue
		}
		settled := e.state != ordered && e.state != unknown && e.settledAt.Before(sentAt)
		expired := e.state == unknown && r.Clock > e.until
		if settled || expired {
			over = append(over, End{Task: e.Task, Run: e.Run, How: Lost})
			b.remove(e)
		}
	}
	return over
}

// Lapse ends all runs of a worker that can't be reached, once every lease that
// was ever ordered is over on its clock.
func (b *Book) Lapse(now time.Time) []End {
	if len(b.runs) == 0 || !b.Clock.Known() || now.Before(b.LapsesAt()) {
		return nil
	}
	return b.abandon()
}

// LapsesAt returns when every lease that was ordered is over.
func (b *Book) LapsesAt() time.Time { return b.Clock.Passes(b.until).Add(lapseMargin) }

// Crashed ends all runs of a worker whose process is proven to be gone.
func (b *Book) Crashed() []End {
	clear(b.late)
	b.seen, b.acked, b.until, b.born, b.syncedClock = 0, 0, 0, 0, 0
	b.Clock = Clock{}
	return b.abandon()
}

// Progress tells how far a run is and since when it is known to be there.
type Progress struct {
	Held
	Percent   int
	PercentAt time.Time // when Percent last rose
	StartedAt time.Time
	Stopping  bool
}

// Progress lists how far the runs are.
func (b *Book) Progress() []Progress {
	var list []Progress
	for _, e := range b.runs {
		list = append(list, Progress{
			Held: e.Held, Percent: e.percent, PercentAt: e.percentAt, StartedAt: e.startedAt,
			Stopping: e.state != running,
		})
	}
	return list
}

// SyncedAt returns when the last report was taken.
func (b *Book) SyncedAt() time.Time { return b.syncedAt }

// stopRetry is how long a run may stay listed after its stop was answered;
// workers take 50 ms at most.
const stopRetry = 100 * time.Millisecond

// Unsettled returns the runs that need a stop, since their start or their last
// stop got no answer, and whether any run is in doubt or to be stopped.
func (b *Book) Unsettled(now time.Time) (stops []Held, more bool) {
	for _, e := range b.runs {
		if !e.unsettled() {
			continue
		}
		more = true
		if e.state != stopping || now.Sub(e.settledAt) > stopRetry {
			stops = append(stops, e.Held)
		}
	}
	return stops, more
}

// Doubtful reports whether any run is in doubt or to be stopped.
func (b *Book) Doubtful() bool {
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

// Stopping returns the number of runs that were told to stop.
func (b *Book) Stopping() int {
	n := 0
	for _, e := range b.runs {
		if e.state == stopping {
			n++
		}
	}
	return n
}

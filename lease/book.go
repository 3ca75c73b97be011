package lease

import (
	"time"

	"foxtailmux/model"
)

// lapseMargin covers the time a worker takes to kill what its lease no longer
// covers, and the delay of timers.
const lapseMargin = 100 * time.Millisecond

// state is what is known of a run.
type state int

const (
	ordered  state = iota // the start was sent and not answered
	running               // the start was answered
	unknown               // the start got no answer
	stopping              // its stop was answered
	foreign               // an earlier home started it
)

// entry is one run in the book.
type entry struct {
	Run
	state     state
	until     int64     // lease of the start, on the worker's clock
	settledAt time.Time // when the start or stop was answered
	percent   int
	percentAt time.Time
	startedAt time.Time
	unsized   bool // its needs are not known
	unwanted  bool // it is to be stopped, also if a report lists it
}

// Tracker holds the runs on one worker. What is not proven to be over claims its
// needs. It is not safe for concurrent use.
type Tracker struct {
	Clock Clock

	capacity model.Resources
	maxLease time.Duration
	runs     map[string]*entry // by task
	late     map[string]late   // starts without an answer, by task
	used     model.Resources
	unsized  int // runs whose needs are not known

	seen    int64 // number of the last end that was processed
	acked   int64 // number of the last end that the worker may forget
	born    int64
	until   int64     // latest end of a lease in any order sent
	heardAt time.Time // last answer

	syncedAt    time.Time // last report
	syncedClock int64     // worker's clock in it
}

// NewTracker returns the book of a worker with that capacity, whose leases last
// maxLease at most.
func NewTracker(capacity model.Resources, maxLease time.Duration) *Tracker {
	return &Tracker{capacity: capacity, maxLease: maxLease, runs: map[string]*entry{}, late: map[string]late{}}
}

// SetCapacity takes what the worker says of its capacity.
func (b *Tracker) SetCapacity(capacity model.Resources) { b.capacity = capacity }

// GrantLease returns the end of a lease for an order that is sent now.
func (b *Tracker) GrantLease(now time.Time) int64 {
	until := b.Clock.At(now) + b.maxLease.Milliseconds()
	b.until = max(b.until, until)
	return until
}

// LastEndSeen returns the number of the last end that was processed.
func (b *Tracker) LastEndSeen() int64 { return b.seen }

// HasUnackedEnds reports whether the worker lists ends that it could forget.
func (b *Tracker) HasUnackedEnds() bool { return b.seen > b.acked }

// Len returns the number of runs that are not proven to be over.
func (b *Tracker) Len() int { return len(b.runs) }

// Free returns what no run claims. A foreign run claims all, since its needs
// are not known.
func (b *Tracker) Free() model.Resources {
	if b.unsized > 0 {
		return model.Resources{}
	}
	return b.capacity.Minus(b.used)
}

// Capacity returns what the worker has.
func (b *Tracker) Capacity() model.Resources { return b.capacity }

// Has reports whether a run of the task may be on the worker.
func (b *Tracker) Has(task string) bool { return b.runs[task] != nil }

// RecordStart enters a start that is about to be sent.
func (b *Tracker) RecordStart(h Run, until int64, now time.Time) {
	b.runs[h.Task] = &entry{Run: h, state: ordered, until: until, startedAt: now, percentAt: now}
	b.used = b.used.Plus(h.Needs)
}

// ConfirmStart notes that a start was carried out. It reports false for a run that
// the book no longer holds.
func (b *Tracker) ConfirmStart(task string, run int64, now time.Time) bool {
	e := b.find(task, run)
	if e == nil {
		return false
	}
	e.state, e.settledAt = running, now
	return true
}

// RecordResend notes that a start without an answer is sent again, and returns the end
// of its lease. The number of the run stays, so that the worker carries out one of
// the two.
func (b *Tracker) RecordResend(task string, run int64, now time.Time) (until int64, ok bool) {
	e := b.find(task, run)
	if e == nil || e.state != ordered {
		return 0, false
	}
	b.unanswered(e.Run, now)
	e.until = b.GrantLease(now)
	return e.until, true
}

// MarkUnconfirmed notes that a start or a stop got no answer.
func (b *Tracker) MarkUnconfirmed(task string, run int64, now time.Time) {
	e := b.find(task, run)
	if e == nil || e.state == stopping {
		return
	}
	if e.state == ordered {
		b.unanswered(e.Run, now)
	}
	e.state = unknown
}

// MarkUnwanted notes that a run is to be stopped, whatever a report says of it.
func (b *Tracker) MarkUnwanted(task string, run int64) {
	if e := b.find(task, run); e != nil {
		e.unwanted = true
	}
}

// MarkStopping notes that a stop was answered: the run ends soon, or never starts.
func (b *Tracker) MarkStopping(task string, run int64, now time.Time) {
	if e := b.find(task, run); e != nil {
		e.state, e.settledAt = stopping, now
	}
}

// Remove removes a run that is proven not to run.
func (b *Tracker) Remove(task string, run int64) {
	if e := b.find(task, run); e != nil {
		b.remove(e)
	}
}

// Adopt gives a foreign run its needs, as the home that continues its job
// knows them.
func (b *Tracker) Adopt(task string, needs model.Resources, now time.Time) (run int64, ok bool) {
	e := b.runs[task]
	if e == nil || e.state != foreign {
		return 0, false
	}
	b.unsized--
	e.unsized = false
	e.state, e.Needs, e.settledAt = running, needs, now
	b.used = b.used.Plus(needs)
	return e.Number, true
}

// Inherited lists the runs that an earlier home started and nobody claimed.
func (b *Tracker) Inherited() []Run {
	var list []Run
	for _, e := range b.runs {
		if e.state == foreign {
			list = append(list, e.Run)
		}
	}
	return list
}

// Runs lists all runs of the book.
func (b *Tracker) Runs() []Run {
	list := make([]Run, 0, len(b.runs))
	for _, e := range b.runs {
		list = append(list, e.Run)
	}
	return list
}

func (b *Tracker) find(task string, run int64) *entry {
	if e := b.runs[task]; e != nil && e.Number == run {
		return e
	}
	return nil
}

func (b *Tracker) remove(e *entry) {
	delete(b.runs, e.Task)
	if e.unsized {
		b.unsized--
		return
	}
	b.used = b.used.Minus(e.Needs)
}

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
	Held
	state     state
	until     int64     // lease of the start, on the worker's clock
	settledAt time.Time // when the start or stop was answered
	percent   int
	percentAt time.Time
	startedAt time.Time
	unsized   bool // its needs are not known
	unwanted  bool // it is to be stopped, also if a report lists it
}

// Book holds the runs on one worker. What is not proven to be over claims its
// needs. It is not safe for concurrent use.
type Book struct {
	Clock Clock

	capacity model.Needs
	maxLease time.Duration
	runs     map[string]*entry // by task
	late     map[string]late   // starts without an answer, by task
	used     model.Needs
	unsized  int // runs whose needs are not known

	seen    int64 // number of the last end that was processed
	acked   int64 // number of the last end that the worker may forget
	born    int64
	until   int64     // latest end of a lease in any order sent
	heardAt time.Time // last answer

	syncedAt    time.Time // last report
	syncedClock int64     // worker's clock in it
}

// NewBook returns the book of a worker with that capacity, whose leases last
// maxLease at most.
func NewBook(capacity model.Needs, maxLease time.Duration) *Book {
	return &Book{capacity: capacity, maxLease: maxLease, runs: map[string]*entry{}, late: map[string]late{}}
}

// SetCapacity takes what the worker says of its capacity.
func (b *Book) SetCapacity(capacity model.Needs) { b.capacity = capacity }

// Until returns the end of a lease for an order that is sent now.
func (b *Book) Until(now time.Time) int64 {
	until := b.Clock.At(now) + b.maxLease.Milliseconds()
	b.until = max(b.until, until)
	return until
}

// Seen returns the number of the last end that was processed.
func (b *Book) Seen() int64 { return b.seen }

// Unacked reports whether the worker lists ends that it could forget.
func (b *Book) Unacked() bool { return b.seen > b.acked }

// Len returns the number of runs that are not proven to be over.
func (b *Book) Len() int { return len(b.runs) }

// Free returns what no run claims. A foreign run claims all, since its needs
// are not known.
func (b *Book) Free() model.Needs {
	if b.unsized > 0 {
		return model.Needs{}
	}
	return b.capacity.Minus(b.used)
}

// Capacity returns what the worker has.
func (b *Book) Capacity() model.Needs { return b.capacity }

// Holds reports whether a run of the task may be on the worker.
func (b *Book) Holds(task string) bool { return b.runs[task] != nil }

// Order enters a start that is about to be sent.
func (b *Book) Order(h Held, until int64, now time.Time) {
	b.runs[h.Task] = &entry{Held: h, state: ordered, until: until, startedAt: now, percentAt: now}
	b.used = b.used.Plus(h.Needs)
}

// Confirm notes that a start was carried out. It reports false for a run that
// the book no longer holds.
func (b *Book) Confirm(task string, run int64, now time.Time) bool {
	e := b.find(task, run)
	if e == nil {
		return false
	}
	e.state, e.settledAt = running, now
	return true
}

// Repeat notes that a start without an answer is sent again, and returns the end
// of its lease. The number of the run stays, so that the worker carries out one of
// the two.
func (b *Book) Repeat(task string, run int64, now time.Time) (until int64, ok bool) {
	e := b.find(task, run)
	if e == nil || e.state != ordered {
		return 0, false
	}
	b.unanswered(e.Held, now)
	e.until = b.Until(now)
	return e.until, true
}

// Doubt notes that a start or a stop got no answer.
func (b *Book) Doubt(task string, run int64, now time.Time) {
	e := b.find(task, run)
	if e == nil || e.state == stopping {
		return
	}
	if e.state == ordered {
		b.unanswered(e.Held, now)
	}
	e.state = unknown
}

// Unwant notes that a run is to be stopped, whatever a report says of it.
func (b *Book) Unwant(task string, run int64) {
	if e := b.find(task, run); e != nil {
		e.unwanted = true
	}
}

// Halt notes that a stop was answered: the run ends soon, or never starts.
func (b *Book) Halt(task string, run int64, now time.Time) {
	if e := b.find(task, run); e != nil {
		e.state, e.settledAt = stopping, now
	}
}

// Drop removes a run that is proven not to run.
func (b *Book) Drop(task string, run int64) {
	if e := b.find(task, run); e != nil {
		b.remove(e)
	}
}

// Claim gives a foreign run its needs, as the home that continues its job
// knows them.
func (b *Book) Claim(task string, needs model.Needs, now time.Time) (run int64, ok bool) {
	e := b.runs[task]
	if e == nil || e.state != foreign {
		return 0, false
	}
	b.unsized--
	e.unsized = false
	e.state, e.Needs, e.settledAt = running, needs, now
	b.used = b.used.Plus(needs)
	return e.Run, true
}

// Foreign lists the runs that an earlier home started and nobody claimed.
func (b *Book) Foreign() []Held {
	var list []Held
	for _, e := range b.runs {
		if e.state == foreign {
			list = append(list, e.Held)
		}
	}
	return list
}

// Held lists all runs of the book.
func (b *Book) Held() []Held {
	list := make([]Held, 0, len(b.runs))
	for _, e := range b.runs {
		list = append(list, e.Held)
	}
	return list
}

func (b *Book) find(task string, run int64) *entry {
	if e := b.runs[task]; e != nil && e.Run == run {
		return e
	}
	return nil
}

func (b *Book) remove(e *entry) {
	delete(b.runs, e.Task)
	if e.unsized {
		b.unsized--
		return
	}
	b.used = b.used.Minus(e.Needs)
}

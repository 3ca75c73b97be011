package lease

import "time"

// lateOrders is how much later a worker may carry out an order that it left
// unanswered, by the users' pages.
const lateOrders = 12 * time.Second

// late is a start without an answer, which may still be carried out. The life of
// the worker that it was sent to refuses it when a start of the same run was
// carried out, or its stop; a later life at the address knows of neither.
type late struct {
	Run
	at time.Time
}

// unanswered remembers a start without an answer for as long as it may still be
// carried out.
func (b *Tracker) unanswered(h Run, now time.Time) {
	b.forgetLate(now)
	b.late[h.Task] = late{Run: h, at: now}
}

func (b *Tracker) forgetLate(now time.Time) {
	for task, l := range b.late {
		if now.Sub(l.at) > lateOrders {
			delete(b.late, task)
		}
	}
}

// reborn takes in that the worker began a new life, whose clock and ends start
// anew. What it should run by the report and does not is missing like any other
// run. A start without an answer may reach the new life still, with a lease by
// the clock of the old one, so each of them is in doubt again until the new life
// confirmed its stop.
func (b *Tracker) reborn(clock int64, now time.Time) {
	b.seen, b.acked, b.until, b.syncedClock = 0, 0, 0, 0
	b.forgetLate(now)
	for task, l := range b.late {
		if b.runs[task] == nil {
			b.RecordStart(l.Run, 0, now)
			b.runs[task].unwanted = true
		}
		if e := b.runs[task]; e.Number == l.Number {
			e.state = unknown
		}
	}
	for _, e := range b.runs {
		if e.state == ordered || e.state == unknown {
			e.until = clock + (lateOrders + b.maxLease).Milliseconds()
			b.until = max(b.until, e.until)
		}
	}
}

// Package share decides which jobs give way while the workers of a service have too little
// capacity. It divides the capacity over the queues of the service, so that the jobs of a queue that
// has more than the others give way to theirs, and orders queues within their shares by priority. Its functions
// neither block nor do I/O. Work is in core-seconds, capacity in cores.
package share

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// noticeTime is the time constant of the offered work by which a shortage is noticed. It is
	// about the objective of common jobs, so that a burst is noticed before its queue is longer.
	noticeTime = 400 * time.Millisecond

	// memoryTime is the time constant of the work by which queues are compared: one that got less
	// than its share in the last seconds goes before one that got more.
	memoryTime = 2 * time.Second

	// idleWork is the offered work, in core-seconds over memoryTime, below which a queue counts as
	// idle and is forgotten. The smallest task needs more.
	idleWork = 1e-3

	// initialUsable is the share of the capacity that tasks are expected to use before it was
	// measured: they leave gaps on their workers that are too small for a further one.
	initialUsable = 0.85

	// usableWeight is the weight of a new measurement of that share. Home measures it every 60 ms,
	// so that it follows changes of the mix within about a second.
	usableWeight = 0.05
)

// Class orders the waiting jobs of a service while its capacity is short.
type Class int

// Classes, those that go first at the top. Begun: some tasks have started, so that their work
// would be wasted. Entitled: the queue has not used its share. Yielding: it has.
const (
	Begun Class = iota
	Entitled
	Yielding
)

// Rank is the place of a waiting job among those of its service. It is the zero Rank for all jobs
// while the capacity suffices.
type Rank struct {
	Class    Class
	Priority int // as configured for the queue, 0 comes first
}

// Compare orders ranks: by class, then by priority.
func Compare(a, b Rank) int {
	return cmp.Or(cmp.Compare(a.Class, b.Class), cmp.Compare(a.Priority, b.Priority))
}

// decaying is an amount that decays exponentially.
type decaying struct {
	amount float64
	at     time.Time
}

// value returns the amount left at a time, with the time constant of the decay.
func (d *decaying) value(now time.Time, constant time.Duration) float64 {
	if d.amount == 0 {
		return 0
	}
	return d.amount * math.Exp(-max(now.Sub(d.at), 0).Seconds()/constant.Seconds())
}

func (d *decaying) add(amount float64, now time.Time, constant time.Duration) {
	d.amount, d.at = d.value(now, constant)+amount, now
}

// queue is the work of one queue over memoryTime.
type queue struct {
	offered, begun decaying
	yields         bool
}

// Ledger records the work that the queues of a service offer and that is begun for them. It holds
// one entry for each queue with jobs in the last seconds. The zero value is ready to use; it is not
// safe for concurrent use.
type Ledger struct {
	queues   map[string]*queue
	offered  decaying // by all queues, over noticeTime
	capacity float64
	usable   float64 // share of the capacity that is in use while jobs wait
	level    float64 // greatest share of a queue
	short    bool
}

// Offer records the work of a new job of a queue, whether it will be accepted or not.
func (l *Ledger) Offer(name string, work float64, now time.Time) {
	l.queue(name).offered.add(work, now, memoryTime)
	l.offered.add(work, now, noticeTime)
}

// Begin records work of a queue that begins.
func (l *Ledger) Begin(name string, work float64, now time.Time) {
	l.queue(name).begun.add(work, now, memoryTime)
}

func (l *Ledger) queue(name string) *queue {
	q := l.queues[name]
	if q == nil {
		if l.queues == nil {
			l.queues = map[string]*queue{}
		}
		q = &queue{}
		l.queues[name] = q
	}
	return q
}

// Observe records the capacity and its free part, in cores, and whether jobs wait for it, and divides
// the capacity anew. The capacity is short while several queues together offer more work than the
// workers can begin.
func (l *Ledger) Observe(capacity, free float64, waiting bool, now time.Time) {
	l.capacity = capacity
	if l.usable == 0 {
		l.usable = initialUsable
	}
	if waiting && capacity > 0 {
		l.usable += usableWeight * ((capacity-free)/capacity - l.usable)
	}

	demands := make([]float64, 0, len(l.queues))
	for name, q := range l.queues {
		demand := q.offered.value(now, memoryTime)
		if demand < idleWork {
			delete(l.queues, name)
			continue
		}
		demands = append(demands, demand)
	}
	usable := l.capacity * l.usable
	l.short = len(demands) > 1 && l.offered.value(now, noticeTime) > usable*noticeTime.Seconds()
	l.level = divide(usable*memoryTime.Seconds(), demands)
	for _, q := range l.queues {
		q.yields = q.begun.value(now, memoryTime) > l.level
	}
}

// divide divides an amount over demands so that the least share is as large as it can be, and returns
// the greatest share: a smaller demand is met, and the others get that much. It sorts demands.
func divide(amount float64, demands []float64) float64 {
	slices.Sort(demands)
	for i, d := range demands {
		if level := amount / float64(len(demands)-i); d >= level {
			return level
		}
		amount -= d
	}
	return math.Inf(1)
}

// IsShort reports whether the capacity was short at the last call of Observe.
func (l *Ledger) IsShort() bool { return l.short }

// Rank returns the rank of a waiting job. Used for bursts of one queue: by least slack alone, its
// jobs would pass those of the other queues as soon as they have waited longer, and all queues
// would be late.
func (l *Ledger) Rank(name string, priority int, begun bool) Rank {
	if !l.short {
		return Rank{}
	}
	r := Rank{Class: Entitled, Priority: priority}
	if q := l.queues[name]; q != nil && q.yields {
		r.Class = Yielding
	}
	if begun {
		r = Rank{Class: Begun}
	}
	return r
}

// State is the state dump of a ledger. Capacity is in cores.
type State struct {
	Short    bool                  `json:"short"`
	Capacity float64               `json:"capacity"`
	Usable   float64               `json:"usable"` // share of Capacity that tasks can use
	Queues   map[string]QueueState `json:"queues"`
}

// QueueState is the state dump of a queue: the work that it offered and that was begun for it, in
// cores on average over the last seconds, and whether its jobs give way while the capacity is short.
type QueueState struct {
	Offered float64 `json:"offered"`
	Begun   float64 `json:"begun"`
	Yields  bool    `json:"yields"`
}

// State returns the state dump.
func (l *Ledger) State(now time.Time) State {
	s := State{Short: l.short, Capacity: l.capacity, Usable: l.usable, Queues: map[string]QueueState{}}
	for name, q := range l.queues {
		s.Queues[name] = QueueState{
			Offered: q.offered.value(now, memoryTime) / memoryTime.Seconds(),
			Begun:   q.begun.value(now, memoryTime) / memoryTime.Seconds(),
			Yields:  q.yields,
		}
	}
	return s
}

package home

import (
	"time"

	"foxtailmux/plan"
	"foxtailmux/share"
)

// millisPerCore is the number of thousandths of a core in a core.
const millisPerCore = 1000

// ledger returns the ledger of a service, nil if the home divides no capacity.
func (h *Home) ledger(service string) *share.Ledger {
	if !h.options.Shares {
		return nil
	}
	l := h.ledgers[service]
	if l == nil {
		l = &share.Ledger{}
		h.ledgers[service] = l
	}
	return l
}

// taskWork returns the expected work of a task of a step in core-seconds.
func (j *job) taskWork(step int) float64 {
	return float64(j.batch.Steps[step].Needs.TotalMilliCores()) / millisPerCore * j.estimates[step].Seconds()
}

// recordOffer records a new job for the division of the capacity. A job that an earlier home has had
// or that comes again as a whole was offered before.
func (h *Home) recordOffer(j *job, s Submission, now time.Time) {
	l := h.ledger(j.route.Service)
	if l == nil || s.Resumed || s.Whole && s.NoRedirect {
		return
	}
	work := 0.0
	for i := range j.tasks {
		work += j.taskWork(j.tasks[i].step)
	}
	l.Offer(j.route.Name, work, now)
}

// recordBegin records the start of a task for the division of the capacity.
func (h *Home) recordBegin(j *job, step int, now time.Time) {
	if l := h.ledger(j.route.Service); l != nil {
		l.Begin(j.route.Name, j.taskWork(step), now)
	}
}

// waitingJob describes a job for the ordering of waiting jobs, with its rank.
func (h *Home) waitingJob(j *job) plan.WaitingJob {
	w := j.asWaiting()
	if l := h.ledger(j.route.Service); l != nil {
		w.Rank = l.Rank(j.route.Name, j.route.Priority, j.started)
	}
	return w
}

// divideCapacity divides the capacity of each service over its queues.
func (h *Home) divideCapacity(now time.Time) {
	if len(h.ledgers) == 0 {
		return
	}
	capacity, free, waiting := map[string]float64{}, map[string]float64{}, map[string]bool{}
	for _, w := range h.workers {
		if w.canStart(now) {
			capacity[w.info.Pool] += float64(w.tracker.Capacity().TotalMilliCores()) / millisPerCore
			free[w.info.Pool] += float64(w.tracker.Free().TotalMilliCores()) / millisPerCore
		}
	}
	for j := range h.waiting {
		waiting[j.route.Service] = true
	}
	for service, l := range h.ledgers {
		before := l.IsShort()
		l.Observe(capacity[service], free[service], waiting[service], now)
		if l.IsShort() != before {
			h.options.Log.Info().Str("home", h.options.DataCentre).Str("service", service).Bool("short", !before).
				Any("shares", l.State(now)).Msg("capacity divided over queues")
		}
	}
}

// shareStates returns the state dump of the ledgers, by service.
func (h *Home) shareStates(now time.Time) map[string]share.State {
	states := make(map[string]share.State, len(h.ledgers))
	for service, l := range h.ledgers {
		states[service] = l.State(now)
	}
	return states
}

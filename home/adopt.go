package home

import (
	"time"

	"foxtailmux/lease"
)

// takeoverWait is how long after its start a home holds back jobs that an
// earlier home may have begun, while workers have not told what they run: the
// leases of the earlier home are over then.
const takeoverMargin = 250 * time.Millisecond

// listed reports whether no worker can run a task of an earlier home unseen.
func (h *Home) listed(now time.Time) bool {
	if now.Sub(h.began) > h.options.MaxLease+takeoverMargin {
		return true
	}
	if h.partial {
		return false
	}
	for _, u := range h.units {
		if !u.listed {
			return false
		}
	}
	return len(h.units) > 0
}

// adopt takes over the runs and ends of a job that an earlier home left.
func (h *Home) adopt(j *job, now time.Time) {
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.state != taskWaiting {
			continue
		}
		if end, ok := h.orphans[t.name]; ok && end.Reason == lease.Done {
			j.setDone(t)
			j.started = true
			continue
		}
		for _, u := range h.units {
			run, ok := u.book.Adopt(t.name, j.batch.Steps[t.step].Needs, now)
			if !ok {
				continue
			}
			t.state, t.unit, t.run, t.startAt, t.held = taskRunning, u, run, now, false
			u.owners[t.name] = owner{job: j, task: t}
			j.started = true
			u.wakeUp()
			h.options.Log.Info().Str("job", j.batch.ID).Str("task", t.name).Str("worker", u.worker.ID).
				Int64("run", run).Msg("run taken over")
			break
		}
	}
}

// adoptAll looks for runs of the jobs that wait, after a worker told what it
// runs.
func (h *Home) adoptAll(now time.Time) {
	for j := range h.waiting {
		h.adopt(j, now)
		if h.complete(j) {
			h.finish(j, Outcome{Result: Succeeded})
		}
	}
}

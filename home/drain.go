package home

import (
	"time"

	"foxtailmux/drain"
)

// drained returns the operator's request to drain the data centre, and false if there is none.
func (h *Home) drained() (drain.Request, bool) {
	if h.options.Drained == nil {
		return drain.Request{}, false
	}
	return h.options.Drained()
}

// isDrained reports whether no new job may start in the data centre.
func (h *Home) isDrained() bool {
	_, ok := h.drained()
	return ok
}

// ReviewDrain acts on a change of Options.Drained at once: waiting jobs are handed back, or start
// again.
func (h *Home) ReviewDrain() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.dispatchedAt = time.Time{}
	h.dispatch(time.Now())
}

// handBack ends the waiting jobs of a drained data centre that go elsewhere, with the tasks that are
// done. It reports whether the tasks of the others may start. Used for the moment in which a loaded
// data centre is drained: its waiting jobs are not refused while others have capacity.
func (h *Home) handBack(p *pass, now time.Time) (mayStart bool) {
	request, ok := h.drained()
	if !ok {
		return true
	}
	handedBack, kept := 0, 0
	for j := range h.waiting {
		switch request.Decide(drain.Job{Begun: j.started, MayRun: h.mayHaveRun(j, p)}, now) {
		case drain.HandBack:
			h.finish(j, h.withTaskStates(j, p, Outcome{Result: Drained, Reason: drainedReason, Begun: j.started || j.resumed}))
			handedBack++
		case drain.Start:
			mayStart = true
		case drain.Keep:
			kept++
		}
	}
	if handedBack > 0 {
		h.options.Log.Info().Str("home", h.options.DataCentre).Int64("requestVersion", request.Version).
			Int("handedBack", handedBack).Int("kept", kept).Msg("waiting jobs of a drained data centre go elsewhere")
	}
	return mayStart
}

const drainedReason = "the data centre is drained"

// mayHaveRun reports whether a task of a job runs or may run in the data centre.
func (h *Home) mayHaveRun(j *job, p *pass) bool {
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.state == taskRunning || t.state == taskWaiting && h.isHeldBack(t, p) {
			return true
		}
	}
	return false
}

// runCount returns the number of runs on the workers, those that are being stopped included.
func (h *Home) runCount() int {
	n := 0
	for _, w := range h.workers {
		n += w.tracker.Len()
	}
	return n
}

// reportDrained logs when the last run of a drained data centre has ended.
func (h *Home) reportDrained(now time.Time) {
	request, ok := h.drained()
	if !ok {
		h.emptyReported = false
		return
	}
	if h.emptyReported || !h.allRunsKnown(now) || h.runCount() > 0 {
		return
	}
	h.emptyReported = true
	l := h.options.Log.Info().Str("home", h.options.DataCentre).Int64("requestVersion", request.Version)
	if !request.Since.IsZero() {
		l.Int64("tookMillis", now.Sub(request.Since).Milliseconds())
	}
	l.Msg("drained data centre has no run left")
}

// RunCount returns the number of runs on the workers of the data centre.
func (h *Home) RunCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.runCount()
}

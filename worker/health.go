package worker

import "time"

// Health counts the failures of a worker and ejects a worker that keeps failing, so that it
// gets no tasks for some time. It is a circuit breaker: after the ejection a single task
// probes the worker, and its success closes the circuit. The zero value is that of a
// healthy worker.
type Health struct {
	Failures     int // since the last success
	EjectedUntil time.Time
	Backoff      time.Duration // of the last ejection
	probing      bool          // was ejected and has not succeeded since
}

// EjectionRules are the conditions of ejections: a worker is ejected after Failures failures
// in a row, for Backoff at first and twice as long after each failed probe, up to MaxBackoff.
type EjectionRules struct {
	Failures   int
	Backoff    time.Duration
	MaxBackoff time.Duration
}

// AllowedRuns returns how many attempts may run at once: none while the worker is ejected,
// one as a probe after that, else as many as it has slots.
func (h *Health) AllowedRuns(slots int, now time.Time) int {
	if now.Before(h.EjectedUntil) {
		return 0
	}
	if h.probing {
		return 1
	}
	return slots
}

// Ejected reports whether the worker is ejected, so that no task is placed on it.
func (h *Health) Ejected(now time.Time) bool {
	return now.Before(h.EjectedUntil)
}

// RecordSuccess records a successful attempt. It resets the failures and the backoff and ends
// the probing.
func (h *Health) RecordSuccess() {
	*h = Health{}
}

// RecordFailure records a failed attempt and reports whether it ejected the worker. If
// mayEject is false, since too many workers are ejected already, the failure is only counted.
func (h *Health) RecordFailure(r EjectionRules, mayEject bool, now time.Time) bool {
	h.Failures++
	if !mayEject || h.Ejected(now) {
		return false
	}
	if !h.probing && h.Failures < r.Failures {
		return false
	}

	h.Backoff = nextBackoff(h.Backoff, r)
	h.EjectedUntil = now.Add(h.Backoff)
	h.probing = true
	return true
}

// nextBackoff returns the time of the next ejection after one of the given time.
func nextBackoff(last time.Duration, r EjectionRules) time.Duration {
	if last == 0 {
		return r.Backoff
	}
	return min(2*last, r.MaxBackoff)
}

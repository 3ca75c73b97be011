package worker

import "time"

// Health scores the failures of a worker apart from its load.
type Health struct {
	Failures     int
	EjectedUntil time.Time
	Backoff      time.Duration
	probing      bool
}

// EjectionRules bound the ejection of workers that keep failing.
type EjectionRules struct {
	Failures   int
	Backoff    time.Duration
	MaxBackoff time.Duration
}

// AllowedRuns returns how many attempts may run at once: none while ejected, one
// as a probe after that, else the worker's slots.
func (h *Health) AllowedRuns(slots int, now time.Time) int {
	if now.Before(h.EjectedUntil) {
		return 0
	}
	if h.probing {
		return 1
	}
	return slots
}

// Ejected reports whether the worker is out of the placement.
func (h *Health) Ejected(now time.Time) bool {
	return now.Before(h.EjectedUntil)
}

// RecordSuccess records an attempt that ended well.
func (h *Health) RecordSuccess() {
	*h = Health{}
}

// RecordFailure records a failure and reports whether the worker is now ejected.
// With mayEject false it is only counted.
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

func nextBackoff(last time.Duration, r EjectionRules) time.Duration {
	if last == 0 {
		return r.Backoff
	}
	return min(2*last, r.MaxBackoff)
}

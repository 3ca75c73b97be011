package plan

import (
	"slices"
	"time"
)

// HealthState is the state of a worker that decides whether tasks are placed on it.
type HealthState int

// A healthy worker is used, a suspect one only when the healthy ones are full, and an ejected
// one not at all. Ejected covers unresponsive workers and those that report to be unhealthy.
const (
	Healthy HealthState = iota
	Suspect
	Ejected
)

const (
	// ejectAfter is the number of failed runs of different jobs in a row that eject a worker.
	// One run in 500 fails by itself, so that two in a row of a healthy worker are rare.
	ejectAfter = 2

	// slowFactor is the slowdown above which a worker is suspect; declared run times are off by
	// half.
	slowFactor = 2.5

	// slowdownWeight is the weight of a new run in a worker's mean slowdown.
	slowdownWeight = 0.4

	// minEjection is the length of the first ejection. Each further one before a good run lasts
	// twice as long as the one before, up to maxEjection.
	minEjection = time.Second
	maxEjection = 8 * time.Second

	// lossyPeriod is how long a worker counts as lossy after a request without a response that
	// was followed by one with a response.
	lossyPeriod = 2 * time.Second

	// lossyMissLimit is the number of requests in a row without a response after which a lossy
	// worker counts as unresponsive. One series in eight gets so far when half of all requests
	// are lost.
	lossyMissLimit = 3
)

// Health tracks the state of one worker by the outcomes of its runs and requests. Used for
// workers that fail or slow down all their runs while they report to be healthy. The zero value
// is healthy.
type Health struct {
	failedOrSlowJobs   []string // jobs whose runs failed or were slow since the last good run
	ejectedForFailures bool     // because of failedOrSlowJobs
	ignoredRequests    int      // requests in a row that were not carried out
	slowdown           float64  // mean of run time over that expected on this worker, 0 is unknown
	ejectionTime       time.Duration
	ejectedUntil       time.Time
	lossyUntil         time.Time
	missedResponses    int  // requests in a row without a response
	probing            bool // the one run after an ejection is in progress
}

// RecordFailure records that a run of a job failed or is much slower than expected. Several
// runs of one job count once, since the job may be at fault. The worker is ejected after
// failures of ejectAfter jobs without a good run in between.
func (h *Health) RecordFailure(job string, now time.Time) {
	h.probing = false
	if slices.Contains(h.failedOrSlowJobs, job) {
		return
	}
	h.failedOrSlowJobs = append(h.failedOrSlowJobs, job)
	if len(h.failedOrSlowJobs) >= ejectAfter {
		h.eject(now)
		h.ejectedForFailures = true
	}
}

// RetractFailure takes back a recorded failure, since the job does no better on other workers.
// Used for jobs that always fail and jobs that take far longer than declared: they would eject
// one worker after the other.
func (h *Health) RetractFailure(job string) {
	i := slices.Index(h.failedOrSlowJobs, job)
	if i < 0 {
		return
	}
	h.failedOrSlowJobs = slices.Delete(h.failedOrSlowJobs, i, i+1)
	if h.ejectedForFailures && len(h.failedOrSlowJobs) < ejectAfter {
		h.ejectedForFailures, h.ejectionTime, h.ejectedUntil, h.probing = false, 0, time.Time{}, false
	}
}

// RecordCompletion records that a run succeeded after the time run; on this worker it was expected to
// take expected. A worker that is slow for good is no sick one.
func (h *Health) RecordCompletion(run, expected time.Duration) {
	ratio := 1.0
	if expected > 0 {
		ratio = float64(run) / float64(expected)
	}
	h.probing = false
	if ratio <= slowFactor {
		h.failedOrSlowJobs, h.ejectedForFailures, h.ejectionTime = nil, false, 0
	}
	if expected <= 0 {
		return
	}
	if h.slowdown == 0 {
		h.slowdown = ratio
		return
	}
	h.slowdown += slowdownWeight * (ratio - h.slowdown)
}

// RecordStall records that a run made no progress, and ejects the worker.
func (h *Health) RecordStall(now time.Time) {
	h.probing = false
	h.slowdown = max(h.slowdown, 2*slowFactor)
	h.eject(now)
}

// RecordNoResponse records that a request got no response in time.
func (h *Health) RecordNoResponse() { h.missedResponses++ }

// RecordResponse records a response. It reports whether earlier requests had got none.
func (h *Health) RecordResponse(now time.Time) bool {
	recovered := h.missedResponses > 0
	if recovered {
		h.lossyUntil = now.Add(lossyPeriod)
	}
	h.missedResponses = 0
	return recovered
}

// RecordLateResponse records a response that came after its timeout. The worker is neither
// unresponsive nor lossy.
func (h *Health) RecordLateResponse() { h.missedResponses = 0 }

// IsLossy reports whether single requests to the worker get lost. Used for networks and workers
// that leave a share of all requests without a response: such a worker is worth another request
// soon.
func (h *Health) IsLossy(now time.Time) bool { return now.Before(h.lossyUntil) }

// IsUnresponsive reports whether the worker does not respond: after one request without a
// response, or after several in a row on a lossy worker.
func (h *Health) IsUnresponsive(now time.Time) bool {
	return h.missedResponses >= lossyMissLimit || h.missedResponses > 0 && !h.IsLossy(now)
}

// AwaitsResponse reports whether the latest request to the worker got no response. Its state is
// unknown until it responds to a further one.
func (h *Health) AwaitsResponse() bool { return h.missedResponses > 0 }

// RecordIgnoredRequest records that the worker responds, but did not carry out a start, or the
// stop of a run that is being moved. A single request may have been lost on the network, as
// happens with any worker; several in a row are attributed to this worker.
func (h *Health) RecordIgnoredRequest(now time.Time) {
	h.probing = false
	h.ignoredRequests++
	if h.ignoredRequests >= ejectAfter {
		h.eject(now)
	}
}

// RecordAcceptedStart records that the worker carried out a start.
func (h *Health) RecordAcceptedStart() { h.ignoredRequests = 0 }

// RecordUnavailable records that the worker itself refuses work, and ejects it for minEjection.
func (h *Health) RecordUnavailable(now time.Time) { h.ejectedUntil = now.Add(minEjection) }

func (h *Health) eject(now time.Time) {
	h.ejectionTime = min(max(2*h.ejectionTime, minEjection), maxEjection)
	h.ejectedUntil = now.Add(h.ejectionTime)
}

// RecordStart records that a start request is sent. A worker back from an ejection gets one run
// at a time until one succeeds.
func (h *Health) RecordStart() { h.probing = h.ejectionTime > 0 }

// RecordIdle records that no run is left on the worker. The run that was to show whether the worker
// is back may have ended without a result, such as by a cancellation.
func (h *Health) RecordIdle() { h.probing = false }

// State returns whether tasks may be placed on the worker now.
func (h *Health) State(now time.Time) HealthState {
	switch {
	case h.IsUnresponsive(now), now.Before(h.ejectedUntil), h.probing:
		return Ejected
	case len(h.failedOrSlowJobs) > 0, h.ejectionTime > 0, h.slowdown > slowFactor:
		return Suspect
	}
	return Healthy
}

// Slowdown returns the mean ratio of run time to that expected on this worker, 1 if unknown.
func (h *Health) Slowdown() float64 {
	if h.slowdown == 0 {
		return 1
	}
	return h.slowdown
}

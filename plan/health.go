package plan

import (
	"slices"
	"time"
)

// HealthState is how far a worker is used.
type HealthState int

// The degrees of trust: used, used when the others are full, not used.
const (
	Healthy HealthState = iota
	Suspect
	Ejected
)

const (
	// ejectAfter is the number of failed runs of different jobs in a row that
	// eject a worker. One run in 500 fails by itself, so that two in a row of
	// a sound worker are rare.
	ejectAfter = 2

	// slowFactor is how many times slower than expected a worker runs before
	// it is doubted; declared run times are off by half.
	slowFactor = 2.5

	// paceWeight is the weight of a new run in a worker's pace.
	paceWeight = 0.4

	minEjection = time.Second
	maxEjection = 8 * time.Second

	// lossyTime is how long a worker counts as lossy after an order without an
	// answer that was followed by one with an answer.
	lossyTime = 2 * time.Second

	// lossyOrders is the number of orders in a row without an answer after which
	// a lossy worker counts as silent; one in eight comes so far when half of
	// all orders are lost.
	lossyOrders = 3
)

// Health is what the runs on a worker tell of it. It answers workers that fail
// or slow down all that they start while they say that they are well. The zero
// value trusts.
type Health struct {
	blames    []string // jobs whose runs failed or were slow since the last one that ended well
	ejected   bool     // for blames
	ignored   int      // starts in a row that were not carried out
	pace      float64  // run time over the expected one, 0 is not known
	ejection  time.Duration
	avoidTill time.Time
	lossyTill time.Time
	silent    int  // orders in a row without an answer
	probing   bool // one run is out after an ejection
}

// RecordFailure notes that a run of a job failed, or is much slower than expected. The runs
// of one job count once, since the job may be at fault.
func (h *Health) RecordFailure(job string, now time.Time) {
	h.probing = false
	if slices.Contains(h.blames, job) {
		return
	}
	h.blames = append(h.blames, job)
	if len(h.blames) >= ejectAfter {
		h.eject(now)
		h.ejected = true
	}
}

// RetractFailure takes a blame back, since the job does no better on other workers. It
// answers jobs that can never be done and jobs that take far longer than they
// declare: they would eject one worker after the other.
func (h *Health) RetractFailure(job string) {
	i := slices.Index(h.blames, job)
	if i < 0 {
		return
	}
	h.blames = slices.Delete(h.blames, i, i+1)
	if h.ejected && len(h.blames) < ejectAfter {
		h.ejected, h.ejection, h.avoidTill, h.probing = false, 0, time.Time{}, false
	}
}

// RecordCompletion notes that a run ended well, after run in place of expected.
func (h *Health) RecordCompletion(run, expected time.Duration) {
	ratio := 1.0
	if expected > 0 {
		ratio = float64(run) / float64(expected)
	}
	h.probing = false
	if ratio <= slowFactor {
		h.blames, h.ejected, h.ejection = nil, false, 0
	}
	if expected <= 0 {
		return
	}
	if h.pace == 0 {
		h.pace = ratio
		return
	}
	h.pace += paceWeight * (ratio - h.pace)
}

// RecordStall notes that a run stands still.
func (h *Health) RecordStall(now time.Time) {
	h.probing = false
	h.pace = max(h.pace, 2*slowFactor)
	h.eject(now)
}

// RecordNoResponse notes that an order got no answer.
func (h *Health) RecordNoResponse() { h.silent++ }

// RecordResponse notes an answer. It reports whether there was none before.
func (h *Health) RecordResponse(now time.Time) bool {
	again := h.silent > 0
	if again {
		h.lossyTill = now.Add(lossyTime)
	}
	h.silent = 0
	return again
}

// RecordLateResponse notes an answer that came after the time for it. The worker is neither silent nor
// lossy.
func (h *Health) RecordLateResponse() { h.silent = 0 }

// IsLossy reports whether orders to the worker get lost one by one. It answers
// networks and workers that leave a share of all orders unanswered: such a worker
// is worth asking again soon.
func (h *Health) IsLossy(now time.Time) bool { return now.Before(h.lossyTill) }

// IsUnresponsive reports whether the worker does not answer. The first order without an
// answer tells so, except of a lossy worker.
func (h *Health) IsUnresponsive(now time.Time) bool {
	return h.silent >= lossyOrders || h.silent > 0 && !h.IsLossy(now)
}

// RecordIgnoredStart notes that the worker answers, but did not carry out a start. One
// start alone may have been lost on its way, as those of all workers are at
// times; several in a row are the worker's.
func (h *Health) RecordIgnoredStart(now time.Time) {
	h.probing = false
	h.ignored++
	if h.ignored >= ejectAfter {
		h.eject(now)
	}
}

// RecordAcceptedStart notes that the worker carried out a start.
func (h *Health) RecordAcceptedStart() { h.ignored = 0 }

// RecordUnavailable notes that the worker itself says it takes no work.
func (h *Health) RecordUnavailable(now time.Time) { h.avoidTill = now.Add(minEjection) }

func (h *Health) eject(now time.Time) {
	h.ejection = min(max(2*h.ejection, minEjection), maxEjection)
	h.avoidTill = now.Add(h.ejection)
}

// RecordStart notes that a run was ordered. A worker back from an ejection gets
// one at a time until one ends well.
func (h *Health) RecordStart() { h.probing = h.ejection > 0 }

// State returns how far the worker is used now.
func (h *Health) State(now time.Time) HealthState {
	switch {
	case h.IsUnresponsive(now), now.Before(h.avoidTill), h.probing:
		return Ejected
	case len(h.blames) > 0, h.ejection > 0, h.pace > slowFactor:
		return Suspect
	}
	return Healthy
}

// Slowdown returns the worker's run time over the expected one, 1 if not known.
func (h *Health) Slowdown() float64 {
	if h.pace == 0 {
		return 1
	}
	return h.pace
}

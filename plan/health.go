package plan

import "time"

// Trust is how far a worker is used.
type Trust int

// The degrees of trust: used, used when the others are full, not used.
const (
	Trusted Trust = iota
	Doubted
	Avoided
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
	failures  int
	ignored   int // starts in a row that were not carried out
	lastJob   string
	pace      float64 // run time over the expected one, 0 is not known
	ejection  time.Duration
	avoidTill time.Time
	lossyTill time.Time
	silent    int  // orders in a row without an answer
	probing   bool // one run is out after an ejection
}

// Failed notes that a run of a job failed. Failures of one job count once,
// since the job may be at fault.
func (h *Health) Failed(job string, now time.Time) {
	h.probing = false
	if h.failures > 0 && job == h.lastJob {
		return
	}
	h.failures++
	h.lastJob = job
	if h.failures >= ejectAfter {
		h.eject(now)
	}
}

// Done notes that a run ended well, after run in place of expected.
func (h *Health) Done(run, expected time.Duration) {
	h.failures, h.lastJob, h.ejection, h.probing = 0, "", 0, false
	if expected <= 0 {
		return
	}
	ratio := float64(run) / float64(expected)
	if h.pace == 0 {
		h.pace = ratio
		return
	}
	h.pace += paceWeight * (ratio - h.pace)
}

// Stalled notes that a run makes no headway.
func (h *Health) Stalled(now time.Time) {
	h.probing = false
	h.pace = max(h.pace, 2*slowFactor)
	h.eject(now)
}

// Silent notes that an order got no answer.
func (h *Health) Silent() { h.silent++ }

// Answered notes an answer. It reports whether there was none before.
func (h *Health) Answered(now time.Time) bool {
	again := h.silent > 0
	if again {
		h.lossyTill = now.Add(lossyTime)
	}
	h.silent = 0
	return again
}

// Lossy reports whether orders to the worker get lost one by one. It answers
// networks and workers that leave a share of all orders unanswered: such a worker
// is worth asking again soon.
func (h *Health) Lossy(now time.Time) bool { return now.Before(h.lossyTill) }

// IsSilent reports whether the worker does not answer. The first order without an
// answer tells so, except of a lossy worker.
func (h *Health) IsSilent(now time.Time) bool {
	return h.silent >= lossyOrders || h.silent > 0 && !h.Lossy(now)
}

// Ignored notes that the worker answers, but did not carry out a start. One
// start alone may have been lost on its way, as those of all workers are at
// times; several in a row are the worker's.
func (h *Health) Ignored(now time.Time) {
	h.probing = false
	h.ignored++
	if h.ignored >= ejectAfter {
		h.eject(now)
	}
}

// Accepted notes that the worker carried out a start.
func (h *Health) Accepted() { h.ignored = 0 }

// Unwell notes that the worker itself says it takes no work.
func (h *Health) Unwell(now time.Time) { h.avoidTill = now.Add(minEjection) }

func (h *Health) eject(now time.Time) {
	h.ejection = min(max(2*h.ejection, minEjection), maxEjection)
	h.avoidTill = now.Add(h.ejection)
	h.failures = ejectAfter - 1 // one more failure ejects again
}

// Started notes that a run was ordered. A worker back from an ejection gets
// one at a time until one ends well.
func (h *Health) Started() { h.probing = h.ejection > 0 }

// Trust returns how far the worker is used now.
func (h *Health) Trust(now time.Time) Trust {
	switch {
	case h.IsSilent(now), now.Before(h.avoidTill), h.probing:
		return Avoided
	case h.failures > 0, h.ejection > 0, h.pace > slowFactor:
		return Doubted
	}
	return Trusted
}

// Pace returns the worker's run time over the expected one, 1 if not known.
func (h *Health) Pace() float64 {
	if h.pace == 0 {
		return 1
	}
	return h.pace
}

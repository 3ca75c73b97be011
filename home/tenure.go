package home

import (
	"slices"
	"time"

	"foxtailmux/lease"
	"foxtailmux/watch"
)

// A home that is cut off from the others and from the store does not hear of its successor, and the successor
// may not reach a worker that the home still reaches. So a home extends leases and starts tasks only for
// confirmationValidity after the last confirmation that there is no later home. A confirmation is
//
//   - a response of the store that names the home, or
//   - responses of a third of its workers, since the successor's first request makes a worker refuse the home.
//
// The successor takes the leases for expired SuccessionTime after its own start and after the moment by which four
// fifths of its workers had reported to it: any third of the workers has one of these, even if half as many were added.
const (
	// confirmationValidity is longer than the store withholds a response for want of changes by the time of a slow
	// response.
	confirmationValidity = watch.FeedWait + 500*time.Millisecond

	// maxStoreSilence is the age of the store's last confirmation from which the workers are asked for theirs.
	// It leaves time for that within confirmationValidity.
	maxStoreSilence = watch.FeedWait + 200*time.Millisecond

	// askInterval is the time between two requests to an idle worker while workers are asked.
	askInterval = time.Second

	// maxUnreported is how long a worker that has left the list before it has reported counts for the quorum. Workers
	// that were partitioned with their data centre are back in the list within this time.
	maxUnreported = 15 * time.Second
)

// confirmationQuorum returns how many of a home's workers confirm that it has no successor.
func confirmationQuorum(workers int) int { return (workers + 2) / 3 }

// successorQuorum returns how many of its workers a home must have reached to know that no earlier one is confirmed by
// its workers any more.
func successorQuorum(workers int) int { return (4*workers + 4) / 5 }

// SuccessionTime returns how long after its successor has started, and has reached its workers, a home may keep
// runs alive under leases of a length.
func SuccessionTime(maxLease time.Duration) time.Duration {
	return confirmationValidity + maxLease + LeaseMargin
}

// isInForce reports whether the home may extend leases and start tasks. The lock is held.
func (h *Home) isInForce(now time.Time) bool { return now.Before(h.inForceUntil) }

// reviewTenure brings up to date until when the home is in force, and has its workers asked if the store is silent.
func (h *Home) reviewTenure(now time.Time) {
	confirmedAt := later(h.startedAt, h.options.ConfirmedAt())
	h.storeConfirmedAt = confirmedAt
	asks := now.Sub(confirmedAt) > maxStoreSilence
	if asks {
		confirmedAt = later(confirmedAt, h.confirmedByWorkersAt())
	}
	h.inForceUntil = later(h.inForceUntil, confirmedAt.Add(confirmationValidity))
	if inForce := h.isInForce(now); inForce != h.wasInForce {
		h.wasInForce = inForce
		h.options.Log.Warn().Str("home", h.options.DataCentre).Int64("token", h.options.Token).Bool("inForce", inForce).
			Int64("confirmedMillisAgo", now.Sub(confirmedAt).Milliseconds()).Msg("home may have a successor")
	}
	if asks != h.asksWorkers {
		h.asksWorkers = asks
		for _, w := range h.workers {
			w.signal()
		}
	}
	h.recordQuorum(now)
}

// confirmedByWorkersAt returns when confirmationQuorum of the workers accepted requests, or the zero time if they have
// not. The time of a request counts, since its response may be under way for any time.
func (h *Home) confirmedByWorkersAt() time.Time {
	var times []time.Time
	for _, w := range h.workers {
		if !w.removed {
			times = append(times, w.acceptedAt)
		}
	}
	if len(times) == 0 {
		return time.Time{}
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	return times[confirmationQuorum(len(times))-1]
}

// recordQuorum records when enough workers had reported. A list without workers has to be complete.
func (h *Home) recordQuorum(now time.Time) {
	if !h.quorumAt.IsZero() || len(h.workers) == 0 && !h.listComplete {
		return
	}
	reported := 0
	for _, w := range h.workers {
		if w.reported {
			reported++
		}
	}
	if reported >= successorQuorum(len(h.workers)) {
		h.quorumAt = now
	}
}

// expireRuns ends the runs of a worker that does not respond as soon as their leases are certainly over: those that this
// home has granted have expired, and the store has confirmed since that there is no later home, which may have adopted
// the runs and extended their leases.
func (w *worker) expireRuns(now time.Time) []lease.EndedRun {
	if !w.tracker.HasExpired(now) {
		return nil
	}
	if !w.tracker.HasExpired(w.home.storeConfirmedAt) {
		w.home.options.Confirm()
		return nil
	}
	return w.tracker.ExpireRuns(now)
}

// earlierLeasesEnded reports whether all leases of earlier homes have certainly ended.
func (h *Home) earlierLeasesEnded(now time.Time) bool {
	return !h.quorumAt.IsZero() && now.Sub(later(h.startedAt, h.quorumAt)) > SuccessionTime(h.options.MaxLease)
}

// askedIn returns the time until a worker is asked whether there is a later home, and false if it is not.
func (w *worker) askedIn(now time.Time) (time.Duration, bool) {
	if !w.home.asksWorkers || w.removed {
		return 0, false
	}
	return w.home.probeInterval(askInterval) - now.Sub(w.acceptedAt), true
}

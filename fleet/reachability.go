package fleet

import (
	"time"

	"foxtailmux/home"
	"foxtailmux/lease"
	"foxtailmux/model"
)

const (
	// maxQueries is the number of workers of another data centre that are queried before
	// it counts as unreachable, and queryTimeout bounds each query; round trips
	// between data centres take a few milliseconds.
	maxQueries   = 3
	queryTimeout = 150 * time.Millisecond

	// reachCheckInterval is the time between two checks of a data centre.
	reachCheckInterval = 250 * time.Millisecond

	// minReachableTime is how long another data centre must be reachable before this
	// instance claims its home. When a network partition heals, the heartbeats of the
	// instances in it arrive within this time.
	minReachableTime = 700 * time.Millisecond

	// maxCheckAge is the age up to which a successful check counts, and the longest time between
	// two checks in a row. Checks end with the suspicion that led to them, and the next one may follow
	// another cut.
	maxCheckAge = 2 * reachCheckInterval
)

// reachability is whether workers of another data centre respond, as far as checks in a row tell.
type reachability struct {
	checking       bool
	checkedAt      time.Time // start of the last check
	succeededAt    time.Time // start of the last successful check
	reachableSince time.Time // end of the first one of those in a row, zero while unreachable
}

// begin reports whether a check is due, and records its start.
func (r *reachability) begin(now time.Time) bool {
	if r.checking || now.Sub(r.checkedAt) <= reachCheckInterval {
		return false
	}
	if now.Sub(r.checkedAt) > maxCheckAge {
		r.reachableSince = time.Time{}
	}
	r.checking, r.checkedAt = true, now
	return true
}

// end records the result of the check in progress.
func (r *reachability) end(now time.Time, ok bool) {
	r.checking = false
	if !ok {
		r.reachableSince = time.Time{}
		return
	}
	r.succeededAt = r.checkedAt
	if r.reachableSince.IsZero() {
		r.reachableSince = now
	}
}

// holds reports whether the data centre has been reachable for minReachableTime and still is.
func (r *reachability) holds(now time.Time) bool {
	return !r.reachableSince.IsZero() && now.Sub(r.reachableSince) > minReachableTime && now.Sub(r.succeededAt) <= maxCheckAge
}

// reachable reports whether workers of another data centre have been reachable for
// minReachableTime. Used when the instances in it are suspected dead: if the data centre
// is partitioned, it has to go on under its present home. The workers are queried in the
// background.
func (in *Instance) reachable(dataCentre string) bool {
	_, token := in.homeOf(dataCentre)
	in.mu.Lock()
	defer in.mu.Unlock()
	now := time.Now()
	r := in.reachability[dataCentre]
	if r == nil {
		r = &reachability{}
		in.reachability[dataCentre] = r
	}
	if r.begin(now) {
		workers := in.workersOf(dataCentre)
		in.background.Go(func() { in.checkReachability(r, workers, token) })
	}
	return r.holds(now)
}

// checkReachability queries the workers of a data centre and records the result.
func (in *Instance) checkReachability(r *reachability, workers map[string]model.Worker, token int64) {
	ok := respondsAny(workers, token, func(w model.Worker) home.Endpoint { return in.connect(w, nil) })
	in.mu.Lock()
	defer in.mu.Unlock()
	r.end(time.Now(), ok)
}

// respondsAny reports whether one of up to maxQueries workers responds to a lease renewal with the token of the present
// home, which renews nothing. A connection alone proves little: something in between may accept it while no bytes pass.
func respondsAny(workers map[string]model.Worker, token int64, connect func(model.Worker) home.Endpoint) bool {
	tries := 0
	for _, w := range workers {
		if tries++; tries > maxQueries {
			return false
		}
		endpoint := connect(w)
		_, err := endpoint.Renew(lease.Renewal{Token: token}, queryTimeout)
		endpoint.Close()
		if err == nil {
			return true
		}
	}
	return false
}

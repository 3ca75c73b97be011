package fleet

import (
	"net"
	"time"

	"foxtailmux/model"
)

const (
	// maxDials is the number of workers of another data centre that are dialled before
	// it counts as unreachable, and dialTimeout bounds each dial; round trips
	// between data centres take a few milliseconds.
	maxDials    = 3
	dialTimeout = 150 * time.Millisecond

	// reachCheckInterval is the time between two checks of a data centre.
	reachCheckInterval = 250 * time.Millisecond

	// minReachableTime is how long another data centre must be reachable before this
	// instance claims its home. When a network partition heals, the heartbeats of the
	// instances in it arrive within this time.
	minReachableTime = 700 * time.Millisecond
)

// reachability is whether workers of another data centre accept connections.
type reachability struct {
	checking       bool
	checkedAt      time.Time // start of the last check
	reachableSince time.Time // zero while unreachable
}

// reachable reports whether workers of another data centre have been reachable for
// minReachableTime. Used when the instances in it are suspected dead: if the data centre
// is partitioned, it has to go on under its present home. The workers are dialled in the
// background.
func (in *Instance) reachable(dataCentre string) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	now := time.Now()
	r := in.reachability[dataCentre]
	if r == nil {
		r = &reachability{}
		in.reachability[dataCentre] = r
	}
	if now.Sub(r.checkedAt) > 2*minReachableTime {
		r.reachableSince = time.Time{} // not checked for a while
	}
	if !r.checking && now.Sub(r.checkedAt) > reachCheckInterval {
		r.checking, r.checkedAt = true, now
		workers := in.workersOf(dataCentre)
		in.background.Go(func() { in.checkReachability(r, workers) })
	}
	return !r.reachableSince.IsZero() && now.Sub(r.reachableSince) > minReachableTime
}

// checkReachability dials the workers of a data centre and records the result.
func (in *Instance) checkReachability(r *reachability, workers map[string]model.Worker) {
	ok := dialAny(workers)
	in.mu.Lock()
	defer in.mu.Unlock()
	r.checking = false
	switch {
	case !ok:
		r.reachableSince = time.Time{}
	case r.reachableSince.IsZero():
		r.reachableSince = time.Now()
	}
}

// dialAny reports whether one of up to maxDials workers accepts a connection.
func dialAny(workers map[string]model.Worker) bool {
	tries := 0
	for _, w := range workers {
		if tries++; tries > maxDials {
			return false
		}
		c, err := net.DialTimeout("tcp", w.Addr, dialTimeout)
		if err == nil {
			_ = c.Close()
			return true
		}
	}
	return false
}

package fleet

import (
	"net"
	"time"

	"foxtailmux/model"
)

const (
	// reachTries is the number of workers of another data centre that are
	// dialled before it counts as cut off, and reachTimeout bounds each dial;
	// round trips between data centres take a few milliseconds.
	reachTries   = 3
	reachTimeout = 150 * time.Millisecond

	// reachInterval is the time between two such looks.
	reachInterval = 250 * time.Millisecond

	// reachSteady is how long a data centre must be in reach before its
	// workers are claimed from elsewhere. When a cut heals, its own instances
	// are heard within it.
	reachSteady = 700 * time.Millisecond
)

// reach is whether workers of another data centre can be dialled.
type reach struct {
	looking bool
	lookAt  time.Time // of the last look
	since   time.Time // zero while out of reach
}

// reachable reports whether workers of another data centre are in reach for a
// while. Its own instances are not heard then: if it is cut off, it must go on
// under the home it has. It dials in the background.
func (f *Instance) reachable(dataCentre string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	r := f.reaches[dataCentre]
	if r == nil {
		r = &reach{}
		f.reaches[dataCentre] = r
	}
	if now.Sub(r.lookAt) > 2*reachSteady {
		r.since = time.Time{} // nobody asked for a while
	}
	if !r.looking && now.Sub(r.lookAt) > reachInterval {
		r.looking, r.lookAt = true, now
		workers := f.workersOf(dataCentre)
		f.tasks.Go(func() { f.lookAtReach(r, workers) })
	}
	return !r.since.IsZero() && now.Sub(r.since) > reachSteady
}

func (f *Instance) lookAtReach(r *reach, workers map[string]model.Worker) {
	ok := dialAny(workers)
	f.mu.Lock()
	defer f.mu.Unlock()
	r.looking = false
	switch {
	case !ok:
		r.since = time.Time{}
	case r.since.IsZero():
		r.since = time.Now()
	}
}

func dialAny(workers map[string]model.Worker) bool {
	tries := 0
	for _, w := range workers {
		if tries++; tries > reachTries {
			return false
		}
		c, err := net.DialTimeout("tcp", w.Addr, reachTimeout)
		if err == nil {
			_ = c.Close()
			return true
		}
	}
	return false
}

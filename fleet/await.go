package fleet

import (
	"context"
	"time"

	"foxtailmux/pause"
)

// forwardRetryDelay follows a failed attempt to reach a home. It leaves time for the rows
// and heartbeats of a later home to arrive.
const forwardRetryDelay = 20 * time.Millisecond

// delayRetryAfterError waits for forwardRetryDelay if there was an error.
func (in *Instance) delayRetryAfterError(ctx context.Context, err error) {
	if err == nil {
		return
	}
	select {
	case <-time.After(forwardRetryDelay):
	case <-ctx.Done():
	}
}

// awaitHome waits for a live home: that of the target data centre or, for a job that no
// home has begun, of another one. It returns the data centre and the fencing token, and
// false if there is none within the limit, the context ends or all data centres are drained.
func (in *Instance) awaitHome(ctx context.Context, j *forwarding, limit time.Duration) (string, int64, bool) {
	var dataCentre string
	var token int64
	found := false
	in.await(ctx, limit, func() bool {
		dataCentre, token, found = in.findHome(j)
		return found || !j.resumed && in.allDrained()
	})
	return dataCentre, token, found
}

// await waits until a condition on homes and instances holds. It returns false if the
// condition does not hold within the limit or the context ends.
func (in *Instance) await(ctx context.Context, limit time.Duration, condition func() bool) bool {
	timeout := time.NewTimer(limit)
	defer timeout.Stop()
	for {
		next := in.changed.wait()
		if pause.Check(ctx) != nil {
			return false
		}
		if condition() {
			return true
		}
		select {
		case <-next:
		case <-timeout.C:
			return false
		case <-ctx.Done():
			return false
		}
	}
}

// findHome returns the live home of the target data centre or, for a job that no home has
// begun, the live home with the most free capacity, less the needs of its waiting jobs. A
// home that could not be reached with this job, or whose data centre is drained, is passed over
// unless it may have begun the job.
func (in *Instance) findHome(j *forwarding) (string, int64, bool) {
	if token, ok := in.aliveHome(j.target); ok && (j.resumed || in.mayTake(j, j.target)) {
		return j.target, token, true
	}
	if j.resumed {
		return "", 0, false
	}
	best, bestFree := "", -1
	for _, dc := range in.dataCentres() {
		if _, ok := in.aliveHome(dc); !ok || !in.mayTake(j, dc) {
			continue
		}
		if capacity := in.freeCapacity(dc); capacity.Free-capacity.Waiting > bestFree || best == "" {
			best, bestFree = dc, capacity.Free-capacity.Waiting
		}
	}
	token, ok := in.aliveHome(best)
	return best, token, ok
}

// mayTake reports whether a job that no home has begun may go to a data centre.
func (in *Instance) mayTake(j *forwarding, dataCentre string) bool {
	return !j.unreachable[dataCentre] && !in.isDrained(dataCentre)
}

// aliveHome returns the fencing token of the home of a data centre and whether that home
// is alive and can be called: the rows of homes and instances arrive in any order.
func (in *Instance) aliveHome(dataCentre string) (token int64, ok bool) {
	owner, token := in.homeOf(dataCentre)
	if owner.Instance == "" {
		return 0, false
	}
	if owner.Instance == in.self.Instance {
		in.mu.Lock()
		defer in.mu.Unlock()
		return token, in.localHomes[dataCentre] != nil
	}
	return token, in.peers.HasPeer(owner.Instance) && in.heartbeats.IsAlive(owner.Instance) && in.heartbeats.Status(owner.Instance).Incarnation == owner.Incarnation
}

// recordHome records whether any home is alive.
func (in *Instance) recordHome() {
	if !in.anyHome() {
		return
	}
	in.mu.Lock()
	defer in.mu.Unlock()
	in.homeSeenAt = time.Now()
}

// homeMissingFor returns for how long no home has been alive, at most since the start of this
// instance.
func (in *Instance) homeMissingFor() time.Duration {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.homeSeenAt.IsZero() {
		return time.Since(in.startedAt)
	}
	return time.Since(in.homeSeenAt)
}

// awaitLaterHome waits until a data centre has a live home with a later token. It returns
// false if there is none within homeTimeout or the context ends.
func (in *Instance) awaitLaterHome(ctx context.Context, dataCentre string, token int64) bool {
	return in.await(ctx, homeTimeout, func() bool {
		later, ok := in.aliveHome(dataCentre)
		return ok && later > token
	})
}

package fleet

import (
	"context"
	"time"
)

// hopPause follows a try that did not reach a home, so that the rows and
// heartbeats that tell of a later one are taken in.
const hopPause = 20 * time.Millisecond

func (f *Instance) pauseHop(ctx context.Context, err error) {
	if err == nil {
		return
	}
	select {
	case <-time.After(hopPause):
	case <-ctx.Done():
	}
}

// awaitHome waits until a home is in reach: that of the data centre asked for,
// or, for a job that no home has begun, one elsewhere. It reports false if there is
// none within the limit.
func (f *Instance) awaitHome(ctx context.Context, j *forwarding, limit time.Duration) (string, int64, bool) {
	var dataCentre string
	var token int64
	ok := f.await(ctx, limit, func() (found bool) {
		dataCentre, token, found = f.findHome(j)
		return found
	})
	return dataCentre, token, ok
}

// await waits until a condition on homes and instances holds. It reports false
// if it does not within the limit.
func (f *Instance) await(ctx context.Context, limit time.Duration, holds func() bool) bool {
	timeout := time.NewTimer(limit)
	defer timeout.Stop()
	for {
		next := f.changed.wait()
		if holds() {
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

func (f *Instance) findHome(j *forwarding) (string, int64, bool) {
	if token, ok := f.inReach(j.target); ok && (j.resumed || !j.avoid[j.target]) {
		return j.target, token, true
	}
	if j.resumed {
		return "", 0, false
	}
	best, bestFree := "", -1
	for _, dc := range f.dataCentres() {
		if _, ok := f.inReach(dc); !ok || j.avoid[dc] {
			continue
		}
		if room := f.room(dc); room.Free-room.Waiting > bestFree || best == "" {
			best, bestFree = dc, room.Free-room.Waiting
		}
	}
	token, ok := f.inReach(best)
	return best, token, ok
}

// inReach reports whether the home of a data centre is heard.
func (f *Instance) inReach(dataCentre string) (token int64, ok bool) {
	owner, token := f.homeOf(dataCentre)
	if owner.Instance == "" {
		return 0, false
	}
	if owner.Instance == f.self.Instance {
		f.mu.Lock()
		defer f.mu.Unlock()
		return token, f.mine[dataCentre] != nil
	}
	return token, f.beats.IsAlive(owner.Instance) && f.beats.Status(owner.Instance).Incarnation == owner.Incarnation
}

// awaitChange waits until a data centre has a later home than the one with the
// token.
func (f *Instance) awaitChange(ctx context.Context, dataCentre string, token int64) bool {
	return f.await(ctx, homeWait, func() bool {
		later, ok := f.inReach(dataCentre)
		return ok && later > token
	})
}

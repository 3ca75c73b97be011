package fleet

import (
	"encoding/json"
	"time"

	"foxtailmux/beat"
	"foxtailmux/table"
)

// shouldClaim reports whether the home of a data centre needs a successor and this
// instance is the one. An instance that is not registered would be a home without
// heartbeats and calls of others.
func (in *Instance) shouldClaim(dataCentre string, owner homeRow) bool {
	if in.leaving.Load() || !in.homeTable.StoreReachable() || !in.isRegistered() {
		return false
	}
	if in.slow() && owner.Instance != in.self.Instance {
		return false
	}
	if owner.Instance == in.self.Instance {
		return true // an earlier incarnation of this instance, which has ended
	}
	if time.Since(in.startedAt) < startupListenTime {
		return false
	}
	alive := in.heartbeats.AlivePeers()
	o := ownership{owner: owner, sinceChange: in.sinceClaim(dataCentre)}
	o.status, o.alive = alive[owner.Instance]
	ownerPeer := in.heartbeats.Peer(owner.Instance)
	o.weaker = in.self.Cores < ownerPeer.Cores
	o.canReturn = canReturn(in.self, ownerPeer, dataCentre, time.Since(in.startedAt)) && in.workerTable.Staleness() < maxTableAge
	if !o.needsSuccessor() {
		return false
	}
	if in.successor(dataCentre, alive) != in.self.Instance {
		return false
	}
	return in.self.DataCentre == dataCentre || in.reachable(dataCentre)
}

// successor picks the instance that should become the next home of a data centre.
func (in *Instance) successor(dataCentre string, alive map[string]beat.Status) string {
	candidates := []candidate{{peer: in.self, homeCount: in.homeCount()}}
	for id, s := range alive {
		if !s.Leaving && !s.Slow {
			candidates = append(candidates, candidate{peer: in.heartbeats.Peer(id), homeCount: len(s.Homes)})
		}
	}
	return pickSuccessor(dataCentre, candidates)
}

// homeCount returns the number of homes that this instance is.
func (in *Instance) homeCount() int {
	in.mu.Lock()
	defer in.mu.Unlock()
	return len(in.localHomes)
}

// claim makes this instance the home of a data centre, unless its row has changed since
// seenVersion. If the response of the store is lost, the change feed delivers the result.
func (in *Instance) claim(dataCentre string, seenVersion int64) {
	in.mu.Lock()
	if in.claiming[dataCentre] {
		in.mu.Unlock()
		return
	}
	in.claiming[dataCentre], in.claimedVersion[dataCentre] = true, seenVersion
	in.mu.Unlock()

	in.background.Go(func() {
		in.commitClaim(dataCentre, seenVersion)
		in.mu.Lock()
		delete(in.claiming, dataCentre)
		in.mu.Unlock()
		in.changed.notify()
	})
}

// isFirstClaim reports whether the last claim of a home, which has succeeded, found no row of an earlier home.
func (in *Instance) isFirstClaim(dataCentre string) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	version, ok := in.claimedVersion[dataCentre]
	return ok && version == 0
}

// claimRetryDelay follows a failed claim. It keeps load off a store in trouble and leaves
// time for the change feed to deliver a claim whose response was lost.
const claimRetryDelay = 250 * time.Millisecond

// commitClaim writes the home row. It waits for claimRetryDelay if the write fails or the
// row has changed since seenVersion.
func (in *Instance) commitClaim(dataCentre string, seenVersion int64) {
	value, err := json.Marshal(homeRow{Instance: in.self.Instance, Incarnation: in.self.Incarnation})
	if err != nil {
		in.log.Error().Err(err).Msg("home claim not encoded")
		return
	}
	key := homeKey(dataCentre)
	commit, err := in.store.Commit(in.ctx, table.Transaction{
		Conditions: []table.Condition{{Key: key, Version: seenVersion}},
		Puts:       []table.Put{{Key: key, Value: value}},
	})
	l := in.log.Info()
	if err != nil {
		l = in.log.Warn().Err(err)
	}
	l.Str("home", dataCentre).Int64("seen", seenVersion).Bool("committed", commit.Committed).
		Int64("token", commit.Version).Msg("home claimed")

	switch {
	case err != nil:
	case commit.Committed:
		in.homeTable.ApplyWrite(table.Row{Key: key, Value: value, Version: commit.Version})
		return
	default:
		for _, row := range commit.Conflicts {
			in.homeTable.ApplyWrite(row)
		}
	}
	select {
	case <-time.After(claimRetryDelay):
	case <-in.ctx.Done():
	}
}

// sinceClaim returns the time since the home of a data centre changed, and an hour if it
// has not changed since this instance started.
func (in *Instance) sinceClaim(dataCentre string) time.Duration {
	in.mu.Lock()
	defer in.mu.Unlock()
	at, ok := in.homeChangedAt[dataCentre]
	if !ok {
		return time.Hour
	}
	return time.Since(at)
}

package fleet

import (
	"encoding/json"
	"time"

	"foxtailmux/beat"
	"foxtailmux/table"
)

// shouldClaim reports whether the home of a data centre is gone and this
// instance is the one to follow.
func (f *Instance) shouldClaim(dataCentre string, owner homeRow) bool {
	if f.leaving.Load() || !f.homes.StoreReachable() {
		return false
	}
	if f.slow() && owner.Instance != f.self.Instance {
		return false
	}
	if owner.Instance == f.self.Instance {
		return true // an earlier life of this very process, which is over
	}
	if time.Since(f.started) < settleTime {
		return false
	}
	living := f.beats.AlivePeers()
	member, heard := living[owner.Instance]
	weaker := f.self.Cores < f.beats.Peer(owner.Instance).Cores
	if !gone(owner, member, heard, weaker, f.sinceClaim(dataCentre)) {
		return false
	}
	if f.successor(dataCentre, living) != f.self.Instance {
		return false
	}
	return f.self.DataCentre == dataCentre || f.reachable(dataCentre)
}

// successor picks the instance that follows as the home of a data centre.
func (f *Instance) successor(dataCentre string, living map[string]beat.Status) string {
	list := []candidate{{peer: f.self, homes: f.homeCount()}}
	for id, m := range living {
		if !m.Leaving && !m.Slow {
			list = append(list, candidate{peer: f.beats.Peer(id), homes: len(m.Homes)})
		}
	}
	return pickSuccessor(dataCentre, list)
}

func (f *Instance) homeCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.mine)
}

// claim makes this instance the home of a data centre, if the row still has
// the version that was seen. An answer that is lost is learned from the feed.
func (f *Instance) claim(dataCentre string, seen int64) {
	f.mu.Lock()
	if f.claiming[dataCentre] {
		f.mu.Unlock()
		return
	}
	f.claiming[dataCentre] = true
	f.mu.Unlock()

	f.tasks.Go(func() {
		f.commitClaim(dataCentre, seen)
		f.mu.Lock()
		delete(f.claiming, dataCentre)
		f.mu.Unlock()
		f.changed.fire()
	})
}

// claimPause follows a claim that failed, so that a store in trouble is not
// pressed and a late answer of the feed is taken in.
const claimPause = 250 * time.Millisecond

func (f *Instance) commitClaim(dataCentre string, seen int64) {
	value, err := json.Marshal(homeRow{Instance: f.self.Instance, Incarnation: f.self.Incarnation})
	if err != nil {
		f.log.Error().Err(err).Msg("claim not encoded")
		return
	}
	key := homeKey(dataCentre)
	commit, err := f.store.Commit(f.ctx, table.Transaction{
		Conditions: []table.Condition{{Key: key, Version: seen}},
		Puts:       []table.Put{{Key: key, Value: value}},
	})
	l := f.log.Info()
	if err != nil {
		l = f.log.Warn().Err(err)
	}
	l.Str("home", dataCentre).Int64("seen", seen).Bool("committed", commit.Committed).
		Int64("token", commit.Version).Msg("home claimed")

	switch {
	case err != nil:
	case commit.Committed:
		f.homes.ApplyWrite(table.Row{Key: key, Value: value, Version: commit.Version})
		return
	default:
		for _, row := range commit.Conflicts {
			f.homes.ApplyWrite(row)
		}
	}
	select {
	case <-time.After(claimPause):
	case <-f.ctx.Done():
	}
}

// sinceClaim returns the time since the home of a data centre was seen to
// change; what stood in the store before this instance started is old.
func (f *Instance) sinceClaim(dataCentre string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	at, ok := f.claimedAt[dataCentre]
	if !ok {
		return time.Hour
	}
	return time.Since(at)
}

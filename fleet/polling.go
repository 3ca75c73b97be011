package fleet

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// activePollInterval is the time between two polls of the workers' table while this
	// instance needs it. Each worker writes its row every 1.5 s. A leaving worker serves
	// for at least 2 s more, after which no task may be started on it.
	activePollInterval = 700 * time.Millisecond

	// idlePollInterval is the time between two polls on an instance that is no home and
	// only needs workers to dial in a data centre without a home. Each response
	// holds the rows of all workers: 200 kB for 1,000 workers.
	idlePollInterval = time.Minute

	// lazyReadDelay is the shortest time after its start at which an instance that does
	// not need the workers' table reads it; a random part of lazyReadSpread is added.
	// After a restart of all instances those that were homes read the table first: the
	// 1,100 rows for all of 170 instances are 70 MB.
	lazyReadDelay  = time.Second
	lazyReadSpread = 3 * time.Second

	// ownWorkersTimeout is how long a new instance polls for workers of its own data
	// centre. Workers that start with it register within a few seconds.
	ownWorkersTimeout = 20 * time.Second

	// maxTableAge is the age up to which the workers' table is fresh enough for a new
	// home.
	maxTableAge = time.Second

	// freshTableTimeout is how long a new home waits for a fresher table; a response
	// takes a few milliseconds.
	freshTableTimeout = 300 * time.Millisecond
)

// workersPollInterval returns the time between two polls of the workers' table.
func (in *Instance) workersPollInterval() time.Duration {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.pollsWorkersOften {
		return activePollInterval
	}
	return idlePollInterval
}

// updateWorkerPolling selects the poll interval of the workers' table.
func (in *Instance) updateWorkerPolling() {
	follow := in.needsWorkerTable()
	in.mu.Lock()
	started := follow && !in.pollsWorkersOften
	in.pollsWorkersOften = follow
	in.mu.Unlock()
	if started {
		in.workersNeededOnce.Do(func() { close(in.workersNeeded) })
		in.workerTable.Refresh()
	}
}

// runWorkerTable keeps the cache of the workers' table up to date, from when it is needed
// or, if it is not, from lazyReadDelay plus a random part of lazyReadSpread after the start.
func (in *Instance) runWorkerTable(ctx context.Context) {
	select {
	case <-in.workersNeeded:
	case <-time.After(lazyReadDelay + rand.N(lazyReadSpread)):
	case <-ctx.Done():
	}
	in.workerTable.Run(ctx)
}

// needsWorkerTable reports whether this instance is a home or may soon become one. Until
// startupListenTime has passed only the homes of its earlier incarnation count.
func (in *Instance) needsWorkerTable() bool {
	if !in.homeTable.IsLoaded() {
		return false
	}
	if in.homeCount() > 0 {
		return true
	}
	list := in.dataCentres()
	if !slices.Contains(list, in.self.DataCentre) && time.Since(in.startedAt) < ownWorkersTimeout {
		return true // its workers may register later than this instance
	}
	listened := time.Since(in.startedAt) >= startupListenTime
	for _, dc := range list {
		owner, _ := in.homeOf(dc)
		_, alive := in.aliveHome(dc)
		status := in.heartbeats.Status(owner.Instance)
		successor := func() string { return in.successor(dc, in.heartbeats.AlivePeers()) }
		atHome := in.heartbeats.Peer(owner.Instance).DataCentre == dc
		if needsTableFor(in.self.Instance, owner, alive && atHome && !status.Leaving && !status.Slow, listened, successor) {
			return true
		}
	}
	return len(list) == 0
}

// tableFresh reports whether the workers' table is fresh enough for this instance to
// become the home of a data centre, or the wait for a fresher one has timed out.
func (in *Instance) tableFresh(dataCentre string) bool {
	if in.workerTable.Staleness() < maxTableAge {
		in.mu.Lock()
		delete(in.staleSince, dataCentre)
		in.mu.Unlock()
		return true
	}
	in.workerTable.Refresh()
	in.mu.Lock()
	defer in.mu.Unlock()
	since, ok := in.staleSince[dataCentre]
	if !ok {
		in.staleSince[dataCentre] = time.Now()
		return false
	}
	if time.Since(since) < freshTableTimeout {
		return false
	}
	delete(in.staleSince, dataCentre)
	in.log.Warn().Str("home", dataCentre).Int64("ageMillis", in.workerTable.Staleness().Milliseconds()).Msg("home taken with an old list of workers")
	return true
}

// needsTableFor reports whether an instance needs the workers' table for a data centre:
// the store records it as the home, or it is the successor of a home that is not healthy or is in
// another data centre.
// Before it has listened for heartbeats, every home would look dead and the instance
// itself would look like the successor.
func needsTableFor(self string, owner homeRow, healthy, listened bool, successor func() string) bool {
	if owner.Instance == self {
		return true
	}
	return listened && !healthy && successor() == self
}

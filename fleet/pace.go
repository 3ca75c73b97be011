package fleet

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// closePause is the time between two requests for changes of the workers'
	// table while this instance needs them. Each worker writes its row every
	// 1.5 s. One that leaves serves for at least 2 s more, and no task may start
	// on it after them.
	closePause = 700 * time.Millisecond

	// idlePause is the same for an instance that is no home, and only needs to
	// know whom to dial in a data centre without a home. Each answer holds the
	// rows of all workers: 1,000 of them are 200 kB.
	idlePause = time.Minute

	// lazyRead is the least time after its start at which an instance that does not
	// need the table reads it, and lazySpread the range that is drawn from beyond it.
	// After a restart of all instances those that were homes read it first: the 1,100 rows
	// for all of 170 instances are 70 MB.
	lazyRead   = time.Second
	lazySpread = 3 * time.Second

	// ownWait is how long an instance looks for workers of its own data centre after its
	// start. Those that start with it register within a few seconds.
	ownWait = 20 * time.Second

	// freshFor is the age up to which the table is good enough for a new home.
	freshFor = time.Second

	// freshWait is how long a new home waits for a fresher table; an answer takes
	// a few milliseconds.
	freshWait = 300 * time.Millisecond
)

// workersPause is the time between two requests for changes of the workers' table.
func (f *Instance) workersPause() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.following {
		return closePause
	}
	return idlePause
}

// paceWorkers decides how closely the workers' table is followed.
func (f *Instance) paceWorkers() {
	follow := f.needsWorkers()
	f.mu.Lock()
	began := follow && !f.following
	f.following = follow
	f.mu.Unlock()
	if began {
		f.wanted.Do(func() { close(f.readWorkers) })
		f.workers.Refresh()
	}
}

// followWorkers keeps the copy of the workers' table, from when it is needed.
func (f *Instance) followWorkers(ctx context.Context) {
	select {
	case <-f.readWorkers:
	case <-time.After(lazyRead + rand.N(lazySpread)):
	case <-ctx.Done():
	}
	f.workers.Run(ctx)
}

// needsWorkers reports whether this instance is a home or may soon be one. Before it has
// listened for others it only knows of its earlier life.
func (f *Instance) needsWorkers() bool {
	if !f.homes.IsLoaded() {
		return false
	}
	if f.homeCount() > 0 {
		return true
	}
	list := f.dataCentres()
	if !slices.Contains(list, f.self.DataCentre) && time.Since(f.started) < ownWait {
		return true // its workers may register later than this instance
	}
	listened := time.Since(f.started) >= settleTime
	for _, dc := range list {
		owner, _ := f.homeOf(dc)
		_, heard := f.inReach(dc)
		m := f.beats.Status(owner.Instance)
		successor := func() string { return f.successor(dc, f.beats.AlivePeers()) }
		if needsTable(f.self.Instance, owner, heard && !m.Leaving && !m.Slow, listened, successor) {
			return true
		}
	}
	return len(list) == 0
}

// workersFresh reports whether the workers' table is new enough for this instance
// to become the home of a data centre, or was waited for long enough.
func (f *Instance) workersFresh(dataCentre string) bool {
	if f.workers.Staleness() < freshFor {
		f.mu.Lock()
		delete(f.takenAt, dataCentre)
		f.mu.Unlock()
		return true
	}
	f.workers.Refresh()
	f.mu.Lock()
	defer f.mu.Unlock()
	since, ok := f.takenAt[dataCentre]
	if !ok {
		f.takenAt[dataCentre] = time.Now()
		return false
	}
	if time.Since(since) < freshWait {
		return false
	}
	delete(f.takenAt, dataCentre)
	f.log.Warn().Str("home", dataCentre).Int64("ageMillis", f.workers.Staleness().Milliseconds()).Msg("home taken with an old list of workers")
	return true
}

// needsTable reports whether an instance needs the workers' table for a data centre: the
// store names it as the home, or it is the one to follow a home that is not well. Before
// it has listened for others it takes each home for silent and itself for the successor.
func needsTable(self string, owner homeRow, well, listened bool, successor func() string) bool {
	if owner.Instance == self {
		return true
	}
	return listened && !well && successor() == self
}

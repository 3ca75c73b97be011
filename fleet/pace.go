package fleet

import "time"

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

	// closeStart is how long after its start an instance follows the table
	// closely: workers that start with it register meanwhile.
	closeStart = 2 * time.Second

	// freshFor is the age up to which the table is good enough for a new home.
	freshFor = time.Second

	// freshWait is how long a new home waits for a fresher table; an answer takes
	// a few milliseconds.
	freshWait = 300 * time.Millisecond
)

// workersPause is the time between two requests for changes of the workers' table.
func (f *Fleet) workersPause() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.following {
		return closePause
	}
	return idlePause
}

// paceWorkers decides how closely the workers' table is followed.
func (f *Fleet) paceWorkers() {
	follow := f.needsWorkers()
	f.mu.Lock()
	began := follow && !f.following
	f.following = follow
	f.mu.Unlock()
	if began {
		f.workers.Refresh()
	}
}

// needsWorkers reports whether this instance is a home or may soon be one.
func (f *Fleet) needsWorkers() bool {
	if time.Since(f.started) < closeStart || f.homeCount() > 0 {
		return true
	}
	list := f.dataCentres()
	for _, dc := range list {
		owner, _ := f.homeOf(dc)
		if owner.Instance == f.self.Instance {
			return true
		}
		_, ok := f.inReach(dc)
		if m := f.beats.Member(owner.Instance); ok && !m.Leaving && !m.Slow {
			continue
		}
		if f.successor(dc, f.beats.Living()) == f.self.Instance {
			return true
		}
	}
	return len(list) == 0
}

// workersFresh reports whether the workers' table is new enough for this instance
// to become the home of a data centre, or was waited for long enough.
func (f *Fleet) workersFresh(dataCentre string) bool {
	if f.workers.Age() < freshFor {
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
	f.log.Warn().Str("home", dataCentre).Int64("ageMillis", f.workers.Age().Milliseconds()).Msg("home taken with an old list of workers")
	return true
}

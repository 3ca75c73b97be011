package fleet

import (
	"maps"
	"strings"
	"time"

	"foxtailmux/home"
	"foxtailmux/model"
	"foxtailmux/table"
)

// missingGrace is how long a worker stays in use after it left the workers' table: rows
// that expired while the store was unavailable are back within two seconds.
const missingGrace = 2200 * time.Millisecond

// onWorkers handles changes of the workers' table.
func (in *Instance) onWorkers(rows []table.Row) {
	now := time.Now()
	in.mu.Lock()
	for _, row := range rows {
		id := strings.TrimPrefix(row.Key, in.tables.Workers+"/")
		if row.Deleted {
			in.recordMissing(id, now)
			continue
		}
		w, err := in.adapter.DecodeWorker(row)
		if err != nil {
			in.log.Warn().Err(err).Int64("version", row.Version).Msg("worker row not decoded")
			in.recordMissing(id, now)
			continue
		}
		delete(in.missingSince, id)
		in.removeWorker(id)
		in.knownWorkers[id] = w
		in.workerCounts[w.DataCentre]++
	}
	in.mu.Unlock()
	in.updateHomeWorkers()
	in.changed.notify()
}

// recordMissing records that a worker has no row, or one that names no worker. The caller holds the
// lock.
func (in *Instance) recordMissing(id string, now time.Time) {
	w, ok := in.knownWorkers[id]
	if _, missing := in.missingSince[id]; !ok || missing {
		return
	}
	in.missingSince[id], in.workerLeftAt[w.DataCentre] = now, now
}

// removeWorker removes a known worker. The caller holds the lock.
func (in *Instance) removeWorker(id string) {
	w, ok := in.knownWorkers[id]
	if !ok {
		return
	}
	delete(in.knownWorkers, id)
	if in.workerCounts[w.DataCentre]--; in.workerCounts[w.DataCentre] == 0 {
		delete(in.workerCounts, w.DataCentre)
	}
}

// updateHomeWorkers passes the workers to the homes of this instance. A home calls back
// with its own lock held, so mu must not be held when a home is called.
func (in *Instance) updateHomeWorkers() {
	for dc, h := range in.homesByCentre() {
		in.setHomeWorkers(dc, h)
	}
}

// setHomeWorkers passes the workers of a data centre to its home.
func (in *Instance) setHomeWorkers(dataCentre string, h *home.Home) {
	workers, complete := in.workersFor(dataCentre, h)
	if complete && h.AwaitsWorkers() {
		in.log.Info().Str("home", dataCentre).Int64("token", h.Token()).Int("workers", len(workers)).
			Int64("homeMillis", time.Since(h.StartedAt()).Milliseconds()).Msg("list of workers is complete")
	}
	h.SetWorkers(workers, complete)
}

// readHomeWorkers reads the list of workers at once for a home that has just started: the earlier home may know of
// workers that this instance does not.
func (in *Instance) readHomeWorkers() {
	select {
	case <-in.workerTable.ReadNow():
		in.completeHomeWorkers()
	case <-in.ctx.Done():
	}
}

// completeHomeWorkers passes the workers to the homes of this instance that wait for a complete list of them.
func (in *Instance) completeHomeWorkers() {
	for dc, h := range in.homesByCentre() {
		if !h.AwaitsWorkers() {
			continue
		}
		if _, complete := in.workersFor(dc, h); complete {
			in.setHomeWorkers(dc, h)
		}
	}
}

// homesByCentre returns a copy of the homes of this instance, by data centre.
func (in *Instance) homesByCentre() map[string]*home.Home {
	in.mu.Lock()
	defer in.mu.Unlock()
	return maps.Clone(in.localHomes)
}

// workersFor returns the workers of a data centre for a home, and whether the list is complete.
func (in *Instance) workersFor(dataCentre string, h *home.Home) (map[string]model.Worker, bool) {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.workersOf(dataCentre), in.listComplete(dataCentre, h.StartedAt())
}

// incompleteAfterLoss is how long the list of a data centre's workers counts as incomplete
// after a worker left it: workers that were partitioned with their data centre return
// to the table within this time.
const incompleteAfterLoss = 15 * time.Second

// listComplete reports whether the list of a data centre's workers names every worker on
// which a home before the one that started at a time can have started a task. Until then the
// earlier home may have read of workers that the list has if it was read later. The caller holds the lock.
func (in *Instance) listComplete(dataCentre string, homeStartedAt time.Time) bool {
	return in.workerTable.AsOf().After(homeStartedAt) &&
		in.workerTable.LoadedFor() > incompleteAfterLoss && time.Since(in.workerLeftAt[dataCentre]) > incompleteAfterLoss
}

// workersOf returns the known workers of a data centre. The caller holds the lock.
func (in *Instance) workersOf(dataCentre string) map[string]model.Worker {
	list := map[string]model.Worker{}
	for id, w := range in.knownWorkers {
		if w.DataCentre == dataCentre {
			list[id] = w
		}
	}
	return list
}

// removeMissing removes the workers whose missingGrace has passed.
func (in *Instance) removeMissing(now time.Time) {
	in.mu.Lock()
	removed := false
	for id, since := range in.missingSince {
		if now.Sub(since) < missingGrace {
			continue
		}
		delete(in.missingSince, id)
		in.removeWorker(id)
		removed = true
	}
	in.mu.Unlock()
	if removed {
		in.updateHomeWorkers()
	}
}

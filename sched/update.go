package sched

import (
	"slices"
	"strings"
	"time"

	"foxtailmux/model"
	"foxtailmux/queue"
	"foxtailmux/roster"
	"foxtailmux/worker"
)

// UpdateWorkers replaces the list of workers of all data centres. A worker that
// is missing from the list gets no new tasks; its attempts in progress continue.
func (s *Scheduler) UpdateWorkers(list []model.Worker) {
	s.mu.Lock()
	defer s.mu.Unlock()

	seen := map[string]bool{}
	s.remoteWorkers = s.remoteWorkers[:0]
	for _, info := range list {
		if info.DataCentre != s.dataCentre {
			s.remoteWorkers = append(s.remoteWorkers, info)
			continue
		}
		seen[info.ID] = true
		s.updateWorker(info)
	}

	for id, w := range s.workers {
		if !seen[id] {
			w.Client.Close()
			delete(s.workers, id)
		}
	}
	s.refreshOwned()
	s.dispatch()
}

func (s *Scheduler) updateWorker(info model.Worker) {
	w, known := s.workers[info.ID]
	if !known || w.Info.Addr != info.Addr {
		if known {
			w.Client.Close()
		}
		maxIdle := s.document.Intervals.IdleConn
		w = &worker.Worker{Client: worker.NewClient(info.Addr, s.dial, maxIdle)}
		s.workers[info.ID] = w
	}

	w.Info = info
	if info.State == model.Leaving {
		w.Leaving = true
	}
}

// NoResponseSince returns the owned workers whose last response is older than
// since, except for the leaving ones.
func (s *Scheduler) NoResponseSince(since time.Time) []roster.ProbeTarget {
	s.mu.Lock()
	defer s.mu.Unlock()

	var targets []roster.ProbeTarget
	for _, w := range s.owned {
		if !w.Leaving && w.LastResponse.Before(since) {
			targets = append(targets, roster.ProbeTarget{ID: w.Info.ID, Client: w.Client})
		}
	}
	return targets
}

// CloseIdleConnections closes the connections to workers that have been idle
// longer than the configured interval.
func (s *Scheduler) CloseIdleConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()

	for _, w := range s.workers {
		w.Client.CloseIdleConnections(s.document.Intervals.IdleConn)
	}
}

// SetLeaving records that a worker reported that it is leaving, so that it gets
// no new tasks.
func (s *Scheduler) SetLeaving(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()

	if w, ok := s.workers[id]; ok {
		w.Leaving = true
		s.dispatch()
	}
}

func (s *Scheduler) refreshOwned() {
	if s.policy == nil {
		return
	}

	s.owned = s.owned[:0]
	for id, w := range s.workers {
		w.Owner = s.ownerOf(id)
		if s.policy.MayStartOn(id, s.self, s.ownerOf) {
			s.owned = append(s.owned, w)
		}
	}
	slices.SortFunc(s.owned, func(a, b *worker.Worker) int {
		return strings.Compare(a.Info.ID, b.Info.ID)
	})
}

// NeverFits reports whether the pool has workers in any data centre and all of
// them are too small for the needs even when idle. It is false for a pool
// without listed workers.
func (s *Scheduler) NeverFits(pool string, needs model.Resources) bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	known := false
	for info := range s.allWorkers {
		if info.Pool != pool {
			continue
		}
		if needs.Within(info.Capacity) {
			return false
		}
		known = true
	}
	return known
}

// allWorkers yields the workers of all data centres. The lock is held.
func (s *Scheduler) allWorkers(yield func(model.Worker) bool) {
	for _, w := range s.workers {
		if !yield(w.Info) {
			return
		}
	}
	for _, info := range s.remoteWorkers {
		if !yield(info) {
			return
		}
	}
}

// Load returns the usable and free slots of the owned workers and the number of
// waiting tasks. Slots of leaving and of ejected workers are not usable; a worker
// that is probed after an ejection has one usable slot.
func (s *Scheduler) Load() model.Load {
	return s.loadWhere(func(*worker.Worker) bool { return true }, func(q *queue.Queue) int { return q.Len() })
}

// PoolLoad returns the part of Load that concerns one pool.
func (s *Scheduler) PoolLoad(pool string) model.Load {
	ofPool := func(w *worker.Worker) bool { return w.Info.Pool == pool }
	return s.loadWhere(ofPool, func(q *queue.Queue) int { return q.Waiting(pool).Tasks })
}

func (s *Scheduler) loadWhere(wanted func(*worker.Worker) bool, waiting func(*queue.Queue) int) model.Load {
	s.mu.Lock()
	defer s.mu.Unlock()

	now := time.Now()
	var load model.Load
	for _, w := range s.owned {
		if !wanted(w) {
			continue
		}
		slots := w.UsableSlots(now)
		load.Slots += slots
		load.FreeSlots += max(0, slots-w.Running)
	}
	if s.queue != nil {
		load.QueuedTasks = waiting(s.queue)
	}
	return load
}

// SlotsByOwner returns, for each entry instance, the number of slots of the
// pool's workers in this data centre that it owns. Leaving workers don't count.
func (s *Scheduler) SlotsByOwner(pool string) map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()

	slots := map[string]int{}
	for _, w := range s.workers {
		if w.Info.Pool == pool && !w.Leaving {
			slots[w.Owner] += w.Info.Slots
		}
	}
	return slots
}

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

// Update takes a list of workers. Workers that it lacks get no new work; the
// attempts that run on them go on.
func (s *Scheduler) Update(list []model.Worker) {
	s.mu.Lock()
	defer s.mu.Unlock()

	seen := map[string]bool{}
	s.elsewhere = s.elsewhere[:0]
	for _, info := range list {
		if info.DataCentre != s.dataCentre {
			s.elsewhere = append(s.elsewhere, info)
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
	s.pump()
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

// Quiet returns the owned workers that have not answered since then.
func (s *Scheduler) Quiet(since time.Time) []roster.Probe {
	s.mu.Lock()
	defer s.mu.Unlock()

	var quiet []roster.Probe
	for _, w := range s.owned {
		if !w.Leaving && w.Heard.Before(since) {
			quiet = append(quiet, roster.Probe{ID: w.Info.ID, Client: w.Client})
		}
	}
	return quiet
}

// CloseIdle closes the connections that were idle for too long.
func (s *Scheduler) CloseIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()

	for _, w := range s.workers {
		w.Client.CloseIdle(s.document.Intervals.IdleConn)
	}
}

// SetLeaving marks a worker that said itself that it leaves.
func (s *Scheduler) SetLeaving(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()

	if w, ok := s.workers[id]; ok {
		w.Leaving = true
		s.pump()
	}
}

func (s *Scheduler) refreshOwned() {
	if s.policy == nil {
		return
	}

	s.owned = s.owned[:0]
	for id, w := range s.workers {
		w.Home = s.owner(id)
		if s.policy.Owns(id, s.self, s.owner) {
			s.owned = append(s.owned, w)
		}
	}
	slices.SortFunc(s.owned, func(a, b *worker.Worker) int {
		return strings.Compare(a.Info.ID, b.Info.ID)
	})
}

// NeverFits reports whether workers of the pool are known in any data centre
// and none could hold the needs even when idle.
func (s *Scheduler) NeverFits(pool string, needs model.Needs) bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	known := false
	for info := range s.everyWorker {
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

// everyWorker yields the workers of all data centres. The lock is held.
func (s *Scheduler) everyWorker(yield func(model.Worker) bool) {
	for _, w := range s.workers {
		if !yield(w.Info) {
			return
		}
	}
	for _, info := range s.elsewhere {
		if !yield(info) {
			return
		}
	}
}

// Load returns the room that this instance has.
func (s *Scheduler) Load() model.Load {
	return s.loadWhere(func(*worker.Worker) bool { return true }, func(q *queue.Queue) int { return q.Len() })
}

// PoolLoad returns the room that this instance has for one pool.
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
		slots := w.Usable(now)
		load.Slots += slots
		load.FreeSlots += max(0, slots-w.Running)
	}
	if s.queue != nil {
		load.QueuedTasks = waiting(s.queue)
	}
	return load
}

// HomeSlots counts the slots of a pool's workers in this data centre by the
// instances that are their homes.
func (s *Scheduler) HomeSlots(pool string) map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()

	slots := map[string]int{}
	for _, w := range s.workers {
		if w.Info.Pool == pool && !w.Leaving {
			slots[w.Home] += w.Info.Slots
		}
	}
	return slots
}

package sched

import (
	"time"

	"foxtailmux/model"
)

// State is the scheduler's part of the state dump of the process.
type State struct {
	QueuedTasks int           `json:"queuedTasks"`
	QueuedJobs  int           `json:"queuedJobs"`
	Workers     []WorkerState `json:"workers"`
}

// WorkerState describes an owned worker. Running counts the attempts in
// progress, Used is the sum of the resources reserved for them, and Failures
// counts the failures since the last success.
type WorkerState struct {
	ID          string          `json:"id"`
	Addr        string          `json:"addr"`
	Pool        string          `json:"pool"`
	Slots       int             `json:"slots"`
	Running     int             `json:"running"`
	Used        model.Resources `json:"used"`
	Connections int             `json:"connections"`
	Leaving     bool            `json:"leaving"`
	Failures    int             `json:"failures"`
	Ejected     bool            `json:"ejected"`
}

// State returns a snapshot of the queue and of the owned workers, sorted by ID.
func (s *Scheduler) State() State {
	s.mu.Lock()
	defer s.mu.Unlock()

	now := time.Now()
	state := State{Workers: make([]WorkerState, 0, len(s.owned))}
	if s.queue != nil {
		state.QueuedTasks = s.queue.Len()
		state.QueuedJobs = s.queue.JobCount()
	}
	for _, w := range s.owned {
		state.Workers = append(state.Workers, WorkerState{
			ID:          w.Info.ID,
			Addr:        w.Info.Addr,
			Pool:        w.Info.Pool,
			Slots:       w.Info.Slots,
			Running:     w.Running,
			Used:        w.Reserved,
			Connections: w.Client.OpenConnections(),
			Leaving:     w.Leaving,
			Failures:    w.Health.Failures,
			Ejected:     w.Health.Ejected(now),
		})
	}
	return state
}

package sched

import (
	"time"

	"foxtailmux/model"
)

// State is what a dump of the process shows of the scheduler.
type State struct {
	QueuedTasks int           `json:"queuedTasks"`
	QueuedJobs  int           `json:"queuedJobs"`
	Workers     []WorkerState `json:"workers"`
}

// WorkerState describes a worker that this instance starts tasks on.
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

// State returns a copy of what the scheduler knows.
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
			Used:        w.Used,
			Connections: w.Client.Open(),
			Leaving:     w.Leaving,
			Failures:    w.Health.Failures,
			Ejected:     w.Health.Ejected(now),
		})
	}
	return state
}

package home

import (
	"time"

	"foxtailmux/model"
)

// State is the dump of a home.
type State struct {
	DataCentre string                 `json:"dataCentre"`
	Token      int64                  `json:"token"`
	Jobs       int                    `json:"jobs"`
	Waiting    int                    `json:"waitingJobs"`
	Workers    map[string]WorkerState `json:"workers"`
}

// WorkerState is the dump of one worker in use.
type WorkerState struct {
	Addr         string            `json:"addr"`
	State        model.WorkerState `json:"state"`
	Reported     bool              `json:"listed"`
	Removed      bool              `json:"gone,omitempty"`
	Health       int               `json:"trust"`
	Slowdown     float64           `json:"pace"`
	Runs         int               `json:"runs"`
	Stopping     int               `json:"stopping"` // of Runs
	Free         model.Resources   `json:"free"`
	LastResponse time.Time         `json:"heardAt"`
}

// State returns the dump.
func (h *Home) State() State {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := State{
		DataCentre: h.options.DataCentre,
		Token:      h.options.Token,
		Jobs:       len(h.jobs),
		Waiting:    len(h.waiting),
		Workers:    map[string]WorkerState{},
	}
	now := time.Now()
	for id, u := range h.units {
		s.Workers[id] = WorkerState{
			Addr: u.worker.Addr, State: u.worker.State, Reported: u.listed, Removed: u.gone,
			Health: int(u.health.State(now)), Slowdown: u.health.Slowdown(),
			Runs: u.book.Len(), Stopping: u.book.StoppingCount(), Free: u.book.Free(), LastResponse: u.book.LastResponse(),
		}
	}
	return s
}

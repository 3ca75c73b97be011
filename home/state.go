package home

import (
	"time"

	"foxtailmux/model"
)

// State is the dump of a home.
type State struct {
	DataCentre string               `json:"dataCentre"`
	Token      int64                `json:"token"`
	Jobs       int                  `json:"jobs"`
	Waiting    int                  `json:"waitingJobs"`
	Workers    map[string]UnitState `json:"workers"`
}

// UnitState is the dump of one worker in use.
type UnitState struct {
	Addr     string            `json:"addr"`
	State    model.WorkerState `json:"state"`
	Listed   bool              `json:"listed"`
	Gone     bool              `json:"gone,omitempty"`
	Trust    int               `json:"trust"`
	Pace     float64           `json:"pace"`
	Runs     int               `json:"runs"`
	Stopping int               `json:"stopping"` // of Runs
	Free     model.Needs       `json:"free"`
	HeardAt  time.Time         `json:"heardAt"`
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
		Workers:    map[string]UnitState{},
	}
	now := time.Now()
	for id, u := range h.units {
		s.Workers[id] = UnitState{
			Addr: u.worker.Addr, State: u.worker.State, Listed: u.listed, Gone: u.gone,
			Trust: int(u.health.Trust(now)), Pace: u.health.Pace(),
			Runs: u.book.Len(), Stopping: u.book.Stopping(), Free: u.book.Free(), HeardAt: u.book.HeardAt(),
		}
	}
	return s
}

package home

import (
	"time"

	"foxtailmux/model"
	"foxtailmux/share"
	"foxtailmux/speed"
)

// State is the state dump of a home.
type State struct {
	DataCentre string                 `json:"dataCentre"`
	Token      int64                  `json:"token"`
	InForce    bool                   `json:"inForce"`   // it may extend leases and start tasks
	RunsKnown  bool                   `json:"runsKnown"` // no worker can have an unreported run of an earlier home
	Jobs       int                    `json:"jobs"`
	Waiting    int                    `json:"waitingJobs"`
	Runs       int                    `json:"runs"`
	Drained    bool                   `json:"drained,omitempty"`
	Speeds     []speed.Kind           `json:"speeds,omitempty"` // learned, by kind of worker
	Workers    map[string]WorkerState `json:"workers"`
	Shares     map[string]share.State `json:"shares,omitempty"` // by service
}

// WorkerState is the state dump of one worker.
type WorkerState struct {
	Addr         string            `json:"addr"`
	State        model.WorkerState `json:"state"`
	Reported     bool              `json:"listed"`         // its runs
	Removed      bool              `json:"gone,omitempty"` // from the list of workers
	Health       int               `json:"trust"`          // value of plan.HealthState
	Slowdown     float64           `json:"pace"`           // of the latest runs, over what is usual for the worker
	Factor       float64           `json:"factor"`         // on the run times, learned; 1 is usual
	Runs         int               `json:"runs"`
	Stopping     int               `json:"stopping"` // part of Runs
	Free         model.Resources   `json:"free"`
	LastResponse time.Time         `json:"heardAt"`
}

// State returns the state dump.
func (h *Home) State() State {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	s := State{
		DataCentre: h.options.DataCentre,
		Token:      h.options.Token,
		InForce:    h.isInForce(now),
		RunsKnown:  h.allRunsKnown(now),
		Jobs:       len(h.jobs),
		Waiting:    len(h.waiting),
		Runs:       h.runCount(),
		Drained:    h.isDrained(),
		Workers:    map[string]WorkerState{},
		Shares:     h.shareStates(now),
	}
	if h.options.LearnSpeeds {
		s.Speeds = h.speedKinds()
	}
	for id, w := range h.workers {
		s.Workers[id] = WorkerState{
			Addr: w.info.Addr, State: w.info.State, Reported: w.reported, Removed: w.removed,
			Health: int(w.health.State(now)), Slowdown: w.health.Slowdown(), Factor: w.speed.Factor(),
			Runs: w.tracker.Len(), Stopping: w.tracker.StoppingCount(), Free: w.tracker.Free(), LastResponse: w.tracker.LastResponse(),
		}
	}
	return s
}

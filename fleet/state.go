package fleet

import (
	"foxtailmux/beat"
	"foxtailmux/home"
	"foxtailmux/model"
)

// State is the state dump of an instance for operators.
type State struct {
	Self     beat.Peer              `json:"self"`
	Ready    bool                   `json:"ready"`
	NotReady string                 `json:"notReady,omitempty"`
	Leaving  bool                   `json:"leaving"`
	Open     int                    `json:"openRequests"`
	Routing  *model.Routing         `json:"routing"`
	Homes    map[string]home.State  `json:"homes"`    // homes that this instance is, by data centre
	Owners   map[string]homeRow     `json:"owners"`   // home rows, by data centre
	Peers    map[string]beat.Status `json:"peers"`    // live peers, by name
	Workers  int                    `json:"workers"`  // number of known workers
	Held     int                    `json:"held"`     // submissions that wait for the end of earlier ones
	OpenJobs int                    `json:"openJobs"` // announced jobs, of this and of other instances
	Drained  map[string]DrainState  `json:"drained"`  // requests to drain data centres, by data centre
}

func (in *Instance) state() State {
	s := State{
		Self:    in.self,
		Ready:   true,
		Leaving: in.leaving.Load(),
		Open:    in.callerServer.Open(),
		Routing: in.routing.Load(),
		Homes:   map[string]home.State{},
		Owners:  map[string]homeRow{},
		Peers:   in.heartbeats.AlivePeers(),

		Held:     in.held.Len(),
		OpenJobs: in.openJobs.Len(),
		Drained:  in.drainState(),
	}
	if err := in.Ready(); err != nil {
		s.Ready, s.NotReady = false, err.Error()
	}
	for _, dc := range in.dataCentres() {
		s.Owners[dc], _ = in.homeOf(dc)
	}
	for dc, h := range in.homesByCentre() {
		s.Homes[dc] = h.State()
	}
	in.mu.Lock()
	defer in.mu.Unlock()
	s.Workers = len(in.knownWorkers)
	return s
}

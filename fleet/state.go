package fleet

import (
	"foxtailmux/beat"
	"foxtailmux/home"
	"foxtailmux/model"
)

// State is the dump of an instance.
type State struct {
	Self     beat.Peer              `json:"self"`
	Ready    bool                   `json:"ready"`
	NotReady string                 `json:"notReady,omitempty"`
	Leaving  bool                   `json:"leaving"`
	Open     int                    `json:"openRequests"`
	Routing  *model.Routing         `json:"routing"`
	Homes    map[string]home.State  `json:"homes"`
	Owners   map[string]homeRow     `json:"owners"`
	Peers    map[string]beat.Status `json:"peers"`
	Workers  int                    `json:"workers"`
}

func (f *Instance) state() State {
	s := State{
		Self:    f.self,
		Ready:   true,
		Leaving: f.leaving.Load(),
		Open:    f.front.Open(),
		Routing: f.routing.Load(),
		Homes:   map[string]home.State{},
		Owners:  map[string]homeRow{},
		Peers:   f.beats.AlivePeers(),
	}
	if err := f.Ready(); err != nil {
		s.Ready, s.NotReady = false, err.Error()
	}
	for _, dc := range f.dataCentres() {
		s.Owners[dc], _ = f.homeOf(dc)
	}
	for dc, h := range f.homesHere() {
		s.Homes[dc] = h.State()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	s.Workers = len(f.known)
	return s
}

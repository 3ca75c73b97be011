package fleet

import (
	"context"
	"encoding/json"
	"time"

	"foxtailmux/home"
	"foxtailmux/model"
)

// room returns what the home of a data centre told of its room last.
func (f *Instance) room(dataCentre string) model.FreeCapacity {
	owner, _ := f.homeOf(dataCentre)
	if owner.Instance == f.self.Instance {
		if h := f.localHome(dataCentre); h != nil {
			return h.FreeCapacity()
		}
		return model.FreeCapacity{}
	}
	m := f.beats.Status(owner.Instance)
	room := m.Homes[dataCentre]
	f.mu.Lock()
	defer f.mu.Unlock()
	if d := f.debits[dataCentre]; d.heardAt.Equal(m.LastHeartbeat) {
		room.Free -= d.processor
	}
	return room
}

// debit is what was sent to a home since its last heartbeat.
type debit struct {
	heardAt   time.Time
	processor int
}

// debit takes the claim of a job off the room that its home told, so that jobs
// between two heartbeats do not all go to the same one.
func (f *Instance) debit(dataCentre string, s home.Submission) {
	owner, _ := f.homeOf(dataCentre)
	heardAt := f.beats.Status(owner.Instance).LastHeartbeat
	processor := 0
	for _, step := range s.Batch.Steps {
		tasks := step.Replicas
		if s.Part != nil {
			tasks = s.Part.Count
		}
		processor += tasks * step.Needs.TotalMilliCores()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	d := f.debits[dataCentre]
	if !d.heardAt.Equal(heardAt) {
		d = debit{heardAt: heardAt}
	}
	d.processor += processor
	f.debits[dataCentre] = d
}

// roomElsewhere returns the data centre that has most room, if it has room for
// a claim on processors. It runs under the lock of a home, so it asks no home.
func (f *Instance) roomElsewhere(except string, processor int) (string, bool) {
	best, most := "", 0
	for _, dc := range f.otherCentres(except) {
		if _, ok := f.inReach(dc); !ok {
			continue
		}
		m, _ := f.homeOf(dc)
		if m.Instance == f.self.Instance {
			continue
		}
		room := f.room(dc)
		if spare := room.Free - room.Waiting; spare >= processor && spare > most {
			best, most = dc, spare
		}
	}
	return best, best != ""
}

func (f *Instance) otherCentres(except string) []string {
	var list []string
	for _, dc := range f.dataCentres() {
		if dc != except {
			list = append(list, dc)
		}
	}
	return list
}

// routingTimeout bounds the fetch of a configuration from a peer.
const routingTimeout = time.Second

// fetchRouting takes a newer configuration from a peer, for the time in which
// the store is out of reach for this instance.
func (f *Instance) fetchRouting(instance string) {
	ctx, cancel := context.WithTimeout(f.ctx, routingTimeout)
	defer cancel()
	var r model.Routing
	if err := f.peers.Call(ctx, instance, methodRouting, struct{}{}, &r); err != nil {
		f.log.Info().Err(err).Str("peer", instance).Msg("configuration not fetched")
		return
	}
	if r.Version > 0 {
		f.applyRouting(&r, "peer "+instance)
	}
}

func (f *Instance) serveRouting(context.Context, json.RawMessage) (any, error) {
	if r := f.routing.Load(); r != nil {
		return r, nil
	}
	return model.Routing{}, nil
}

package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"foxtailmux/beat"
	"foxtailmux/model"
	"foxtailmux/table"
)

// The tables of this program.
const (
	homesTable = "homes" // a row for each data centre: homeRow
	nodesTable = "nodes" // a row for each instance: beat.Peer
)

// homeRow says who is the home of a data centre's workers. The version of the
// row is the fencing token.
type homeRow struct {
	Instance    string `json:"instance"`
	Incarnation string `json:"incarnation"`
}

func homeKey(dataCentre string) string { return homesTable + "/" + dataCentre }

// homeOf returns who is the home of a data centre by the store.
func (f *Instance) homeOf(dataCentre string) (owner homeRow, token int64) {
	row := f.homes.Get(homeKey(dataCentre))
	if row.Version == 0 {
		return homeRow{}, 0
	}
	if err := json.Unmarshal(row.Value, &owner); err != nil {
		f.log.Error().Err(err).Str("row", row.Key).Msg("row not understood")
		return homeRow{}, row.Version
	}
	return owner, row.Version
}

// onConfig takes the operator's configuration.
func (f *Instance) onConfig(rows []table.Row) {
	for _, row := range rows {
		if row.Key != f.names.ConfigKey || row.Deleted {
			continue
		}
		routing, err := f.adapter.DecodeRouting(row)
		if err != nil {
			f.log.Error().Err(err).Int64("rowVersion", row.Version).Msg("configuration not understood")
			continue
		}
		f.applyRouting(&routing, "store")
	}
}

// applyRouting brings a configuration into force unless a newer one is.
func (f *Instance) applyRouting(r *model.Routing, source string) {
	for {
		old := f.routing.Load()
		if old != nil && old.Version >= r.Version {
			return
		}
		if !f.routing.CompareAndSwap(old, r) {
			continue
		}
		if old == nil {
			close(f.configured)
		}
		break
	}
	f.meter.ConfigVersion(r.Version)
	f.log.Info().Int64("version", r.Version).Int("routes", len(r.Routes)).Str("source", source).Msg("configuration in force")
}

// firstRead is the time after the first read of a table in which its rows are
// those that stood in it before.
const firstRead = 50 * time.Millisecond

func (f *Instance) onHomes(rows []table.Row) {
	fresh := f.homes.LoadedFor() > firstRead
	for _, row := range rows {
		if fresh {
			f.mu.Lock()
			f.claimedAt[strings.TrimPrefix(row.Key, homesTable+"/")] = time.Now()
			f.mu.Unlock()
		}
		f.log.Info().Str("row", row.Key).Int64("token", row.Version).RawJSON("owner", row.Value).Msg("home changed")
	}
	f.changed.fire()
}

// onNodes takes the list of instances.
func (f *Instance) onNodes(rows []table.Row) {
	for _, row := range rows {
		name := strings.TrimPrefix(row.Key, nodesTable+"/")
		if name == f.self.Instance {
			continue
		}
		if row.Deleted {
			f.beats.RemovePeer(name)
			f.peers.RemovePeer(name)
			continue
		}
		var p beat.Peer
		if err := json.Unmarshal(row.Value, &p); err != nil || p.Instance != name {
			f.log.Warn().Err(err).Str("row", row.Key).Msg("instance not understood")
			continue
		}
		f.beats.SetPeer(p)
		f.peers.SetPeer(p.Instance, p.Addr)
	}
	f.changed.fire()
}

const (
	// registerRetry is the time between two tries to register.
	registerRetry = 200 * time.Millisecond

	// registerPoll is the time between looks whether the list was read; the store
	// answers within a few milliseconds.
	registerPoll = 5 * time.Millisecond
)

// register makes sure that the list holds this instance. One that is there already is not
// written again: after a restart of a large fleet the claims of the homes would wait
// behind the rows of all instances, which the store writes one after the other.
func (f *Instance) register(ctx context.Context) {
	value, err := json.Marshal(f.self)
	if err != nil {
		f.log.Error().Err(eris.Wrap(err, "encode")).Msg("instance not registered")
		return
	}
	key := nodesTable + "/" + f.self.Instance
	for pause := registerPoll; ctx.Err() == nil; {
		if f.nodes.IsLoaded() {
			if bytes.Equal(f.nodes.Get(key).Value, value) {
				return
			}
			pause = registerRetry
			if _, err := f.store.Commit(ctx, table.Transaction{Puts: []table.Put{{Key: key, Value: value}}}); err == nil {
				return
			} else {
				f.log.Warn().Err(err).Msg("instance not registered yet")
			}
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
}

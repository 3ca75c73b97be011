package fleet

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"foxtailmux/beat"
	"foxtailmux/model"
	"foxtailmux/table"
)

// onConfig handles changes of the operator's table.
func (in *Instance) onConfig(rows []table.Row) {
	in.onDrainRows(rows)
	for _, row := range rows {
		if row.Key != in.tables.ConfigKey || row.Deleted {
			continue
		}
		routing, err := in.adapter.DecodeRouting(row)
		if err != nil {
			in.log.Error().Err(err).Int64("rowVersion", row.Version).Msg("configuration not decoded")
			continue
		}
		in.applyRouting(&routing, "store")
	}
}

// applyRouting puts a configuration into force unless a newer one already is.
func (in *Instance) applyRouting(r *model.Routing, source string) {
	for {
		old := in.routing.Load()
		if old != nil && old.Version >= r.Version {
			return
		}
		if !in.routing.CompareAndSwap(old, r) {
			continue
		}
		if old == nil {
			close(in.configured)
		}
		break
	}
	in.meter.ConfigVersion(r.Version)
	in.log.Info().Int64("version", r.Version).Int("routes", len(r.Routes)).Str("source", source).Msg("configuration in force")
}

const (
	// routingTimeout bounds the request for a configuration to a peer.
	routingTimeout = time.Second

	// routingRetryDelay is the time between two such requests.
	routingRetryDelay = 250 * time.Millisecond
)

// fetchNewerRouting fetches the configuration of a live peer if it is newer than the own one.
func (in *Instance) fetchNewerRouting() {
	own := int64(0)
	if r := in.routing.Load(); r != nil {
		own = r.Version
	}
	in.fetchNewer(&in.fetchingRouting, own, func(s beat.Status) int64 { return s.RoutingVersion }, in.fetchRouting)
}

// fetchNewer calls fetch in the background with the live peer whose heartbeat has the newest version, if
// that is newer than the own one and no other fetch is in progress. The next review tries again until the
// own version is as new.
func (in *Instance) fetchNewer(busy *atomic.Bool, own int64, version func(beat.Status) int64, fetch func(peerID string)) {
	newest, peerID := own, ""
	for id, s := range in.heartbeats.AlivePeers() {
		if v := version(s); v > newest {
			newest, peerID = v, id
		}
	}
	if peerID == "" || !busy.CompareAndSwap(false, true) {
		return
	}
	in.background.Go(func() {
		defer busy.Store(false)
		fetch(peerID)
		select {
		case <-time.After(routingRetryDelay):
		case <-in.ctx.Done():
		}
	})
}

// fetchRouting applies the configuration of a peer if it is newer. Covers the case that
// the peer can reach the store and this instance can't.
func (in *Instance) fetchRouting(instance string) {
	ctx, cancel := context.WithTimeout(in.ctx, routingTimeout)
	defer cancel()
	var r model.Routing
	if err := in.peers.Call(ctx, instance, methodRouting, struct{}{}, &r); err != nil {
		in.log.Info().Err(err).Str("peer", instance).Msg("configuration not fetched from peer")
		return
	}
	if r.Version > 0 {
		in.applyRouting(&r, "peer "+instance)
	}
}

// serveRouting returns the configuration in force, and one of version 0 before the first.
func (in *Instance) serveRouting(context.Context, json.RawMessage) (any, error) {
	if r := in.routing.Load(); r != nil {
		return r, nil
	}
	return model.Routing{}, nil
}

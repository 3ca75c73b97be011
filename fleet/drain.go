package fleet

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"foxtailmux/beat"
	"foxtailmux/drain"
	"foxtailmux/home"
	"foxtailmux/table"
)

// onDrainRows handles changes of the operator's table that drain a data centre or take that back.
func (in *Instance) onDrainRows(rows []table.Row) {
	set := drain.Set{Rows: map[string]int64{}}
	for _, row := range rows {
		if strings.HasPrefix(row.Key, in.tables.DrainPrefix) {
			set.Version = max(set.Version, row.Version)
		}
	}
	if set.Version == 0 {
		return
	}
	for key, row := range in.configTable.Rows() {
		if dc, ok := strings.CutPrefix(key, in.tables.DrainPrefix); ok {
			set.Rows[dc] = row.Version
		}
	}
	// A request that is there at the first read may have been in force for any time.
	in.applyDrains(set, "store", in.configTable.LoadedFor() > initialReadWindow)
}

// applyDrains acts on the requests to drain data centres unless those known are as new. Fresh reports
// that new ones in the set were made just now.
func (in *Instance) applyDrains(set drain.Set, source string, fresh bool) {
	before, after, ok := in.updateDrains(set, fresh)
	if !ok {
		return
	}
	drained, takenBack := drain.Difference(before, after)
	for _, dc := range drained {
		request, _ := after.Of(dc)
		in.log.Warn().Str("drained", dc).Int64("requestVersion", request.Version).Int64("version", set.Version).
			Bool("known", in.isKnown(dc)).Bool("fresh", fresh).Str("source", source).Msg("data centre is drained")
	}
	for _, dc := range takenBack {
		in.log.Warn().Str("drained", dc).Int64("version", set.Version).Str("source", source).Msg("data centre is no longer drained")
	}
	for _, dc := range append(drained, takenBack...) {
		if h := in.localHome(dc); h != nil {
			h.ReviewDrain()
		}
	}
	in.changed.notify()
}

// updateDrains replaces the requests, and returns those before and after. It reports false if the set
// is not newer.
func (in *Instance) updateDrains(set drain.Set, fresh bool) (before, after *drain.Requests, ok bool) {
	for {
		before = in.drains.Load()
		if after, ok = before.Update(set, time.Now(), fresh); !ok {
			return before, after, false
		}
		if in.drains.CompareAndSwap(before, after) {
			return before, after, true
		}
	}
}

// isKnown reports whether a data centre has workers or a home row.
func (in *Instance) isKnown(dataCentre string) bool {
	return slices.Contains(in.dataCentres(), dataCentre)
}

// drainOf returns the request to drain a data centre, and false if there is none.
func (in *Instance) drainOf(dataCentre string) (drain.Request, bool) {
	return in.drains.Load().Of(dataCentre)
}

func (in *Instance) isDrained(dataCentre string) bool {
	_, ok := in.drainOf(dataCentre)
	return ok
}

// allDrained reports whether no data centre may start a task.
func (in *Instance) allDrained() bool {
	requests := in.drains.Load()
	return len(requests.All()) > 0 && requests.AllDrained(in.dataCentres())
}

// fetchNewerDrains fetches the requests to drain data centres from a live peer that has newer ones.
// Covers instances that the store turns away, and homes among them.
func (in *Instance) fetchNewerDrains() {
	version := func(s beat.Status) int64 { return s.DrainVersion }
	in.fetchNewer(&in.fetchingDrains, in.drains.Load().Version(), version, in.fetchDrains)
}

func (in *Instance) fetchDrains(instance string) {
	ctx, cancel := context.WithTimeout(in.ctx, routingTimeout)
	defer cancel()
	var set drain.Set
	if err := in.peers.Call(ctx, instance, methodDrains, struct{}{}, &set); err != nil {
		in.log.Info().Err(err).Str("peer", instance).Msg("drained data centres not fetched from peer")
		return
	}
	in.applyDrains(set, "peer "+instance, false)
}

// serveDrains returns the requests to drain data centres.
func (in *Instance) serveDrains(context.Context, json.RawMessage) (any, error) {
	return in.drains.Load().Set(), nil
}

// declineStart returns the requests to drain data centres if an origin must not send a start for a
// home: the data centre is drained, and the home has older requests. One with the same requests has
// decided by them.
func (in *Instance) declineStart(r startRequest) *drain.Set {
	requests := in.drains.Load()
	if _, ok := requests.Of(r.DataCentre); !ok || r.DrainVersion >= requests.Version() {
		return nil
	}
	set := requests.Set()
	return &set
}

// DrainState is the state dump of a request to drain a data centre. Since is when this instance
// read it, and zero if it was in force before. Runs is the number of runs left there if the home is
// this instance, and -1 otherwise.
type DrainState struct {
	drain.Request
	Known bool `json:"known"` // the data centre has workers or a home
	Runs  int  `json:"runs"`
}

// drainState returns the state dump of the requests, by data centre.
func (in *Instance) drainState() map[string]DrainState {
	states := map[string]DrainState{}
	for dc, request := range in.drains.Load().All() {
		states[dc] = DrainState{Request: request, Known: in.isKnown(dc), Runs: runCount(in.localHome(dc))}
	}
	return states
}

// runCount returns the number of runs at a home, and -1 without one.
func runCount(h *home.Home) int {
	if h == nil {
		return -1
	}
	return h.RunCount()
}

// recordDrains sets the metrics of the requests and of the runs that are left at the drained homes of
// this instance.
func (in *Instance) recordDrains() {
	requests, runs := in.drains.Load().All(), 0
	for dc := range requests {
		runs += max(runCount(in.localHome(dc)), 0)
	}
	in.meter.DrainedDataCentres(len(requests))
	in.meter.DrainedRuns(runs)
}

package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"net/netip"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"foxtailmux/beat"
	"foxtailmux/table"
)

// The tables that entry instances write.
const (
	homesTableName     = "homes" // a homeRow for each data centre
	instancesTableName = "nodes" // a beat.Peer for each instance
)

// homeRow records the home of a data centre. The version of the row is the fencing token.
type homeRow struct {
	Instance    string `json:"instance"`
	Incarnation string `json:"incarnation"`
}

func homeKey(dataCentre string) string { return homesTableName + "/" + dataCentre }

// homeOf returns the home of a data centre and its fencing token, as recorded in the store.
func (in *Instance) homeOf(dataCentre string) (owner homeRow, token int64) {
	row := in.homeTable.Get(homeKey(dataCentre))
	if row.Version == 0 {
		return homeRow{}, 0
	}
	if err := json.Unmarshal(row.Value, &owner); err != nil {
		in.log.Error().Err(err).Str("row", row.Key).Msg("home row not decoded")
		return homeRow{}, row.Version
	}
	return owner, row.Version
}

// homeConfirmedAt returns a time at which the store had no later home than that with a token, the latest that is known.
// It returns the zero time if there is one.
func (in *Instance) homeConfirmedAt(dataCentre string, token int64) time.Time {
	asOf := in.homeTable.AsOf() // before the row, which may be newer
	if in.homeTable.Get(homeKey(dataCentre)).Version != token {
		return time.Time{}
	}
	return asOf
}

// confirmHomes reads the homes' table at once, unless such a read is under way.
func (in *Instance) confirmHomes() {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.homesRead != nil {
		select {
		case <-in.homesRead:
		default:
			return
		}
	}
	in.homesRead = in.homeTable.ReadNow()
}

// initialReadWindow is the time after the first read of a table in which its rows count
// as older than this instance.
const initialReadWindow = 50 * time.Millisecond

// onHomes handles changes of the homes table.
func (in *Instance) onHomes(rows []table.Row) {
	fresh := in.homeTable.LoadedFor() > initialReadWindow
	for _, row := range rows {
		if fresh {
			in.mu.Lock()
			in.homeChangedAt[strings.TrimPrefix(row.Key, homesTableName+"/")] = time.Now()
			in.mu.Unlock()
		}
		in.log.Info().Str("row", row.Key).Int64("token", row.Version).RawJSON("owner", row.Value).Msg("home changed")
	}
	in.changed.notify()
}

// onInstances handles changes of the instances table.
func (in *Instance) onInstances(rows []table.Row) {
	for _, row := range rows {
		name := strings.TrimPrefix(row.Key, instancesTableName+"/")
		if name == in.self.Instance {
			continue
		}
		if row.Deleted {
			in.heartbeats.RemovePeer(name)
			in.peers.RemovePeer(name)
			continue
		}
		var p beat.Peer
		err := json.Unmarshal(row.Value, &p)
		if err == nil {
			_, err = netip.ParseAddrPort(p.Addr) // a host name would be looked up for each heartbeat
		}
		if err != nil || p.Instance != name {
			in.log.Warn().Err(err).Str("row", row.Key).Msg("instance row not decoded")
			continue
		}
		in.heartbeats.SetPeer(p)
		in.peers.SetPeer(p.Instance, p.Addr)
	}
	in.changed.notify()
}

// ownRow returns the row of this instance in the instances table.
func (in *Instance) ownRow() (table.Row, error) {
	value, err := json.Marshal(in.self)
	return table.Row{Key: instancesTableName + "/" + in.self.Instance, Value: value}, eris.Wrap(err, "encode")
}

// isRegistered reports whether the instances table names this instance with its present address.
func (in *Instance) isRegistered() bool {
	row, err := in.ownRow()
	return err == nil && bytes.Equal(in.instanceTable.Get(row.Key).Value, row.Value)
}

// registerRetryInterval is the time between two attempts to register.
const registerRetryInterval = 200 * time.Millisecond

// register keeps a row for this instance in the instances table until the context ends: instances
// without a row receive no heartbeats and no calls. An unchanged row is not written again: the store
// writes one row after the other, so after a restart of a large fleet the claims of homes would wait
// behind the rows of all instances.
func (in *Instance) register(ctx context.Context) {
	row, err := in.ownRow()
	if err != nil {
		in.log.Error().Err(err).Msg("instance not registered")
		return
	}
	put := table.Transaction{Puts: []table.Put{{Key: row.Key, Value: row.Value}}}
	for ctx.Err() == nil {
		next := in.changed.wait()
		if !in.instanceTable.IsLoaded() || in.isRegistered() {
			select {
			case <-next:
			case <-ctx.Done():
			}
			continue
		}
		commit, err := in.store.Commit(ctx, put)
		if err != nil {
			in.log.Warn().Err(err).Msg("instance not registered, will retry")
		} else {
			in.log.Info().Int64("version", commit.Version).Msg("instance registered")
			row.Version = commit.Version
			in.instanceTable.ApplyWrite(row)
		}
		select {
		case <-time.After(registerRetryInterval):
		case <-ctx.Done():
		}
	}
}

package daemon

import (
	"context"
	"encoding/json"

	"github.com/rotisserie/eris"

	"foxtailmux/config"
)

// methodConfig answers with the version in force and its place in the history.
const methodConfig = "config.get"

// configQuery asks for the version of that digest. After is the number of the
// version that the asking instance has.
type configQuery struct {
	After  int64  `json:"after"`
	Digest string `json:"digest"`
}

// serveConfig gives a peer the version in force if it is the one asked for.
func (d *Daemon) serveConfig(_ context.Context, params json.RawMessage) (any, error) {
	var q configQuery
	if err := json.Unmarshal(params, &q); err != nil {
		return nil, eris.Wrap(err, "decode the query")
	}
	return d.watcher.VersionForPeer(q.After, q.Digest)
}

// fetchFromPeer asks the peers that have a version in force for it.
func (d *Daemon) fetchFromPeer(ctx context.Context, after, number int64, digest string) (config.PeerVersion, error) {
	failure := eris.Errorf("no peer has version %d", number)
	for _, m := range d.members.Members() {
		if m.Entry.ID == d.self.ID || m.ConfigDigest != digest {
			continue
		}

		var s config.PeerVersion
		err := d.peers.Call(ctx, m.Entry.ID, methodConfig, configQuery{After: after, Digest: digest}, &s)
		if err == nil {
			return s, nil
		}
		failure = err
	}
	return config.PeerVersion{}, failure
}

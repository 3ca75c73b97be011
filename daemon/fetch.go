package daemon

import (
	"context"
	"encoding/json"

	"github.com/rotisserie/eris"

	"foxtailmux/config"
)

// methodConfig is the method by which an instance fetches a configuration version and its
// history from a peer, such as while the store can't be read.
const methodConfig = "config.get"

// configQuery requests the configuration version with the digest. After is the number of the
// version that the requesting instance has in force.
type configQuery struct {
	After  int64  `json:"after"`
	Digest string `json:"digest"`
}

// serveConfig returns the version in force to a peer if it has the requested digest.
func (d *Daemon) serveConfig(_ context.Context, params json.RawMessage) (any, error) {
	var q configQuery
	if err := json.Unmarshal(params, &q); err != nil {
		return nil, eris.Wrap(err, "decode the query")
	}
	return d.configWatcher.VersionForPeer(q.After, q.Digest)
}

// fetchFromPeer requests a configuration version, one after the other, from the peers that
// have it in force.
func (d *Daemon) fetchFromPeer(ctx context.Context, after, number int64, digest string) (config.PeerVersion, error) {
	failure := eris.Errorf("no peer has version %d", number)
	for _, m := range d.members.Members() {
		if m.Entry.ID == d.self.ID || m.ConfigDigest != digest {
			continue
		}

		var v config.PeerVersion
		err := d.peers.Call(ctx, m.Entry.ID, methodConfig, configQuery{After: after, Digest: digest}, &v)
		if err == nil {
			return v, nil
		}
		failure = err
	}
	return config.PeerVersion{}, failure
}

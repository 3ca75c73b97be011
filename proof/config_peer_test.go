package proof

import (
	"context"
	"encoding/json"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"foxtailmux/config"
	"foxtailmux/fakes"
	"foxtailmux/member"
	"foxtailmux/model"
	"foxtailmux/peer"
)

// advertisedVersion is a configuration that a fake peer pretends to have in force.
type advertisedVersion struct {
	number   int64
	response config.PeerVersion
}

// newAdvertisedVersion returns a version whose only entry continues the entry with
// the hash previous.
func newAdvertisedVersion(number int64, doc config.Document, previous string) advertisedVersion {
	entry := config.Entry{Number: number, Digest: doc.Digest(), Who: "nobody", Why: "none", Previous: previous}
	entry.Hash = entry.ComputeHash()
	return advertisedVersion{number, config.PeerVersion{Document: doc.Canonical(), Entries: []config.Entry{entry}}}
}

// fakePeer is a peer in the test's process. It only exchanges heartbeats and
// responds to config.get requests with the version that it advertises.
type fakePeer struct {
	advertised atomic.Pointer[advertisedVersion]
	requests   atomic.Int64
}

// startFakePeer starts a peer that joins the group of the seeds.
func startFakePeer(t *testing.T, o advertisedVersion, seeds ...*process) *fakePeer {
	t.Helper()

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c := &fakePeer{}
	c.advertised.Store(&o)
	self := model.Entry{ID: "claimant", Incarnation: "claimant-1", DataCentre: "kochi", PeerAddr: listener.Addr().String()}
	group := peer.New(peer.Options{Self: self, Listen: func(string) (net.Listener, error) { return listener, nil }})
	group.Handle("config.get", func(context.Context, json.RawMessage) (any, error) {
		c.requests.Add(1)
		return c.advertised.Load().response, nil
	})
	var addrs []string
	for _, p := range seeds {
		addrs = append(addrs, p.field("peers"))
	}
	members := member.New(member.Options{Self: self, Seeds: addrs, Transport: group, Config: c.config})

	if err := group.Start(); err != nil {
		t.Fatal(err)
	}
	members.Start()
	t.Cleanup(func() {
		members.Close()
		if err := group.Close(context.Background()); err != nil {
			t.Error(err)
		}
	})
	return c
}

func (c *fakePeer) config() (number int64, digest string) {
	o := c.advertised.Load()
	return o.number, o.response.Entries[0].Digest
}

// advertise changes the version that the peer advertises.
func (c *fakePeer) advertise(o advertisedVersion) { c.advertised.Store(&o) }

// waitAdvertised waits until an instance has received the version in a heartbeat.
func (c *fakePeer) waitAdvertised(t *testing.T, p *process) {
	t.Helper()

	number, digest := c.config()
	waitFor(t, p.name+" receives the advertised version", func() bool {
		s, err := stateOf(p.field("operators"))
		if err != nil {
			return false
		}
		for _, m := range s.Members {
			if m.Entry.ID == "claimant" && m.ConfigNumber == number && m.ConfigDigest == digest {
				return true
			}
		}
		return false
	})
}

func TestPeerCannotBringAFalseVersionIntoForce(t *testing.T) {
	t.Parallel()
	c := startCentre(t, 1, 1)
	p := c.entries[0]
	w := watchConfig(t, p)
	old := config.Example()
	number := mustApply(t, c.platform.Addr(), numberedFolder(t, 1))
	w.mustReach(number, time.Now(), p)

	other := config.Example()
	other.Limits.MaxOpenJobs = 66
	another := config.Example()
	another.Limits.MaxOpenJobs = 67

	falsePeer := startFakePeer(t, newAdvertisedVersion(1, old, ""), p)
	falsePeer.waitAdvertised(t, p)
	w.mustKeep(number, p)

	falsePeer.advertise(newAdvertisedVersion(1_000_000, other, ""))
	falsePeer.waitAdvertised(t, p)
	waitFor(t, "the instance reports the false version", func() bool {
		return strings.Contains(w.statusOf(p).Error, "the store has version 2")
	})
	w.mustKeep(number, p)

	c.platform.SetFaults(fakes.PlatformFaults{Down: true})
	falsePeer.advertise(newAdvertisedVersion(number+1, another, "of another chain"))
	waitFor(t, "the instance requests the version", func() bool { return falsePeer.requests.Load() > 0 })
	waitFor(t, "the instance reports the broken chain", func() bool {
		return strings.Contains(w.statusOf(p).Error, "does not lead there from version 2")
	})
	w.mustKeep(number, p)

	c.platform.SetFaults(fakes.PlatformFaults{})
	next := mustApply(t, c.platform.Addr(), numberedFolder(t, 2))
	w.mustReach(next, time.Now(), p)
}

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

// offering is a version that a peer of the test claims to have in force.
type offering struct {
	number int64
	supply config.PeerVersion
}

func offer(number int64, doc config.Document, previous string) offering {
	entry := config.Entry{Number: number, Digest: doc.Digest(), Who: "nobody", Why: "none", Previous: previous}
	entry.Hash = entry.ComputeHash()
	return offering{number, config.PeerVersion{Document: doc.Canonical(), Entries: []config.Entry{entry}}}
}

// claimant is an instance in the test's process that only exchanges
// heartbeats and supplies what it claims.
type claimant struct {
	offering atomic.Pointer[offering]
	asked    atomic.Int64
}

func startClaimant(t *testing.T, o offering, seeds ...*process) *claimant {
	t.Helper()

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c := &claimant{}
	c.offering.Store(&o)
	self := model.Entry{ID: "claimant", Incarnation: "claimant-1", DataCentre: "kochi", PeerAddr: listener.Addr().String()}
	group := peer.New(peer.Options{Self: self, Listen: func(string) (net.Listener, error) { return listener, nil }})
	group.Handle("config.get", func(context.Context, json.RawMessage) (any, error) {
		c.asked.Add(1)
		return c.offering.Load().supply, nil
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

func (c *claimant) config() (number int64, digest string) {
	o := c.offering.Load()
	return o.number, o.supply.Entries[0].Digest
}

// claim changes what the peer offers.
func (c *claimant) claim(o offering) { c.offering.Store(&o) }

// waitHeard waits until an instance was told of the version.
func (c *claimant) waitHeard(t *testing.T, p *process) {
	t.Helper()

	number, digest := c.config()
	waitFor(t, p.name+" hears of the claim", func() bool {
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
	c := startCell(t, 1, 1)
	p := c.entries[0]
	w := watchConfig(t, p)
	old := config.Example()
	number := mustApply(t, c.platform.Addr(), numbered(t, 1))
	w.mustReach(number, time.Now(), p)

	other := config.Example()
	other.Limits.MaxOpenJobs = 66
	another := config.Example()
	another.Limits.MaxOpenJobs = 67

	liar := startClaimant(t, offer(1, old, ""), p)
	liar.waitHeard(t, p)
	w.mustKeep(number, p)

	liar.claim(offer(1_000_000, other, ""))
	liar.waitHeard(t, p)
	waitFor(t, "the instance reports the false offer", func() bool {
		return strings.Contains(w.statusOf(p).Error, "the store has version 2")
	})
	w.mustKeep(number, p)

	c.platform.SetFaults(fakes.PlatformFaults{Down: true})
	liar.claim(offer(number+1, another, "of another chain"))
	waitFor(t, "the instance asks for the version", func() bool { return liar.asked.Load() > 0 })
	waitFor(t, "the instance reports the broken chain", func() bool {
		return strings.Contains(w.statusOf(p).Error, "does not lead there from version 2")
	})
	w.mustKeep(number, p)

	c.platform.SetFaults(fakes.PlatformFaults{})
	next := mustApply(t, c.platform.Addr(), numbered(t, 2))
	w.mustReach(next, time.Now(), p)
}

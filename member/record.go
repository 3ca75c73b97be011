package member

import (
	"time"

	"foxtailmux/model"
)

// record is what is known of one other member.
type record struct {
	member Member

	exchangedAt time.Time     // when heartbeats last went either way
	unreachedAt time.Time     // when a connection to it failed, zero after a sign of life
	period      time.Duration // of its heartbeats, as it told
	leaving     bool
	direct      bool // its entry came from itself
	busy        bool // a heartbeat to it is under way
	retried     bool // it got a heartbeat since it could not be reached

	view       uint32 // of its own data centre, as it told
	told       bool   // it has the own entry
	toldDigest string
	wantEntry  bool
	asksHints  bool                 // it is to get the full count of hints
	hinted     map[string]time.Time // by id: LastHeard of the last hint to it
	leavers    map[string]bool      // by incarnation: it knows that this one leaves
}

// known reports whether the member can be reached and listed.
func (r *record) known() bool {
	return r.member.Entry.PeerAddr != ""
}

// admit returns the record of an incarnation, which replaces an older one, or
// nil when the incarnation must be ignored.
func (g *Group) admit(id, incarnation string, heardAt time.Time) *record {
	if id == g.self.Entry.ID || g.retired.has(incarnation) {
		return nil
	}

	old := g.records[id]
	if old != nil && old.member.Entry.Incarnation == incarnation {
		return old
	}
	if old == nil && len(g.records) >= maxRecords {
		return nil
	}
	if old != nil {
		g.retired.add(old.member.Entry.Incarnation)
	}

	r := &record{
		hinted:    map[string]time.Time{},
		leavers:   map[string]bool{},
		wantEntry: true,
	}
	r.member.Entry.ID = id
	r.member.Entry.Incarnation = incarnation
	r.member.Entry.State = model.Live
	r.member.LastHeartbeat = heardAt
	r.member.State = StateAlive
	g.records[id] = r
	return r
}

// hear takes in a heartbeat from the member itself and reports a change.
func (g *Group) hear(h *heartbeat, heardAt time.Time) bool {
	r := g.admit(h.ID, h.Incarnation, heardAt)
	if r == nil {
		return false
	}

	before := r.member
	stale := r.wantsConfig(h)
	r.exchangedAt = time.Now()
	r.unreachedAt = time.Time{}
	r.period = millis(h.PeriodMillis)
	r.view = h.View
	r.member.Load = h.Load
	r.setLeaving(h.Leaving)
	r.asksHints = r.asksHints || h.WantHints
	if h.WantEntry {
		r.told = false
	}
	if h.Entry != nil {
		g.setEntry(r, *h.Entry)
	}
	if stale {
		r.member.ConfigDigest = h.ConfigDigest
	}
	r.member.ConfigNumber = h.ConfigNumber
	r.direct = r.direct || h.Entry != nil
	r.wantEntry = !r.direct || stale && h.ConfigDigest == ""
	g.heard(r, heardAt)
	return differs(before, r.member)
}

// hearsay takes in what another member tells and reports a change.
func (g *Group) hearsay(h *hint, toldAt time.Time) bool {
	heardAt := toldAt.Add(-millis(h.AgeMillis))
	old := g.records[h.ID]
	if old != nil && old.member.Entry.Incarnation != h.Incarnation && !heardAt.After(old.member.LastHeartbeat) {
		return false
	}
	if old == nil && millis(h.AgeMillis) > remoteSuspectAfter {
		return false
	}

	r := g.admit(h.ID, h.Incarnation, heardAt)
	if r == nil {
		return false
	}
	before := r.member
	if !r.known() {
		g.setEntry(r, model.Entry{
			ID: h.ID, Incarnation: h.Incarnation, DataCentre: h.DataCentre, PeerAddr: h.PeerAddr,
		})
	}
	if heardAt.After(r.member.LastHeartbeat) {
		r.member.Load.FreeSlots = h.FreeSlots
	}
	r.setLeaving(h.Leaving)
	g.heard(r, heardAt)
	return differs(before, r.member)
}

// knows keeps the member from being told what it told itself.
func (r *record) knows(h *hint, toldAt time.Time) {
	heardAt := toldAt.Add(-millis(h.AgeMillis))
	if heardAt.After(r.hinted[h.ID]) {
		r.hinted[h.ID] = heardAt
	}
	if h.Leaving {
		r.leavers[h.Incarnation] = true
	}
}

func (g *Group) heard(r *record, at time.Time) {
	if at.After(r.member.LastHeartbeat) {
		r.member.LastHeartbeat = at
	}
	r.member.State = g.stateOf(r, time.Now())
}

func (g *Group) setEntry(r *record, e model.Entry) {
	e.State = r.member.Entry.State
	moved := e.PeerAddr != r.member.Entry.PeerAddr
	r.member.Entry = e
	if moved {
		g.options.Transport.SetPeer(e.ID, e.PeerAddr)
	}
}

// setLeaving records that a member leaves, which an incarnation can't revoke.
func (r *record) setLeaving(leaving bool) {
	if leaving {
		r.leaving = true
		r.member.Entry.State = model.Leaving
	}
}

// wantsConfig reports whether the digest on record is not that of h.
func (r *record) wantsConfig(h *heartbeat) bool {
	if h.ConfigDigest != "" {
		return r.member.ConfigDigest != h.ConfigDigest
	}
	if r.member.ConfigNumber != h.ConfigNumber {
		return true
	}
	return configCheck(r.member.ConfigDigest) != h.ConfigCheck
}

func configCheck(digest string) string {
	return digest[:min(len(digest), configCheckSize)]
}

func differs(a, b Member) bool {
	return a.Entry != b.Entry ||
		a.State != b.State ||
		a.ConfigNumber != b.ConfigNumber ||
		a.ConfigDigest != b.ConfigDigest
}

// retirees remembers incarnations that were replaced, oldest first.
type retirees struct {
	set   map[string]struct{}
	order []string
}

func (r *retirees) has(incarnation string) bool {
	_, ok := r.set[incarnation]
	return ok
}

func (r *retirees) add(incarnation string) {
	if r.has(incarnation) {
		return
	}
	if r.set == nil {
		r.set = map[string]struct{}{}
	}
	if len(r.order) == maxRetired {
		delete(r.set, r.order[0])
		r.order = r.order[1:]
	}
	r.set[incarnation] = struct{}{}
	r.order = append(r.order, incarnation)
}

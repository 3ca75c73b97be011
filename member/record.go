package member

import (
	"time"

	"foxtailmux/model"
)

// record holds the state of one other member.
type record struct {
	member Member

	exchangedAt             time.Time     // last heartbeat received, or last probe while dead
	unreachableSince        time.Time     // first failed connection; zero after a heartbeat or a successful connection
	period                  time.Duration // heartbeat period reported by the member
	leaving                 bool
	entryReceived           bool // the member has sent its entry itself
	inFlight                bool // a heartbeat to the member is in flight
	retriedSinceUnreachable bool // a heartbeat was sent since unreachableSince

	viewHash         uint32 // reported by the member for its own data centre
	entrySent        bool   // the member has this instance's entry and sentDigest
	sentDigest       string
	needsEntry       bool
	hintsRequested   bool                 // the next heartbeat carries up to maxHints hints
	hintedHeartbeats map[string]time.Time // by id: LastHeartbeat in the latest hint exchanged with the member
	knownLeaving     map[string]bool      // by incarnation: known to the member as leaving
}

// hasAddr reports whether the member's peer address is known. Members without one
// are neither listed nor sent heartbeats.
func (r *record) hasAddr() bool {
	return r.member.Entry.PeerAddr != ""
}

// recordFor returns the record of an incarnation and creates it if needed. A new
// incarnation replaces the previous one of the same id. It returns nil for this
// instance itself, for a replaced incarnation and when there are maxRecords.
func (g *Group) recordFor(id, incarnation string, heartbeatAt time.Time) *record {
	if id == g.self.Entry.ID || g.replaced.has(incarnation) {
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
		g.replaced.add(old.member.Entry.Incarnation)
	}

	r := &record{
		hintedHeartbeats: map[string]time.Time{},
		knownLeaving:     map[string]bool{},
		needsEntry:       true,
	}
	r.member.Entry.ID = id
	r.member.Entry.Incarnation = incarnation
	r.member.Entry.State = model.Live
	r.member.LastHeartbeat = heartbeatAt
	r.member.State = StateAlive
	g.records[id] = r
	return r
}

// recordHeartbeat records a heartbeat from the member itself and reports whether
// the member changed.
func (g *Group) recordHeartbeat(h *heartbeat, heartbeatAt time.Time) bool {
	r := g.recordFor(h.ID, h.Incarnation, heartbeatAt)
	if r == nil {
		return false
	}

	before := r.member
	stale := r.configChanged(h)
	r.exchangedAt = time.Now()
	r.unreachableSince = time.Time{}
	r.period = millis(h.PeriodMillis)
	r.viewHash = h.ViewHash
	r.member.Load = h.Load
	r.setLeaving(h.Leaving)
	r.hintsRequested = r.hintsRequested || h.WantHints
	if h.WantEntry {
		r.entrySent = false
	}
	if h.Entry != nil {
		g.setEntry(r, *h.Entry)
	}
	if stale {
		r.member.ConfigDigest = h.ConfigDigest
	}
	r.member.ConfigNumber = h.ConfigNumber
	r.entryReceived = r.entryReceived || h.Entry != nil
	r.needsEntry = !r.entryReceived || stale && h.ConfigDigest == ""
	g.updateLastHeartbeat(r, heartbeatAt)
	return memberChanged(before, r.member)
}

// recordHint records a hint from another member and reports whether the member
// that the hint is about changed. The age in the hint counts back from asOf.
func (g *Group) recordHint(h *hint, asOf time.Time) bool {
	heartbeatAt := asOf.Add(-millis(h.AgeMillis))
	old := g.records[h.ID]
	if old != nil && old.member.Entry.Incarnation != h.Incarnation && !heartbeatAt.After(old.member.LastHeartbeat) {
		return false
	}
	if old == nil && millis(h.AgeMillis) > remoteSuspectAfter {
		return false
	}

	r := g.recordFor(h.ID, h.Incarnation, heartbeatAt)
	if r == nil {
		return false
	}
	before := r.member
	if !r.hasAddr() {
		g.setEntry(r, model.Entry{
			ID: h.ID, Incarnation: h.Incarnation, DataCentre: h.DataCentre, PeerAddr: h.PeerAddr,
		})
	}
	if heartbeatAt.After(r.member.LastHeartbeat) {
		r.member.Load.FreeSlots = h.FreeSlots
	}
	r.setLeaving(h.Leaving)
	g.updateLastHeartbeat(r, heartbeatAt)
	return memberChanged(before, r.member)
}

// markHintKnown records that the member has the information of a hint which it
// sent, so that the hint is not sent back.
func (r *record) markHintKnown(h *hint, asOf time.Time) {
	heartbeatAt := asOf.Add(-millis(h.AgeMillis))
	if heartbeatAt.After(r.hintedHeartbeats[h.ID]) {
		r.hintedHeartbeats[h.ID] = heartbeatAt
	}
	if h.Leaving {
		r.knownLeaving[h.Incarnation] = true
	}
}

func (g *Group) updateLastHeartbeat(r *record, at time.Time) {
	if at.After(r.member.LastHeartbeat) {
		r.member.LastHeartbeat = at
	}
	r.member.State = g.stateOf(r, time.Now())
}

func (g *Group) setEntry(r *record, e model.Entry) {
	e.State = r.member.Entry.State
	addrChanged := e.PeerAddr != r.member.Entry.PeerAddr
	r.member.Entry = e
	if addrChanged {
		g.options.Transport.SetPeer(e.ID, e.PeerAddr)
	}
}

// setLeaving records that a member is leaving. An incarnation can't revoke it.
func (r *record) setLeaving(leaving bool) {
	if leaving {
		r.leaving = true
		r.member.Entry.State = model.Leaving
	}
}

// configChanged reports whether the recorded configuration digest differs from
// the sender's.
func (r *record) configChanged(h *heartbeat) bool {
	if h.ConfigDigest != "" {
		return r.member.ConfigDigest != h.ConfigDigest
	}
	if r.member.ConfigNumber != h.ConfigNumber {
		return true
	}
	return digestPrefix(r.member.ConfigDigest) != h.ConfigDigestPrefix
}

func digestPrefix(digest string) string {
	return digest[:min(len(digest), digestPrefixSize)]
}

func memberChanged(a, b Member) bool {
	return a.Entry != b.Entry ||
		a.State != b.State ||
		a.ConfigNumber != b.ConfigNumber ||
		a.ConfigDigest != b.ConfigDigest
}

// replacedIncarnations holds the latest maxReplacedIncarnations incarnations that
// were replaced by a newer one of the same id, so that their late messages are
// ignored.
type replacedIncarnations struct {
	set   map[string]struct{}
	order []string // oldest first
}

func (r *replacedIncarnations) has(incarnation string) bool {
	_, ok := r.set[incarnation]
	return ok
}

func (r *replacedIncarnations) add(incarnation string) {
	if r.has(incarnation) {
		return
	}
	if r.set == nil {
		r.set = map[string]struct{}{}
	}
	if len(r.order) == maxReplacedIncarnations {
		delete(r.set, r.order[0])
		r.order = r.order[1:]
	}
	r.set[incarnation] = struct{}{}
	r.order = append(r.order, incarnation)
}

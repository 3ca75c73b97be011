package member

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

// exchange sends a heartbeat and processes the response.
func (g *Group) exchange(t target) {
	ctx, cancel := context.WithTimeout(g.ctx, exchangeTimeout)
	defer cancel()

	err := g.send(ctx, t)
	if err != nil {
		g.options.Log.Debug().Err(err).Str("peer", t.id).Str("addr", t.addr).Msg("no response to heartbeat")
	}

	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.records[t.id]
	if r == nil {
		return
	}
	r.inFlight = false
	if err != nil {
		r.entrySent = false
	}
}

func (g *Group) send(ctx context.Context, t target) error {
	raw, err := json.Marshal(g.newHeartbeat(t.id))
	if err != nil {
		return &Error{Op: "encode heartbeat", Kind: KindInvalid, Err: err}
	}

	response, sentAt, err := g.request(ctx, t, raw)
	if err != nil {
		return &Error{Op: "send heartbeat", Kind: KindUnreachable, Err: err}
	}
	h, err := decodeHeartbeat(response)
	if err != nil {
		return err
	}
	if h.ID == g.options.Self.ID {
		return g.handleOwnID(t, &h)
	}
	g.receive(&h, sentAt, true)
	if t.id == "" {
		g.markEntrySent(&h)
	}
	return nil
}

// markEntrySent records that a member found by its address has received this
// instance's entry, unless it requests the entry again.
func (g *Group) markEntrySent(h *heartbeat) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if r := g.records[h.ID]; r != nil && !h.WantEntry {
		r.entrySent = true
		r.sentDigest = g.self.ConfigDigest
	}
}

func (g *Group) request(ctx context.Context, t target, raw json.RawMessage) (json.RawMessage, time.Time, error) {
	peerID := t.id
	if peerID == "" {
		peerID = t.addr
		g.options.Transport.SetPeer(t.addr, t.addr)
		defer g.options.Transport.RemovePeer(t.addr)
	}

	sentAt := time.Now()
	var response json.RawMessage
	err := g.options.Transport.CallWithoutProbe(ctx, peerID, heartbeatMethod, raw, &response)
	g.countExchange(len(raw) + len(response))
	return response, sentAt, err
}

// countExchange counts the bytes of an exchange. payload is the size of the two
// heartbeats in bytes.
func (g *Group) countExchange(payload int) {
	n := payload + requestOverhead + responseOverhead + packetOverhead
	g.budget.add(n)
	g.options.OnBytes(n)
}

// handleOwnID handles a response with the id of this instance. It comes from this
// instance's own address, or from another process configured with the same id.
func (g *Group) handleOwnID(t target, h *heartbeat) error {
	if h.Incarnation != g.options.Self.Incarnation {
		return &Error{Op: "send heartbeat", Kind: KindInvalid, Err: eris.Errorf("instance at %s has the id of this instance, %q", t.addr, h.ID)}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.candidates.exclude(t.addr)
	return nil
}

// handle handles a heartbeat request and returns the heartbeat in response.
func (g *Group) handle(_ context.Context, params json.RawMessage) (any, error) {
	h, err := decodeHeartbeat(params)
	if err != nil {
		return nil, err
	}

	now := time.Now()
	g.receive(&h, now, !g.wasPaused(now))
	response, err := json.Marshal(g.newHeartbeat(h.ID))
	if err != nil {
		return nil, &Error{Op: "encode heartbeat", Kind: KindInvalid, Err: err}
	}
	g.countExchange(len(params) + len(response))
	return json.RawMessage(response), nil
}

// wasPaused reports whether this process has just resumed from a pause. Hints in a
// message that was queued during the pause have ages that are too small.
func (g *Group) wasPaused(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return now.Sub(g.tickedAt) > g.minPeriod()+pauseThreshold
}

// receive records a heartbeat, and its hints if withHints is set, that is if their
// ages are reliable.
func (g *Group) receive(h *heartbeat, heartbeatAt time.Time, withHints bool) {
	g.mu.Lock()
	changed := g.recordHeartbeat(h, heartbeatAt)
	from := g.records[h.ID]
	for i := range h.Hints {
		if withHints && from != nil {
			from.markHintKnown(&h.Hints[i], heartbeatAt)
			changed = g.recordHint(&h.Hints[i], heartbeatAt) || changed
		}
	}
	g.mu.Unlock()
	g.notify(changed)
}

// newHeartbeat returns the next heartbeat to a member. For an unknown member it
// holds the entry of this instance and no hints.
func (g *Group) newHeartbeat(id string) *heartbeat {
	g.mu.Lock()
	defer g.mu.Unlock()

	h := &heartbeat{
		ID:                 g.self.Entry.ID,
		Incarnation:        g.self.Entry.Incarnation,
		Leaving:            g.self.State == StateLeaving,
		PeriodMillis:       g.period.Milliseconds(),
		Load:               g.self.Load,
		ConfigNumber:       g.self.ConfigNumber,
		ConfigDigestPrefix: digestPrefix(g.self.ConfigDigest),
		ViewHash:           g.viewHash(g.self.Entry.DataCentre),
	}

	r := g.records[id]
	if r == nil {
		g.addEntry(h)
		h.WantHints = true
		return h
	}
	if !r.entrySent || r.sentDigest != g.self.ConfigDigest {
		g.addEntry(h)
	}
	h.WantEntry = r.needsEntry
	h.WantHints = g.shouldRequestHints(r)
	h.Hints = g.selectHints(r)
	r.entrySent = true
	r.sentDigest = g.self.ConfigDigest
	return h
}

// shouldRequestHints reports whether to request hints from a member: at most once
// per period, and only from a member whose hash of the members of its data centre
// differs from the local one.
func (g *Group) shouldRequestHints(from *record) bool {
	now := time.Now()
	if now.Sub(g.hintsRequestedAt) < g.period || from.viewHash == g.viewHash(from.member.Entry.DataCentre) {
		return false
	}
	g.hintsRequestedAt = now
	return true
}

func (g *Group) addEntry(h *heartbeat) {
	entry := g.self.Entry
	h.Entry = &entry
	h.ConfigDigest = g.self.ConfigDigest
}

// selectHints selects the members to report to a receiver: members of data centres
// other than the receiver's, or of all data centres if it requested hints, and
// leaving members of any data centre that the receiver does not know to be
// leaving. Leaving members come first, then the members whose last hint to the
// receiver is the most out of date.
func (g *Group) selectHints(to *record) []hint {
	count := hintsPerMessage
	if to.hintsRequested {
		count = maxHints
	}

	now := time.Now()
	var relevant []*record
	for _, r := range g.records {
		local := r.member.Entry.DataCentre == to.member.Entry.DataCentre
		if r == to || !r.hasAddr() {
			continue
		}
		if r.leaveUnknownTo(to) || (!local || to.hintsRequested) && r.hasNewsFor(to, now) {
			relevant = append(relevant, r)
		}
	}

	staleness := func(r *record) time.Duration {
		return r.member.LastHeartbeat.Sub(to.hintedHeartbeats[r.member.Entry.ID])
	}
	slices.SortFunc(relevant, func(a, b *record) int {
		if first := a.leaveUnknownTo(to); first != b.leaveUnknownTo(to) {
			return compareFirst(first)
		}
		return cmp.Or(cmp.Compare(staleness(b), staleness(a)), cmp.Compare(a.member.Entry.ID, b.member.Entry.ID))
	})

	to.hintsRequested = false
	list := make([]hint, 0, count)
	for _, r := range relevant[:min(len(relevant), count)] {
		to.hintedHeartbeats[r.member.Entry.ID] = r.member.LastHeartbeat
		if r.leaving {
			to.knownLeaving[r.member.Entry.Incarnation] = true
		}
		list = append(list, hintOf(r, now))
	}
	return list
}

// compareFirst returns the comparison result that sorts the first operand first
// if first is true, and last otherwise.
func compareFirst(first bool) int {
	if first {
		return -1
	}
	return 1
}

func (r *record) leaveUnknownTo(to *record) bool {
	return r.leaving && r.member.State != StateDead && !to.knownLeaving[r.member.Entry.Incarnation]
}

func (r *record) hasNewsFor(to *record, now time.Time) bool {
	return now.Sub(r.member.LastHeartbeat) <= remoteSuspectAfter &&
		r.member.LastHeartbeat.After(to.hintedHeartbeats[r.member.Entry.ID])
}

// viewHash hashes the members of a data centre that are not dead. It is a sum, so
// that it does not depend on their order.
func (g *Group) viewHash(dataCentre string) uint32 {
	var sum uint32
	if own := &g.self.Entry; own.DataCentre == dataCentre {
		sum = memberHash(own.ID, own.Incarnation)
	}
	for id, r := range g.records {
		e := &r.member.Entry
		if r.hasAddr() && r.member.State != StateDead && e.DataCentre == dataCentre {
			sum += memberHash(id, e.Incarnation)
		}
	}
	return sum
}

func memberHash(id, incarnation string) uint32 {
	return uint32(rendezvousWeight(id, incarnation))
}

func hintOf(r *record, now time.Time) hint {
	return hint{
		ID:          r.member.Entry.ID,
		Incarnation: r.member.Entry.Incarnation,
		DataCentre:  r.member.Entry.DataCentre,
		PeerAddr:    r.member.Entry.PeerAddr,
		Leaving:     r.leaving,
		AgeMillis:   max(0, now.Sub(r.member.LastHeartbeat).Milliseconds()),
		FreeSlots:   r.member.Load.FreeSlots,
	}
}

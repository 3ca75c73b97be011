package member

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

// exchange sends a heartbeat and takes in the answer.
func (g *Group) exchange(t target) {
	ctx, cancel := context.WithTimeout(g.ctx, exchangeTimeout)
	defer cancel()

	err := g.send(ctx, t)
	if err != nil {
		g.options.Log.Debug().Err(err).Str("peer", t.id).Str("addr", t.addr).Msg("heartbeat was not answered")
	}

	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.records[t.id]
	if r == nil {
		return
	}
	r.busy = false
	if err != nil {
		r.told = false
	}
}

func (g *Group) send(ctx context.Context, t target) error {
	raw, err := json.Marshal(g.compose(t.id))
	if err != nil {
		return &Error{Op: "encode heartbeat", Kind: Invalid, Err: err}
	}

	answer, sentAt, err := g.ask(ctx, t, raw)
	if err != nil {
		return &Error{Op: "send heartbeat", Kind: Unreachable, Err: err}
	}
	h, err := decodeHeartbeat(answer)
	if err != nil {
		return err
	}
	if h.ID == g.options.Self.ID {
		return g.metSelf(t, &h)
	}
	g.receive(&h, sentAt, true)
	if t.id == "" {
		g.markTold(&h)
	}
	return nil
}

// markTold records that a member met at an address has the own entry.
func (g *Group) markTold(h *heartbeat) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if r := g.records[h.ID]; r != nil && !h.WantEntry {
		r.told = true
		r.toldDigest = g.self.ConfigDigest
	}
}

func (g *Group) ask(ctx context.Context, t target, raw json.RawMessage) (json.RawMessage, time.Time, error) {
	peerID := t.id
	if peerID == "" {
		peerID = t.addr
		g.options.Transport.SetPeer(t.addr, t.addr)
		defer g.options.Transport.RemovePeer(t.addr)
	}

	sentAt := time.Now()
	var answer json.RawMessage
	err := g.options.Transport.Ask(ctx, peerID, heartbeatMethod, raw, &answer)
	g.spend(len(raw) + len(answer))
	return answer, sentAt, err
}

// spend counts an exchange by the bytes of the two heartbeats.
func (g *Group) spend(heartbeats int) {
	n := heartbeats + requestOverhead + answerOverhead + packetOverhead
	g.budget.spend(n)
	g.options.OnBytes(n)
}

// metSelf handles an answer under the own id: from the own address, or from
// another process that was given the same id.
func (g *Group) metSelf(t target, h *heartbeat) error {
	if h.Incarnation != g.options.Self.Incarnation {
		return &Error{Op: "send heartbeat", Kind: Invalid, Err: eris.Errorf("%s has the own id %q", t.addr, h.ID)}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.candidates.exclude(t.addr)
	return nil
}

// handle answers a heartbeat.
func (g *Group) handle(_ context.Context, params json.RawMessage) (any, error) {
	h, err := decodeHeartbeat(params)
	if err != nil {
		return nil, err
	}

	now := time.Now()
	g.receive(&h, now, !g.overslept(now))
	answer, err := json.Marshal(g.compose(h.ID))
	if err != nil {
		return nil, &Error{Op: "encode heartbeat", Kind: Invalid, Err: err}
	}
	g.spend(len(params) + len(answer))
	return json.RawMessage(answer), nil
}

// overslept reports whether the own process was paused just now, so that the
// ages in a message that waited meanwhile are too small.
func (g *Group) overslept(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return now.Sub(g.tickedAt) > g.minPeriod()+pauseThreshold
}

// receive takes in a heartbeat, and its hints when their ages can be trusted.
func (g *Group) receive(h *heartbeat, heardAt time.Time, withHints bool) {
	g.mu.Lock()
	changed := g.hear(h, heardAt)
	from := g.records[h.ID]
	for i := range h.Hints {
		if withHints && from != nil {
			from.knows(&h.Hints[i], heardAt)
			changed = g.hearsay(&h.Hints[i], heardAt) || changed
		}
	}
	g.mu.Unlock()
	g.notify(changed)
}

// compose builds the heartbeat to a member; an unknown one gets the full form.
func (g *Group) compose(id string) *heartbeat {
	g.mu.Lock()
	defer g.mu.Unlock()

	h := &heartbeat{
		ID:           g.self.Entry.ID,
		Incarnation:  g.self.Entry.Incarnation,
		Leaving:      g.self.State == StateLeaving,
		PeriodMillis: g.period.Milliseconds(),
		Load:         g.self.Load,
		ConfigNumber: g.self.ConfigNumber,
		ConfigCheck:  configCheck(g.self.ConfigDigest),
		View:         g.view(g.self.Entry.DataCentre),
	}

	r := g.records[id]
	if r == nil {
		g.addEntry(h)
		h.WantHints = true
		return h
	}
	if !r.told || r.toldDigest != g.self.ConfigDigest {
		g.addEntry(h)
	}
	h.WantEntry = r.wantEntry
	h.WantHints = g.pull(r)
	h.Hints = g.hints(r)
	r.told = true
	r.toldDigest = g.self.ConfigDigest
	return h
}

// pull reports whether to ask for hints: once in a period, and only a member
// that sees others in its data centre.
func (g *Group) pull(from *record) bool {
	now := time.Now()
	if now.Sub(g.pulledAt) < g.period || from.view == g.view(from.member.Entry.DataCentre) {
		return false
	}
	g.pulledAt = now
	return true
}

func (g *Group) addEntry(h *heartbeat) {
	entry := g.self.Entry
	h.Entry = &entry
	h.ConfigDigest = g.self.ConfigDigest
}

// hints picks the members of which the receiver was told longest ago: those
// of other data centres than its own, and of all when it asked for hints.
// Members that leave go first, wherever they are.
func (g *Group) hints(to *record) []hint {
	count := hintsPerMessage
	if to.asksHints {
		count = maxHints
	}

	now := time.Now()
	var news []*record
	for _, r := range g.records {
		local := r.member.Entry.DataCentre == to.member.Entry.DataCentre
		if r == to || !r.known() {
			continue
		}
		if r.leavesUnknownTo(to) || (!local || to.asksHints) && r.worthTelling(to, now) {
			news = append(news, r)
		}
	}

	gain := func(r *record) time.Duration {
		return r.member.LastHeartbeat.Sub(to.hinted[r.member.Entry.ID])
	}
	slices.SortFunc(news, func(a, b *record) int {
		if first := a.leavesUnknownTo(to); first != b.leavesUnknownTo(to) {
			return order(first)
		}
		return cmp.Or(cmp.Compare(gain(b), gain(a)), cmp.Compare(a.member.Entry.ID, b.member.Entry.ID))
	})

	to.asksHints = false
	list := make([]hint, 0, count)
	for _, r := range news[:min(len(news), count)] {
		to.hinted[r.member.Entry.ID] = r.member.LastHeartbeat
		if r.leaving {
			to.leavers[r.member.Entry.Incarnation] = true
		}
		list = append(list, hintOf(r, now))
	}
	return list
}

// order returns the result of a comparison that puts the first one first.
func order(first bool) int {
	if first {
		return -1
	}
	return 1
}

func (r *record) leavesUnknownTo(to *record) bool {
	return r.leaving && r.member.State != StateDead && !to.leavers[r.member.Entry.Incarnation]
}

func (r *record) worthTelling(to *record, now time.Time) bool {
	return now.Sub(r.member.LastHeartbeat) <= remoteSuspectAfter &&
		r.member.LastHeartbeat.After(to.hinted[r.member.Entry.ID])
}

// view hashes the members of a data centre, in any order.
func (g *Group) view(dataCentre string) uint32 {
	var sum uint32
	if own := &g.self.Entry; own.DataCentre == dataCentre {
		sum = memberHash(own.ID, own.Incarnation)
	}
	for id, r := range g.records {
		e := &r.member.Entry
		if r.known() && r.member.State != StateDead && e.DataCentre == dataCentre {
			sum += memberHash(id, e.Incarnation)
		}
	}
	return sum
}

func memberHash(id, incarnation string) uint32 {
	return uint32(rendezvous(id, incarnation))
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

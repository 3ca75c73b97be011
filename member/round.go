package member

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"foxtailmux/model"
)

func (g *Group) run() {
	defer close(g.done)
	defer g.tasks.Wait()

	interval := g.minPeriod() / ticksPerPeriod
	select {
	case <-g.ctx.Done():
		return
	case <-time.After(g.startDelay(interval)):
	}

	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		g.tick(interval)
		select {
		case <-g.ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// startDelay returns a random delay shorter than interval. It spreads the ticks
// of instances that were started at the same time.
func (g *Group) startDelay(interval time.Duration) time.Duration {
	seed := g.options.RandomSeed
	if seed == 0 {
		seed = rand.Uint64()
	}
	return time.Duration(rand.New(rand.NewPCG(seed, seed)).Int64N(int64(interval)))
}

// tick updates the states of all members and sends the heartbeats that are due.
func (g *Group) tick(interval time.Duration) {
	load := g.options.Load()
	number, digest := g.options.Config()
	now := time.Now()

	g.mu.Lock()
	if late := now.Sub(g.tickedAt) - interval; late > pauseThreshold {
		g.compensatePause(now, late)
	}
	g.tickedAt = now
	g.self.Load = load
	g.self.ConfigNumber = number
	g.self.ConfigDigest = digest
	g.adaptPeriod(now)
	changed := g.updateStates(now)
	targets := g.targets(now)
	g.mu.Unlock()

	g.notify(changed)
	for _, t := range targets {
		g.tasks.Go(func() { g.exchange(t) })
	}
}

// adaptPeriod derives the next heartbeat period from the traffic of the last
// one. The period grows by at most maxPeriodGrowth at a time, since the other
// members' timeouts follow the period that this instance reported last.
func (g *Group) adaptPeriod(now time.Time) {
	if now.Sub(g.adaptedAt) < g.period {
		return
	}
	g.adaptedAt = now
	wanted := max(g.budget.period(), g.minPeriod())
	g.period = min(wanted, maxPeriodGrowth*g.period, maxPeriod)
}

// target is the receiver of a heartbeat: a known member, or an address at which
// a member may be found.
type target struct {
	id   string // empty if only the address is known
	addr string
}

func (g *Group) targets(now time.Time) []target {
	links := g.remoteHeartbeatPartners()

	var list []target
	for id, r := range g.records {
		local := r.member.Entry.DataCentre == g.self.Entry.DataCentre
		if r.member.State != StateDead && (local || links[id]) && g.isDue(r, now) {
			list = append(list, target{id: id})
		}
	}
	slices.SortFunc(list, func(a, b target) int { return cmp.Compare(a.id, b.id) })
	if now.Sub(g.probedAt) >= g.period {
		g.probedAt = now
		list = append(list, g.nextDeadTarget()...)
		list = append(list, g.candidates.next(now, g.hasMemberAt)...)
	}

	for _, t := range list {
		if r := g.records[t.id]; r != nil {
			r.inFlight = true
			r.retriedSinceUnreachable = true
		}
	}
	return list
}

// isDue reports whether a heartbeat to the member is due. The longer period of
// the two members applies. The member with the lower id initiates the exchange;
// the other one waits half a period longer, so that it sends only if the first
// one did not. An unreachable member gets one early heartbeat after
// retryUnreachableAfter.
func (g *Group) isDue(r *record, now time.Time) bool {
	if !r.hasAddr() || r.inFlight {
		return false
	}
	if !r.unreachableSince.IsZero() && !r.retriedSinceUnreachable {
		return now.Sub(r.unreachableSince) >= retryUnreachableAfter
	}
	period := max(g.period, r.period)
	if g.self.Entry.ID > r.member.Entry.ID {
		period = period * 3 / 2
	}
	return now.Sub(r.exchangedAt) >= period
}

// nextDeadTarget returns the dead member whose last exchange is the oldest, if there
// is one. Probing it detects that it is reachable again.
func (g *Group) nextDeadTarget() []target {
	var oldest *record
	for _, r := range g.records {
		if r.member.State != StateDead || r.leaving || r.inFlight || !r.hasAddr() {
			continue
		}
		if oldest == nil || r.exchangedAt.Before(oldest.exchangedAt) {
			oldest = r
		}
	}
	if oldest == nil {
		return nil
	}
	oldest.exchangedAt = time.Now()
	return []target{{id: oldest.member.Entry.ID}}
}

// hasMemberAt reports whether a member that is not dead has the peer address.
func (g *Group) hasMemberAt(addr string) bool {
	for _, r := range g.records {
		if r.member.Entry.PeerAddr == addr && r.member.State != StateDead {
			return true
		}
	}
	return false
}

// remoteHeartbeatPartners returns the ids of the members of other data centres that this
// instance exchanges heartbeats with. For each pair of data centres, both sides
// select the same few members by rendezvous hashing.
func (g *Group) remoteHeartbeatPartners() map[string]bool {
	byCentre := map[string][]string{}
	own := g.self.Entry
	byCentre[own.DataCentre] = []string{own.ID}
	for id, r := range g.records {
		if r.hasAddr() && r.member.State != StateDead {
			centre := r.member.Entry.DataCentre
			byCentre[centre] = append(byCentre[centre], id)
		}
	}

	links := map[string]bool{}
	for centre, ids := range byCentre {
		if centre == own.DataCentre {
			continue
		}
		key := min(centre, own.DataCentre) + "/" + max(centre, own.DataCentre)
		near := topRanked(key, byCentre[own.DataCentre], linksPerCentrePair)
		far := topRanked(key, ids, linksPerCentrePair)
		for i := range max(len(near), len(far)) {
			if near[i%len(near)] == own.ID {
				links[far[i%len(far)]] = true
			}
		}
	}
	return links
}

// MergeInstanceList merges the platform's list of entry instances. Instances that
// are not members yet become candidates for a heartbeat. Of the listed states only
// model.Leaving is adopted: whether an instance is alive depends on its heartbeats
// alone, also if the list lacks it. An empty list is ignored.
func (g *Group) MergeInstanceList(entries []model.Entry) {
	if len(entries) == 0 {
		return
	}

	g.mu.Lock()
	changed := false
	addrs := []string{}
	for i := range entries {
		changed = g.mergeEntry(&entries[i]) || changed
		if g.isCandidate(&entries[i]) {
			addrs = append(addrs, entries[i].PeerAddr)
		}
	}
	g.candidates.replace(addrs)
	g.mu.Unlock()
	g.notify(changed)
}

// mergeEntry merges a list entry into the record of a known member and reports
// whether the member changed.
func (g *Group) mergeEntry(e *model.Entry) bool {
	r := g.records[e.ID]
	if r == nil || r.member.Entry.Incarnation != e.Incarnation {
		return false
	}

	before := r.member
	if !r.entryReceived && checkLocation(e.DataCentre, e.PeerAddr) == nil {
		g.setEntry(r, *e)
	}
	r.setLeaving(e.State == model.Leaving)
	r.member.State = g.stateOf(r, time.Now())
	return memberChanged(before, r.member)
}

func (g *Group) isCandidate(e *model.Entry) bool {
	return e.ID != g.self.Entry.ID &&
		e.State != model.Leaving &&
		!g.replaced.has(e.Incarnation) &&
		checkLocation(e.DataCentre, e.PeerAddr) == nil
}

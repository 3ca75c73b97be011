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

// startDelay spreads the ticks of instances that were started together.
func (g *Group) startDelay(interval time.Duration) time.Duration {
	seed := g.options.RandomSeed
	if seed == 0 {
		seed = rand.Uint64()
	}
	return time.Duration(rand.New(rand.NewPCG(seed, seed)).Int64N(int64(interval)))
}

// tick judges the members and sends the heartbeats that are due.
func (g *Group) tick(interval time.Duration) {
	load := g.options.Load()
	number, digest := g.options.Config()
	now := time.Now()

	g.mu.Lock()
	if late := now.Sub(g.tickedAt) - interval; late > pauseThreshold {
		g.excuse(now, late)
	}
	g.tickedAt = now
	g.self.Load = load
	g.self.ConfigNumber = number
	g.self.ConfigDigest = digest
	g.adapt(now)
	changed := g.judge(now)
	targets := g.targets(now)
	g.mu.Unlock()

	g.notify(changed)
	for _, t := range targets {
		g.tasks.Go(func() { g.exchange(t) })
	}
}

// adapt sets the period by the traffic of the last one. It grows in steps,
// since the others judge this instance by the period it told last.
func (g *Group) adapt(now time.Time) {
	if now.Sub(g.adaptedAt) < g.period {
		return
	}
	g.adaptedAt = now
	wanted := max(g.budget.period(), g.minPeriod())
	g.period = min(wanted, maxGrowth*g.period, maxPeriod)
}

// target is the receiver of a heartbeat: a member, or whoever answers at an
// address.
type target struct {
	id   string // "" at an address
	addr string
}

func (g *Group) targets(now time.Time) []target {
	linked := g.linked()

	var list []target
	for id, r := range g.records {
		local := r.member.Entry.DataCentre == g.self.Entry.DataCentre
		if r.member.State != StateDead && (local || linked[id]) && g.isDue(r, now) {
			list = append(list, target{id: id})
		}
	}
	slices.SortFunc(list, func(a, b target) int { return cmp.Compare(a.id, b.id) })
	if now.Sub(g.probedAt) >= g.period {
		g.probedAt = now
		list = append(list, g.deadTargets()...)
		list = append(list, g.candidates.next(now, g.reached)...)
	}

	for _, t := range list {
		if r := g.records[t.id]; r != nil {
			r.busy = true
			r.retried = true
		}
	}
	return list
}

// isDue reports whether the pair has to exchange heartbeats. The slower of
// the two sets the period. The one with the lower id begins; the other one
// only sends when it does not. A member that could not be reached gets one
// heartbeat sooner.
func (g *Group) isDue(r *record, now time.Time) bool {
	if !r.known() || r.busy {
		return false
	}
	if !r.unreachedAt.IsZero() && !r.retried {
		return now.Sub(r.unreachedAt) >= retryAfter
	}
	period := max(g.period, r.period)
	if g.self.Entry.ID > r.member.Entry.ID {
		period = period * 3 / 2
	}
	return now.Sub(r.exchangedAt) >= period
}

// deadTargets picks the dead member whose last exchange is oldest.
func (g *Group) deadTargets() []target {
	var oldest *record
	for _, r := range g.records {
		if r.member.State != StateDead || r.leaving || r.busy || !r.known() {
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

// reached reports whether a member that is not dead has the address.
func (g *Group) reached(addr string) bool {
	for _, r := range g.records {
		if r.member.Entry.PeerAddr == addr && r.member.State != StateDead {
			return true
		}
	}
	return false
}

// linked returns the members of other data centres that this instance
// exchanges heartbeats with. For each pair of data centres both sides choose
// the same few members by rendezvous hashing.
func (g *Group) linked() map[string]bool {
	byCentre := map[string][]string{}
	own := g.self.Entry
	byCentre[own.DataCentre] = []string{own.ID}
	for id, r := range g.records {
		if r.known() && r.member.State != StateDead {
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
		near := highest(key, byCentre[own.DataCentre], linksBetween)
		far := highest(key, ids, linksBetween)
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
		changed = g.take(&entries[i]) || changed
		if g.mayJoin(&entries[i]) {
			addrs = append(addrs, entries[i].PeerAddr)
		}
	}
	g.candidates.replace(addrs)
	g.mu.Unlock()
	g.notify(changed)
}

// take joins what the list says of a known member and reports a change.
func (g *Group) take(e *model.Entry) bool {
	r := g.records[e.ID]
	if r == nil || r.member.Entry.Incarnation != e.Incarnation {
		return false
	}

	before := r.member
	if !r.direct && checkPlace(e.DataCentre, e.PeerAddr) == nil {
		g.setEntry(r, *e)
	}
	r.setLeaving(e.State == model.Leaving)
	r.member.State = g.stateOf(r, time.Now())
	return differs(before, r.member)
}

func (g *Group) mayJoin(e *model.Entry) bool {
	return e.ID != g.self.Entry.ID &&
		e.State != model.Leaving &&
		!g.retired.has(e.Incarnation) &&
		checkPlace(e.DataCentre, e.PeerAddr) == nil
}

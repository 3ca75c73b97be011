package member

import (
	"math/rand/v2"
	"sync"
	"time"

	"foxtailmux/model"
)

// jitter spreads the rounds of instances that were started together.
type jitter struct {
	mu   sync.Mutex
	rand *rand.Rand
}

func newJitter(seed uint64) *jitter {
	if seed == 0 {
		seed = rand.Uint64()
	}
	return &jitter{rand: rand.New(rand.NewPCG(seed, seed))}
}

func (j *jitter) spread(d time.Duration) time.Duration {
	j.mu.Lock()
	defer j.mu.Unlock()
	return time.Duration(float64(d) * (1 + jitterShare*(2*j.rand.Float64()-1)))
}

func (g *Group) run() {
	defer close(g.done)
	defer g.tasks.Wait()

	interval := g.options.MinPeriod / ticksPerPeriod
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

// tick judges the members, and sends heartbeats when a round is due.
func (g *Group) tick(interval time.Duration) {
	now := time.Now()

	g.mu.Lock()
	if late := now.Sub(g.tickedAt) - interval; late > pauseThreshold {
		g.excuse(now, late)
	}
	g.tickedAt = now
	changed := g.judge(now)
	due := !now.Before(g.roundAt)
	g.mu.Unlock()

	g.notify(changed)
	if due {
		g.round(now)
	}
}

func (g *Group) round(now time.Time) {
	load := g.options.Load()
	number, digest := g.options.Config()

	g.mu.Lock()
	g.self.Load = load
	g.self.ConfigNumber = number
	g.self.ConfigDigest = digest
	g.schedule(now)
	targets := g.targets(now)
	g.mu.Unlock()

	for _, t := range targets {
		g.tasks.Go(func() { g.exchange(t) })
	}
}

// schedule sets the next round by the traffic so far. The period at most
// doubles, since the others judge this instance by the period it told last.
func (g *Group) schedule(now time.Time) {
	wanted := max(g.budget.wait(), g.options.MinPeriod)
	g.period = min(wanted, 2*g.period, maxPeriod)
	g.roundAt = now.Add(g.jitter.spread(g.period))
}

// target is the receiver of a heartbeat: a member, or whoever answers at an
// address.
type target struct {
	id   string // "" at an address
	addr string
}

func (g *Group) targets(now time.Time) []target {
	linked := g.linked()
	recent := time.Duration(float64(g.period) * skipWithinShare)

	var list []target
	for id, r := range g.records {
		local := r.member.Entry.DataCentre == g.self.Entry.DataCentre
		if !r.known() || r.busy || r.member.State == StateDead || !local && !linked[id] {
			continue
		}
		if now.Sub(r.exchangedAt) >= recent {
			list = append(list, target{id: id})
		}
	}

	list = append(list, g.deadTargets()...)
	for i := range list {
		g.records[list[i].id].busy = true
	}
	for _, addr := range g.candidates.next(now, g.reached) {
		list = append(list, target{addr: addr})
	}
	return list
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

// Feed takes in the platform's list of entry instances. An empty list is
// ignored, and an instance that the list lacks or calls live is still judged
// by its heartbeats; leaving is believed.
func (g *Group) Feed(entries []model.Entry) {
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

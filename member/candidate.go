package member

import (
	"slices"
	"time"
)

// probeInterval is the minimum time between two probes of an address.
const probeInterval = 2 * time.Second

// candidates holds the peer addresses at which a member may be found: the seeds and
// the addresses in the platform's latest list.
type candidates struct {
	self     map[string]bool
	seeds    []string
	listed   []string
	probedAt map[string]time.Time
}

func newCandidates(self string, seeds []string) candidates {
	return candidates{
		self:     map[string]bool{self: true},
		seeds:    slices.Clone(seeds),
		probedAt: map[string]time.Time{},
	}
}

// replace replaces the addresses of the platform's list.
func (c *candidates) replace(listed []string) {
	c.listed = listed
	for addr := range c.probedAt {
		if !slices.Contains(listed, addr) && !slices.Contains(c.seeds, addr) {
			delete(c.probedAt, addr)
		}
	}
}

// exclude marks an address as one of this instance.
func (c *candidates) exclude(addr string) {
	c.self[addr] = true
}

// next returns at most probesPerRound addresses that are due for a probe, the least
// recently probed first. Addresses for which hasMember returns true are skipped.
func (c *candidates) next(now time.Time, hasMember func(addr string) bool) []target {
	all := slices.Concat(c.seeds, c.listed)
	slices.Sort(all)
	due := slices.DeleteFunc(slices.Compact(all), func(addr string) bool {
		return c.self[addr] || now.Sub(c.probedAt[addr]) < probeInterval || hasMember(addr)
	})
	slices.SortStableFunc(due, func(a, b string) int {
		return c.probedAt[a].Compare(c.probedAt[b])
	})

	var list []target
	for _, addr := range due[:min(len(due), probesPerRound)] {
		c.probedAt[addr] = now
		list = append(list, target{addr: addr})
	}
	return list
}

package place

import "math/rand/v2"

func init() { Policies.Add("random", random{}) }

// random starts tasks on every worker and takes any with a free slot.
type random struct{}

func (random) MayStartOn(string, string, OwnerFunc) bool { return true }

func (random) Choose(candidates []Candidate) int {
	return rand.IntN(len(candidates))
}

package place

import "math/rand/v2"

func init() { Policies.Add("random", random{}) }

// random places tasks on every worker and chooses a random candidate.
type random struct{}

func (random) MayStartOn(string, string, OwnerFunc) bool { return true }

func (random) Choose(candidates []Candidate) int {
	return rand.IntN(len(candidates))
}

package place

import "math/rand/v2"

func init() { Policies.Add("twoChoices", twoChoices{}) }

// twoChoices places tasks on every worker: of two random candidates it chooses the one with
// more free slots.
type twoChoices struct{}

func (twoChoices) MayStartOn(string, string, OwnerFunc) bool { return true }

func (twoChoices) Choose(candidates []Candidate) int {
	first := rand.IntN(len(candidates))
	second := rand.IntN(len(candidates))
	if candidates[second].FreeSlots > candidates[first].FreeSlots {
		return second
	}
	return first
}

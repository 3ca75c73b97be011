package place

func init() { Policies.Add("homes", homes{}) }

// homes places tasks only on workers that this instance owns, and chooses the candidate with
// the most free slots.
type homes struct{}

func (homes) MayStartOn(workerID, self string, owner OwnerFunc) bool {
	return owner(workerID) == self
}

func (homes) Choose(candidates []Candidate) int {
	best := 0
	for i, c := range candidates {
		if c.FreeSlots > candidates[best].FreeSlots {
			best = i
		}
	}
	return best
}

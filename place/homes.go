package place

func init() { Policies.Add("homes", homes{}) }

// homes starts tasks only on the workers whose home is this instance and
// takes the one with the most free slots.
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

package home_test

import (
	"slices"
	"time"
)

// arrival is a job of a replay with its true run time.
type arrival struct {
	at        time.Duration
	tasks     int
	run       time.Duration
	objective time.Duration
	worth     float64
}

// perfectShare returns the share of the worth that a scheduler with perfect knowledge earns on
// one pool of slots. It knows all run times, needs no time for requests and has no faults: a
// job is accepted on arrival if all its tasks end in time behind those accepted before, and
// costs nothing otherwise.
func perfectShare(slots int, arrivals []arrival) float64 {
	free := make([]time.Duration, slots)
	total, earned := 0.0, 0.0
	for _, a := range arrivals {
		total += a.worth
		if a.tasks > slots {
			continue
		}
		slices.Sort(free)
		starts := max(free[a.tasks-1], a.at) // of the last task
		if starts+a.run > a.at+a.objective {
			continue
		}
		earned += a.worth
		for i := range a.tasks {
			free[i] = max(free[i], a.at) + a.run
		}
	}
	return earned / total
}

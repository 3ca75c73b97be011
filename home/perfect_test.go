package home_test

import (
	"slices"
	"time"
)

// arrival is a job of a replay, with what only perfect knowledge has.
type arrival struct {
	at        time.Duration
	tasks     int
	run       time.Duration
	objective time.Duration
	worth     float64
}

// perfect returns the share of the worth that one pool of so many places earns
// which knows all run times, needs no time for orders and meets no trouble: a job is
// taken on arrival if all its tasks end in time behind those that were taken before,
// and costs nothing otherwise.
func perfect(places int, arrivals []arrival) float64 {
	free := make([]time.Duration, places)
	owed, earned := 0.0, 0.0
	for _, a := range arrivals {
		owed += a.worth
		if a.tasks > places {
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
	return earned / owed
}

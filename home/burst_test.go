package home_test

import (
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sys/unix"
)

// processorTime returns the processor time that the test has used.
func processorTime(t *testing.T) time.Duration {
	var usage unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &usage); err != nil {
		t.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// jobCost returns the least processor time that a job takes at a rate of jobs per second, at the home
// of a data centre with many workers.
func jobCost(t *testing.T, rate float64) time.Duration {
	const (
		workers  = 183
		duration = 2 * time.Second
		repeats  = 2
	)
	least := time.Hour
	for seed := range uint64(repeats) {
		synctest.Test(t, func(t *testing.T) {
			before := processorTime(t)
			r := playPattern(t, loadPattern{workers: workers, duration: duration, rate: rate}, seed+1)
			cost := (processorTime(t) - before) / time.Duration(r.jobs)
			t.Logf("%.0f jobs a second: %d jobs, worth %.3f, refused %.3f, %v a job", rate, r.jobs, r.earned/r.total, r.part(r.refused), cost)
			least = min(least, cost)
		})
	}
	return least
}

// A burst on a data centre of 183 workers was not served: each job that found no free capacity cost
// its home more than one that it ran.
func TestJobsAboveTheCapacityCostLittleMoreThanOnesBelow(t *testing.T) {
	const (
		below, above = 450, 1000 // jobs per second; 730 take the whole capacity
		mostGrowth   = 2.0
	)
	growth := float64(jobCost(t, above)) / float64(jobCost(t, below))
	if growth > mostGrowth {
		t.Errorf("a job above the capacity costs %.1f times as much as one below, want at most %.1f", growth, mostGrowth)
	}
}

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

// jobCost returns the processor time that a job takes at a rate of jobs per second, at the home of a
// data centre with many workers.
func jobCost(t *testing.T, rate float64, seed uint64) (cost time.Duration) {
	const (
		workers  = 183
		duration = 2 * time.Second
	)
	synctest.Test(t, func(t *testing.T) {
		before := processorTime(t)
		r := playPattern(t, loadPattern{workers: workers, duration: duration, rate: rate}, seed)
		cost = (processorTime(t) - before) / time.Duration(r.jobs)
		t.Logf("%.0f jobs a second: %d jobs, worth %.3f, refused %.3f, %v a job", rate, r.jobs, r.earned/r.total, r.part(r.refused), cost)
	})
	return cost
}

// A burst on a data centre of 183 workers was not served: each job that found no free capacity cost
// its home more than one that it ran.
func TestJobsAboveTheCapacityCostLittleMoreThanOnesBelow(t *testing.T) {
	const (
		below, above = 450, 1000 // jobs per second; 730 take the whole capacity
		mostGrowth   = 2.0
		repeats      = 3
	)
	costBelow, costAbove := time.Hour, time.Hour
	for seed := range uint64(repeats) {
		costBelow = min(costBelow, jobCost(t, below, seed+1))
		costAbove = min(costAbove, jobCost(t, above, seed+1))
	}
	growth := float64(costAbove) / float64(costBelow)
	t.Logf("a job above the capacity costs %.2f times as much as one below", growth)
	if growth > mostGrowth {
		t.Errorf("a job above the capacity costs %.1f times as much as one below, want at most %.1f", growth, mostGrowth)
	}
}

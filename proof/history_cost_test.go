package proof

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"foxtailmux/model"
)

// maxTableRate bounds the transactions a second that all instances together make
// to claim idempotency keys.
const maxTableRate = 300

// submitFor submits jobs from several callers for the duration d and returns the
// sorted latencies of the complete jobs. A job that is not complete fails the test.
func submitFor(t *testing.T, c *testCentre, callers int, d time.Duration, build func(id string) model.Job) []time.Duration {
	t.Helper()

	var mu sync.Mutex
	var took []time.Duration
	var all sync.WaitGroup
	limit := time.Now().Add(d)
	shared := newCaller(c.addrs...)
	for k := range callers {
		all.Go(func() {
			for n := 0; time.Now().Before(limit); n++ {
				id := fmt.Sprintf("%s-%d-%d-%d", t.Name(), callers, k, n)
				job := build(id)
				began := time.Now()
				a, err := shared.submit(job)
				if err != nil || a.Result != model.Complete {
					t.Errorf("%s: %v %+v", id, err, a.Error)
					return
				}
				mu.Lock()
				took = append(took, time.Since(began))
				mu.Unlock()
			}
		})
	}
	all.Wait()
	slices.Sort(took)
	return took
}

func TestKeyedSubmissionsStayWithinTheTablesRate(t *testing.T) {
	c := startCentre(t, 4, 8)
	keyed := func(id string) model.Job {
		job := newJob(id, 1, 0)
		job.IdempotencyKey = id
		return job
	}

	const phase = 2 * time.Second
	for _, callers := range []int{8, 64} {
		before := c.platform.Counters().Writes
		began := time.Now()
		jobs := len(submitFor(t, c, callers, phase, keyed))
		seconds := time.Since(began).Seconds()
		writes := c.platform.Counters().Writes - before

		t.Logf("%d callers: %.0f keyed jobs/s, %.0f transactions/s, %.2f transactions a job",
			callers, float64(jobs)/seconds, float64(writes)/seconds, float64(writes)/float64(jobs))
		if rate := float64(writes) / seconds; rate > maxTableRate {
			t.Errorf("%.0f transactions a second, want at most %d", rate, maxTableRate)
		}
	}
}

func TestPlainTicketedAndKeyedJobsAreAllServed(t *testing.T) {
	c := startCentre(t, 4, 8)
	ticketCaller := newCaller(c.addrs...)
	builds := map[string]func(id string) model.Job{
		"plain": func(id string) model.Job { return newJob(id, 1, 0) },
		"ticketed": func(id string) model.Job {
			job := newJob(id, 1, 0)
			var batch model.TicketBatch
			if err := ticketCaller.post("/v1/tickets", map[string]int{"count": 1}, &batch); err == nil && len(batch.Tickets) == 1 {
				job.Ticket = batch.Tickets[0]
			}
			return job
		},
		"keyed": func(id string) model.Job {
			job := newJob(id, 1, 0)
			job.IdempotencyKey = id
			return job
		},
	}
	for _, name := range []string{"plain", "ticketed", "keyed"} {
		took := submitFor(t, c, 8, 2*time.Second, func(id string) model.Job { return builds[name](name + id) })
		if diff := cmp.Diff(true, len(took) > 0); diff != "" {
			t.Fatalf("no %s job was answered", name)
		}
		t.Logf("%s: %d jobs, median %v, 99th percentile %v", name, len(took), took[len(took)/2], took[len(took)*99/100])
	}
}

package proof

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"foxtailmux/model"
	"foxtailmux/place"
	"foxtailmux/queue"
)

const (
	loadCallers = 8
	loadChanges = 30
)

// tuned returns a folder with the limits, the policy and the order drawn at
// random, but with room for the callers of the test.
func tuned(t *testing.T, r *rand.Rand) string {
	t.Helper()

	policies, orders := place.Policies.Names(), queue.Orders.Names()
	return confFolder(t, fmt.Sprintf(`
placement:
  policy: %s
  order: %s
  maxQueuePerSlot: %d
  spillOver: %t
teams:
  - name: counter
    weight: %d
    maxOpenJobs: %d
limits:
  maxOpenJobs: %d
retry:
  maxAttempts: %d
ejection:
  failures: %d
intervals:
  configPoll: 100ms
  idleConn: %dms
`,
		policies[r.IntN(len(policies))], orders[r.IntN(len(orders))],
		1+r.IntN(16), r.IntN(2) == 0,
		1+r.IntN(9), loadCallers+r.IntN(100), loadCallers+r.IntN(1000),
		1+r.IntN(4), 1+r.IntN(9), 100+r.IntN(2000)))
}

func TestChangesUnderLoadCutOffAndRefuseNothing(t *testing.T) {
	r := seeded(t)
	c := startCell(t, 2, 4)
	w := watchConfig(t, c.entries...)
	b := startBalancer(t, c.entries...)
	tr := startTraffic(t, b, loadCallers, 3, 30*time.Millisecond)

	for range loadChanges {
		number := mustApply(t, c.platform.Addr(), tuned(t, r))
		w.mustReach(number, time.Now(), c.entries...)
		before := len(tr.answers())
		waitFor(t, "jobs go through", func() bool { return len(tr.answers()) > before+loadCallers })
	}
	tr.stop()

	t.Logf("%d jobs during %d changes", len(tr.answers()), loadChanges)
	checkStartedOnce(t, c, tr)
	mustHaveHistory(t, c.platform.Addr(), 1+loadChanges)
}

// crowd submits wide jobs of one team without a pause until it is stopped.
// A refusal must be for a limit and true.
type crowd struct {
	t       *testing.T
	caller  *caller
	stopped atomic.Bool
	workers sync.WaitGroup

	mu      sync.Mutex
	whole   int
	refused []string
}

const (
	crowdCallers = 6
	crowdTasks   = 16
)

func startCrowd(t *testing.T, addr string) *crowd {
	t.Helper()

	cr := &crowd{t: t, caller: newCaller(addr)}
	for i := range crowdCallers {
		cr.workers.Go(func() {
			for n := 0; !cr.stopped.Load(); n++ {
				cr.submit(fmt.Sprintf("crowd-%d-%d", i, n))
				time.Sleep(time.Millisecond)
			}
		})
	}
	return cr
}

func (cr *crowd) submit(id string) {
	a, err := cr.caller.submit(quote(id, crowdTasks, 50*time.Millisecond))
	if err != nil {
		cr.t.Errorf("%s: cut off: %v", id, err)
		return
	}

	cr.mu.Lock()
	defer cr.mu.Unlock()
	if !isLimit(a) {
		checkWhole(cr.t, id, crowdTasks, a)
		cr.whole++
		return
	}
	cr.refused = append(cr.refused, id)
}

// isLimit reports whether a job was refused by a limit before any of it ran.
func isLimit(a model.Answer) bool {
	if a.Ran != model.RanNo || a.Error == nil {
		return false
	}
	return a.Error.Kind == model.FailOverloaded || a.Error.Kind == model.FailQuota
}

func (cr *crowd) counts() (whole, refused int) {
	cr.mu.Lock()
	defer cr.mu.Unlock()
	return cr.whole, len(cr.refused)
}

func (cr *crowd) stop() {
	cr.stopped.Store(true)
	cr.workers.Wait()
}

// A team, an instance and a queue that hold more than they may after the
// change finish what they hold.
func TestLimitsThatShrinkLetWhatRunsEnd(t *testing.T) {
	c := startCell(t, 1, 1)
	w := watchConfig(t, c.entries...)
	number := mustApply(t, c.platform.Addr(), confFolder(t, "intervals:\n  configPoll: 100ms\n"))
	w.mustReach(number, time.Now(), c.entries...)

	cr := startCrowd(t, c.addrs[0])
	waitFor(t, "every caller has a job open", func() bool { return openJobs(t, c.entries[0]) == crowdCallers })
	if whole, refused := cr.counts(); refused > 0 {
		t.Errorf("%d jobs were refused below the limits, %d served", refused, whole)
	}

	for _, shrunk := range []string{
		"teams: [{name: counter, maxOpenJobs: 2}]",
		"limits: {maxOpenJobs: 2}",
		"placement: {maxQueuePerSlot: 1}",
	} {
		_, before := cr.counts()
		number := mustApply(t, c.platform.Addr(), confFolder(t, shrunk+"\nintervals: {configPoll: 100ms}\n"))
		w.mustReach(number, time.Now(), c.entries...)
		waitFor(t, "the limit holds: "+shrunk, func() bool {
			_, refused := cr.counts()
			return refused > before
		})

		number = mustApply(t, c.platform.Addr(), confFolder(t, "intervals:\n  configPoll: 100ms\n"))
		w.mustReach(number, time.Now(), c.entries...)
		waitFor(t, "every caller has a job open again", func() bool { return openJobs(t, c.entries[0]) == crowdCallers })
	}
	cr.stop()

	whole, refused := cr.counts()
	t.Logf("%d jobs served, %d refused by a limit", whole, refused)
	starts := c.starts(t)
	for _, id := range cr.refused {
		for i := range crowdTasks {
			if starts[nonce(id, i)] != 0 {
				t.Errorf("task %s of a job answered as not run was started", nonce(id, i))
			}
		}
	}
}

func openJobs(t *testing.T, p *process) int {
	t.Helper()

	s, err := stateOf(p.field("operators"))
	if err != nil {
		t.Fatal(err)
	}
	return s.OpenJobs["counter"]
}

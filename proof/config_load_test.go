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

// randomConfigFolder returns a folder with a random policy, order and limits. The
// limits always admit the callers of the test.
func randomConfigFolder(t *testing.T, r *rand.Rand) string {
	t.Helper()

	policies, orders := place.Policies.Names(), queue.Orders.Names()
	return configFolder(t, fmt.Sprintf(`
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
	r := newRandom(t)
	c := startCentre(t, 2, 4)
	w := watchConfig(t, c.entries...)
	b := startBalancer(t, c.entries...)
	tr := startTraffic(t, b, loadCallers, 3, 30*time.Millisecond)

	for range loadChanges {
		number := mustApply(t, c.platform.Addr(), randomConfigFolder(t, r))
		w.mustReach(number, time.Now(), c.entries...)
		before := len(tr.answers())
		waitFor(t, "more jobs are answered", func() bool { return len(tr.answers()) > before+loadCallers })
	}
	tr.stop()

	t.Logf("%d jobs during %d changes", len(tr.answers()), loadChanges)
	checkStartedOnce(t, c, tr)
	mustHaveHistory(t, c.platform.Addr(), 1+loadChanges)
}

// overload submits jobs of one team, each with many tasks, until it is stopped.
// Each job must either complete or be refused because of a limit.
type overload struct {
	t       *testing.T
	caller  *caller
	stopped atomic.Bool
	callers sync.WaitGroup

	mu       sync.Mutex
	complete int
	refused  []string
}

const (
	overloadCallers = 6
	overloadTasks   = 16
)

func startOverload(t *testing.T, addr string) *overload {
	t.Helper()

	o := &overload{t: t, caller: newCaller(addr)}
	for i := range overloadCallers {
		o.callers.Go(func() {
			for n := 0; !o.stopped.Load(); n++ {
				o.submit(fmt.Sprintf("crowd-%d-%d", i, n))
				time.Sleep(time.Millisecond)
			}
		})
	}
	return o
}

func (o *overload) submit(id string) {
	a, err := o.caller.submit(newJob(id, overloadTasks, 50*time.Millisecond))
	if err != nil {
		o.t.Errorf("%s: no answer: %v", id, err)
		return
	}

	o.mu.Lock()
	defer o.mu.Unlock()
	if !refusedByLimit(a) {
		checkComplete(o.t, id, overloadTasks, a)
		o.complete++
		return
	}
	o.refused = append(o.refused, id)
}

// refusedByLimit reports whether a job was refused because of a limit and did not
// run.
func refusedByLimit(a model.Answer) bool {
	if a.Ran != model.RanNo || a.Error == nil {
		return false
	}
	return a.Error.Kind == model.FailOverloaded || a.Error.Kind == model.FailQuota
}

func (o *overload) counts() (complete, refused int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.complete, len(o.refused)
}

func (o *overload) stop() {
	o.stopped.Store(true)
	o.callers.Wait()
}

// Guards against a lowered limit that ends or refuses jobs admitted before: open
// jobs of a team, open jobs of an instance and queued tasks above the new limit
// must still complete. Only new jobs may be refused.
func TestLoweredLimitsLetOpenJobsFinish(t *testing.T) {
	c := startCentre(t, 1, 1)
	w := watchConfig(t, c.entries...)
	number := mustApply(t, c.platform.Addr(), configFolder(t, "intervals:\n  configPoll: 100ms\n"))
	w.mustReach(number, time.Now(), c.entries...)

	o := startOverload(t, c.addrs[0])
	waitFor(t, "every caller has a job open", func() bool { return openJobs(t, c.entries[0]) == overloadCallers })
	if complete, refused := o.counts(); refused > 0 {
		t.Errorf("%d jobs were refused below the limits, %d served", refused, complete)
	}

	for _, lowered := range []string{
		"teams: [{name: counter, maxOpenJobs: 2}]",
		"limits: {maxOpenJobs: 2}",
		"placement: {maxQueuePerSlot: 1}",
	} {
		_, before := o.counts()
		number := mustApply(t, c.platform.Addr(), configFolder(t, lowered+"\nintervals: {configPoll: 100ms}\n"))
		w.mustReach(number, time.Now(), c.entries...)
		waitFor(t, "the limit is enforced: "+lowered, func() bool {
			_, refused := o.counts()
			return refused > before
		})

		number = mustApply(t, c.platform.Addr(), configFolder(t, "intervals:\n  configPoll: 100ms\n"))
		w.mustReach(number, time.Now(), c.entries...)
		waitFor(t, "every caller has a job open again", func() bool { return openJobs(t, c.entries[0]) == overloadCallers })
	}
	o.stop()

	complete, refused := o.counts()
	t.Logf("%d jobs served, %d refused by a limit", complete, refused)
	starts := c.starts(t)
	for _, id := range o.refused {
		for i := range overloadTasks {
			if starts[nonce(id, i)] != 0 {
				t.Errorf("task %s of a refused job was started", nonce(id, i))
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

package proof

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"foxtailmux/model"
)

const (
	// balancerPeriod is the interval of the balancer's readiness checks. The
	// drain delay of instances must be longer, so that the balancer notices
	// before they stop accepting requests.
	balancerPeriod = 50 * time.Millisecond
	drainDelay     = 500 * time.Millisecond
)

// balancer selects among the instances that were ready at its last check.
type balancer struct {
	http http.Client

	mu      sync.Mutex
	entries []*process
	ready   []string
	next    int

	stop chan struct{}
	done chan struct{}
}

func startBalancer(t *testing.T, entries ...*process) *balancer {
	t.Helper()

	b := &balancer{
		http:    http.Client{Timeout: time.Second},
		entries: slices.Clone(entries),
		stop:    make(chan struct{}),
		done:    make(chan struct{}),
	}
	b.check()
	go b.run()
	t.Cleanup(func() {
		close(b.stop)
		<-b.done
	})
	return b
}

func (b *balancer) run() {
	defer close(b.done)
	for {
		select {
		case <-time.After(balancerPeriod):
			b.check()
		case <-b.stop:
			return
		}
	}
}

func (b *balancer) check() {
	b.mu.Lock()
	entries := append([]*process(nil), b.entries...)
	b.mu.Unlock()

	var ready []string
	for _, p := range entries {
		operators, _ := p.find("operators")
		callers, _ := p.find("callers")
		if callers != "" && b.isReady(operators) {
			ready = append(ready, callers)
		}
	}

	b.mu.Lock()
	defer b.mu.Unlock()
	b.ready = ready
}

func (b *balancer) isReady(addr string) bool {
	response, err := b.http.Get("http://" + addr + "/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (b *balancer) add(p *process) {
	b.mu.Lock()
	defer b.mu.Unlock()

	b.entries = append(b.entries, p)
}

// pick returns the address of the next ready instance, or "" if there is none.
func (b *balancer) pick() string {
	b.mu.Lock()
	defer b.mu.Unlock()

	if len(b.ready) == 0 {
		return ""
	}
	b.next++
	return b.ready[b.next%len(b.ready)]
}

// traffic submits jobs through a balancer until it is stopped. Every job must
// complete, and every other one has a ticket.
type traffic struct {
	t        *testing.T
	balancer *balancer
	caller   *caller
	tasks    int
	run      time.Duration

	stopped atomic.Bool
	callers sync.WaitGroup

	mu       sync.Mutex
	answered map[string]model.Answer // by the prefix of the job's nonces
	jobs     map[string]model.Job
}

func startTraffic(t *testing.T, b *balancer, callers, tasks int, run time.Duration) *traffic {
	t.Helper()

	tr := &traffic{
		t: t, balancer: b, caller: newCaller(), tasks: tasks, run: run,
		answered: map[string]model.Answer{}, jobs: map[string]model.Job{},
	}
	for i := range callers {
		tr.callers.Go(func() { tr.submitAll(i) })
	}
	return tr
}

func (tr *traffic) submitAll(worker int) {
	for n := 0; !tr.stopped.Load(); n++ {
		tr.submitOne(fmt.Sprintf("t%d-%d", worker, n), n%2 == 0)
	}
}

func (tr *traffic) submitOne(id string, ticketed bool) {
	job := newJob(id, tr.tasks, tr.run)
	if ticketed {
		var batch model.TicketBatch
		if err := tr.caller.postTo(tr.balancer.pick(), "/v1/tickets", map[string]int{"count": 1}, &batch); err != nil {
			tr.t.Errorf("%s: ticket: %v", id, err)
			return
		}
		if len(batch.Tickets) != 1 {
			tr.t.Errorf("%s: no ticket", id)
			return
		}
		job.Ticket = batch.Tickets[0]
	}

	var a model.Answer
	if err := tr.caller.postTo(tr.balancer.pick(), "/v1/jobs", job, &a); err != nil {
		tr.t.Errorf("%s: no answer: %v", id, err)
		return
	}
	checkComplete(tr.t, id, tr.tasks, a)

	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.answered[id] = a
	tr.jobs[id] = job
}

func (tr *traffic) stop() {
	tr.stopped.Store(true)
	tr.callers.Wait()
}

// Guards against requests, answers or tickets that are lost when all instances are
// restarted one after the other under traffic.
func TestRollingRestartCutsOffNothing(t *testing.T) {
	c := startCentre(t, 3, 6, "--stop.drainDelay", drainDelay.String())
	b := startBalancer(t, c.entries...)
	tr := startTraffic(t, b, 8, 3, 30*time.Millisecond)

	for i := range 3 {
		old := c.entries[i]
		before := len(tr.answers())
		old.send(syscall.SIGTERM)
		if diff := cmp.Diff(0, old.waitExit()); diff != "" {
			t.Errorf("exit code of %s (-want +got):\n%s", old.name, diff)
		}
		if diff := cmp.Diff("0", old.field("cutRequests")); diff != "" {
			t.Errorf("requests that %s did not finish (-want +got):\n%s", old.name, diff)
		}

		fresh := c.replace(t, i)
		b.add(fresh)
		waitFor(t, fresh.name+" is ready", func() bool { return b.isReady(fresh.field("operators")) })
		waitFor(t, "more jobs are answered", func() bool { return len(tr.answers()) > before+50 })
	}
	tr.stop()

	checkStartedOnce(t, c, tr)
	checkResubmissions(t, b, tr)
}

func (tr *traffic) answers() map[string]model.Answer {
	tr.mu.Lock()
	defer tr.mu.Unlock()

	answers := make(map[string]model.Answer, len(tr.answered))
	for id, a := range tr.answered {
		answers[id] = a
	}
	return answers
}

// checkStartedOnce checks that each task of an answered job was started once.
func checkStartedOnce(t *testing.T, c *testCentre, tr *traffic) {
	t.Helper()

	starts := c.starts(t)
	for id := range tr.answers() {
		for i := range tr.tasks {
			if starts[nonce(id, i)] != 1 {
				t.Errorf("task %s started %d times", nonce(id, i), starts[nonce(id, i)])
			}
		}
	}
}

// checkResubmissions submits each job with a ticket again. It must get the same
// answer, although the instance that issued the ticket has exited since.
func checkResubmissions(t *testing.T, b *balancer, tr *traffic) {
	t.Helper()

	for id, want := range tr.answers() {
		job := tr.jobs[id]
		if job.Ticket == "" {
			continue
		}
		var got model.Answer
		if err := tr.caller.postTo(b.pick(), "/v1/jobs", job, &got); err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("%s: resubmission (-first +second):\n%s", id, diff)
		}
	}
}

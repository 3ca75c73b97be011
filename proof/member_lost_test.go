package proof

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"foxtailmux/fakes"
	"foxtailmux/model"
	"foxtailmux/peer"
	"foxtailmux/relay"
)

const (
	// stormDeadline is the deadline of each job of a storm.
	stormDeadline = 3 * time.Second

	// callerPatience is how long a caller of a storm waits for an answer.
	callerPatience = 4 * time.Second

	// lateSlack is how long after the end of a job a task that was on its way
	// may still reach a worker.
	lateSlack = 500 * time.Millisecond
)

// submission is one job of a storm as its caller saw it.
type submission struct {
	id      string
	begunAt time.Time // when it was first sent
	sentAt  time.Time // when it was last sent
	endedAt time.Time
	answer  model.Answer
	err     error // no answer came
}

func (s submission) complete() bool { return s.err == nil && s.answer.Result == model.Complete }

// storm submits jobs through a balancer and keeps what became of each,
// failures included. Every other job has a ticket and is submitted once more
// when it isn't complete.
type storm struct {
	balancer *balancer
	caller   *caller
	tasks    int
	run      time.Duration
	alter    func(*model.Job)

	stopped atomic.Bool
	callers sync.WaitGroup

	mu   sync.Mutex
	list []submission
}

func startStorm(b *balancer, callers, tasks int, run time.Duration, alter func(*model.Job)) *storm {
	s := &storm{balancer: b, caller: newCaller(), tasks: tasks, run: run, alter: alter}
	s.caller.http.Timeout = callerPatience
	for i := range callers {
		s.callers.Go(func() {
			for n := 0; !s.stopped.Load(); n++ {
				s.submit(fmt.Sprintf("s%d-%d", i, n), n%2 == 0)
			}
		})
	}
	return s
}

func (s *storm) submit(id string, ticketed bool) {
	job := quote(id, s.tasks, s.run)
	job.DeadlineMillis = stormDeadline.Milliseconds()
	if s.alter != nil {
		s.alter(&job)
	}
	if ticketed {
		var batch model.TicketBatch
		err := s.caller.postTo(s.balancer.pick(), "/v1/tickets", map[string]int{"count": 1}, &batch)
		if err != nil || len(batch.Tickets) != 1 {
			return // nothing was submitted
		}
		job.Ticket = batch.Tickets[0]
	}

	sub := s.post(id, job)
	if ticketed && !sub.complete() {
		begunAt := sub.begunAt
		sub = s.post(id, job)
		sub.begunAt = begunAt
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list = append(s.list, sub)
}

func (s *storm) post(id string, job model.Job) submission {
	now := time.Now()
	sub := submission{id: id, begunAt: now, sentAt: now}
	sub.err = s.caller.postTo(s.balancer.pick(), "/v1/jobs", job, &sub.answer)
	sub.endedAt = time.Now()
	return sub
}

func (s *storm) stop() []submission {
	s.stopped.Store(true)
	s.callers.Wait()
	return s.submissions()
}

func (s *storm) submissions() []submission {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]submission(nil), s.list...)
}

// waitComplete waits until as many more jobs were sent from now on and are
// complete.
func (s *storm) waitComplete(t *testing.T, count int) {
	t.Helper()

	began := time.Now()
	waitFor(t, "jobs are complete", func() bool {
		complete := 0
		for _, sub := range s.submissions() {
			if sub.sentAt.After(began) && sub.complete() {
				complete++
			}
		}
		return complete >= count
	})
}

// summary counts the jobs that were first sent in a span of time.
type summary struct {
	jobs, failed, unanswered int
	recovered                time.Duration // from the begin to when the last job that wasn't complete was sent
}

func summarise(list []submission, from, to time.Time) summary {
	var sum summary
	for _, sub := range list {
		if sub.begunAt.Before(from) || sub.begunAt.After(to) {
			continue
		}
		sum.jobs++
		switch {
		case sub.err != nil:
			sum.unanswered++
		case !sub.complete():
			sum.failed++
		}
		if !sub.complete() {
			sum.recovered = max(sum.recovered, sub.begunAt.Sub(from))
		}
	}
	return sum
}

// checkStorm compares the submissions with the starts on the workers: answers
// are whole or failed, no nonce starts twice, a job that did not run has no
// start, and nothing starts once its job has ended.
func checkStorm(t *testing.T, list []submission, tasks int, fleets ...*fakes.Fleet) {
	t.Helper()

	starts := startTimes(t, fleets...)
	for _, sub := range list {
		if sub.complete() {
			checkWhole(t, sub.id, tasks, sub.answer)
		} else if sub.err == nil {
			checkFailed(t, sub)
		}

		for i := range tasks {
			at := starts[nonce(sub.id, i)]
			if len(at) > 1 {
				t.Errorf("task %s started %d times", nonce(sub.id, i), len(at))
			}
			if sub.err == nil && sub.answer.Ran == model.RanNo && len(at) > 0 {
				t.Errorf("task %s of a job that did not run was started: %+v", nonce(sub.id, i), sub.answer)
			}
			for _, start := range at {
				checkInTime(t, sub, i, start)
			}
		}
	}
}

func checkFailed(t *testing.T, sub submission) {
	t.Helper()

	if sub.answer.Result != model.Failed || sub.answer.Error == nil || len(sub.answer.Tasks) > 0 {
		t.Errorf("%s is neither complete nor failed: %+v", sub.id, sub.answer)
	}
}

func checkInTime(t *testing.T, sub submission, task int, start time.Time) {
	t.Helper()

	if sub.err == nil && start.After(sub.endedAt.Add(lateSlack)) {
		t.Errorf("task %s started %v after its answer", nonce(sub.id, task), start.Sub(sub.endedAt))
	}
	if start.After(sub.sentAt.Add(stormDeadline + lateSlack)) {
		t.Errorf("task %s started %v after it was submitted", nonce(sub.id, task), start.Sub(sub.sentAt))
	}
}

// startTimes returns when each nonce was started.
func startTimes(t *testing.T, fleets ...*fakes.Fleet) map[string][]time.Time {
	t.Helper()

	times := map[string][]time.Time{}
	for _, f := range fleets {
		for _, w := range f.Workers {
			if dropped := w.Events().Dropped; dropped > 0 {
				t.Fatalf("%d events were dropped", dropped)
			}
			for _, e := range startsOn(w) {
				times[e.Nonce] = append(times[e.Nonce], time.UnixMilli(e.AtMillis))
			}
		}
	}
	return times
}

func TestOneInstanceKilledAndOneFrozenUnderTraffic(t *testing.T) {
	const tasks = 4
	c := startCell(t, 4, 8)
	b := startBalancer(t, c.entries...)
	s := startStorm(b, 12, tasks, 30*time.Millisecond, nil)
	s.waitComplete(t, 200)

	struck := time.Now()
	c.entries[1].kill()
	c.entries[2].send(syscall.SIGSTOP)
	waitFor(t, "the frozen instance is out for a while", func() bool { return time.Since(struck) > 8*time.Second })
	s.waitComplete(t, 200)

	thawed := time.Now()
	c.entries[2].send(syscall.SIGCONT)
	waitServing(t, c.entries[0], c.entries[2], c.entries[3])
	back := time.Now()
	s.waitComplete(t, 200)
	list := s.stop()

	t.Logf("before: %+v", summarise(list, time.Time{}, struck))
	t.Logf("killed and frozen: %+v", summarise(list, struck, thawed))
	t.Logf("after the thaw: %+v", summarise(list, thawed, time.Now()))
	checkStorm(t, list, tasks, c.fleet)
	if diff := cmp.Diff(0, notComplete(list, struck.Add(5*time.Second), thawed.Add(-callerPatience))); diff != "" {
		t.Errorf("jobs not complete long after the fault (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(0, notComplete(list, back.Add(time.Second), time.Now())); diff != "" {
		t.Errorf("jobs not complete after the thaw (-want +got):\n%s", diff)
	}
}

func notComplete(list []submission, from, to time.Time) int {
	sum := summarise(list, from, to)
	return sum.failed + sum.unanswered
}

// TestBatchFromBeforeAFreezeIsNotStarted forwards a batch to a frozen
// instance as a peer does, and keeps the connection open until after the thaw.
func TestBatchFromBeforeAFreezeIsNotStarted(t *testing.T) {
	c := startCell(t, 1, 2)
	frozen := c.entries[0]
	client := peer.New(peer.Options{
		Self:       model.Entry{ID: "tester", Incarnation: "tester-1"},
		ListenAddr: "127.0.0.1:0",
	})
	t.Cleanup(func() { _ = client.Close(context.Background()) })
	client.SetPeer("kochi-1", frozen.field("peers"))

	var reply relay.BatchReply
	if err := client.Call(t.Context(), "kochi-1", relay.MethodRun, batch("early"), &reply); err != nil {
		t.Fatal(err)
	}

	frozen.send(syscall.SIGSTOP)
	frozenAt := time.Now()
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	if err := client.Call(ctx, "kochi-1", relay.MethodRun, batch("late"), &reply); err == nil {
		t.Fatal("the frozen instance answered")
	}
	waitFor(t, "the pause is long", func() bool { return time.Since(frozenAt) > 3*time.Second })
	frozen.send(syscall.SIGCONT)

	waitFor(t, "the instance answers again", func() bool {
		response, err := http.Get("http://" + frozen.field("operators") + "/readyz")
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return true
	})
	waitFor(t, "a new batch is run", func() bool {
		return client.Call(t.Context(), "kochi-1", relay.MethodRun, batch("after"), &reply) == nil
	})
	want := map[string]int{nonce("early", 0): 1, nonce("after", 0): 1}
	if diff := cmp.Diff(want, c.starts(t)); diff != "" {
		t.Errorf("starts (-want +got):\n%s", diff)
	}
}

// batch builds a forwarded job of one task with a long deadline.
func batch(id string) relay.Batch {
	job := quote(id, 1, 0)
	return relay.Batch{
		JobID: id, Team: job.Team, Pool: "quoting", Weight: 1, LeftMillis: time.Minute.Milliseconds(),
		Tasks: []relay.Task{{
			Request: model.StartRequest{
				TaskID: id + "-0", Attempt: 1, Team: job.Team, Service: job.Service, Payload: job.Tasks[0].Payload,
			},
		}},
	}
}

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
	// trafficDeadline is the deadline of each job of a recordedTraffic.
	trafficDeadline = 3 * time.Second

	// callerTimeout is how long a caller waits for an answer.
	callerTimeout = 4 * time.Second

	// startSlack is the time after the end of a job during which a start request
	// sent before may still reach a worker.
	startSlack = 500 * time.Millisecond
)

// submission is the outcome of one job as its caller saw it.
type submission struct {
	id          string
	firstSentAt time.Time // when the job was first submitted
	lastSentAt  time.Time // when the job was last submitted
	endedAt     time.Time
	answer      model.Answer
	err         error // set if the last submission got no answer
}

func (s submission) complete() bool { return s.err == nil && s.answer.Result == model.Complete }

// recordedTraffic submits jobs through a balancer and records the outcome of each;
// jobs may fail. Every other job has a ticket and is submitted a second time if it
// isn't complete.
type recordedTraffic struct {
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

func startRecordedTraffic(b *balancer, callers, tasks int, run time.Duration, alter func(*model.Job)) *recordedTraffic {
	s := &recordedTraffic{balancer: b, caller: newCaller(), tasks: tasks, run: run, alter: alter}
	s.caller.http.Timeout = callerTimeout
	for i := range callers {
		s.callers.Go(func() {
			for n := 0; !s.stopped.Load(); n++ {
				s.submit(fmt.Sprintf("s%d-%d", i, n), n%2 == 0)
			}
		})
	}
	return s
}

func (s *recordedTraffic) submit(id string, ticketed bool) {
	job := newJob(id, s.tasks, s.run)
	job.DeadlineMillis = trafficDeadline.Milliseconds()
	if s.alter != nil {
		s.alter(&job)
	}
	if ticketed {
		var batch model.TicketBatch
		err := s.caller.postTo(s.balancer.pick(), "/v1/tickets", map[string]int{"count": 1}, &batch)
		if err != nil || len(batch.Tickets) != 1 {
			return // without a ticket, the job is not submitted
		}
		job.Ticket = batch.Tickets[0]
	}

	sub := s.post(id, job)
	if ticketed && !sub.complete() {
		firstSentAt := sub.firstSentAt
		sub = s.post(id, job)
		sub.firstSentAt = firstSentAt
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list = append(s.list, sub)
}

func (s *recordedTraffic) post(id string, job model.Job) submission {
	now := time.Now()
	sub := submission{id: id, firstSentAt: now, lastSentAt: now}
	sub.err = s.caller.postTo(s.balancer.pick(), "/v1/jobs", job, &sub.answer)
	sub.endedAt = time.Now()
	return sub
}

func (s *recordedTraffic) stop() []submission {
	s.stopped.Store(true)
	s.callers.Wait()
	return s.submissions()
}

func (s *recordedTraffic) submissions() []submission {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]submission(nil), s.list...)
}

// waitComplete waits until count jobs that were submitted after the call are
// complete.
func (s *recordedTraffic) waitComplete(t *testing.T, count int) {
	t.Helper()

	began := time.Now()
	waitFor(t, "jobs are complete", func() bool {
		complete := 0
		for _, sub := range s.submissions() {
			if sub.lastSentAt.After(began) && sub.complete() {
				complete++
			}
		}
		return complete >= count
	})
}

// summary counts the jobs that were first submitted in an interval.
type summary struct {
	jobs, failed, unanswered int
	lastFailure              time.Duration // from the start of the interval to the first submission of the last incomplete job
}

func summarise(list []submission, from, to time.Time) summary {
	var sum summary
	for _, sub := range list {
		if sub.firstSentAt.Before(from) || sub.firstSentAt.After(to) {
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
			sum.lastFailure = max(sum.lastFailure, sub.firstSentAt.Sub(from))
		}
	}
	return sum
}

// checkSubmissions compares the submissions with the starts on the workers: each
// answer is complete or failed, no task starts twice, no task of a job that did not
// run starts, and no task starts after the end of its job.
func checkSubmissions(t *testing.T, list []submission, tasks int, fleets ...*fakes.Fleet) {
	t.Helper()

	starts := startTimes(t, fleets...)
	for _, sub := range list {
		if sub.complete() {
			checkComplete(t, sub.id, tasks, sub.answer)
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

// checkFailed checks that an answer that isn't complete is a failure without results.
func checkFailed(t *testing.T, sub submission) {
	t.Helper()

	if sub.answer.Result != model.Failed || sub.answer.Error == nil || len(sub.answer.Tasks) > 0 {
		t.Errorf("%s: answer is neither complete nor failed: %+v", sub.id, sub.answer)
	}
}

// checkInTime checks that a task started before its job was answered and before its
// deadline, plus startSlack.
func checkInTime(t *testing.T, sub submission, task int, start time.Time) {
	t.Helper()

	if sub.err == nil && start.After(sub.endedAt.Add(startSlack)) {
		t.Errorf("task %s started %v after its answer", nonce(sub.id, task), start.Sub(sub.endedAt))
	}
	if start.After(sub.lastSentAt.Add(trafficDeadline + startSlack)) {
		t.Errorf("task %s started %v after it was submitted", nonce(sub.id, task), start.Sub(sub.lastSentAt))
	}
}

// startTimes returns the times at which tasks were started, by nonce.
func startTimes(t *testing.T, fleets ...*fakes.Fleet) map[string][]time.Time {
	t.Helper()

	times := map[string][]time.Time{}
	for _, f := range fleets {
		for _, w := range f.Workers {
			if dropped := w.Events().Dropped; dropped > 0 {
				t.Fatalf("%d events were dropped", dropped)
			}
			for _, e := range startEvents(w) {
				times[e.Nonce] = append(times[e.Nonce], time.UnixMilli(e.AtMillis))
			}
		}
	}
	return times
}

// Guards against jobs that keep failing after one instance was killed and another
// paused, or after the paused one has resumed, and against double starts.
func TestOneInstanceKilledAndOnePausedUnderTraffic(t *testing.T) {
	const tasks = 4
	c := startCentre(t, 4, 8)
	b := startBalancer(t, c.entries...)
	s := startRecordedTraffic(b, 12, tasks, 30*time.Millisecond, nil)
	s.waitComplete(t, 200)

	faultAt := time.Now()
	c.entries[1].kill()
	c.entries[2].pause()
	waitFor(t, "the instance is paused for a while", func() bool { return time.Since(faultAt) > 8*time.Second })
	s.waitComplete(t, 200)

	resumedAt := time.Now()
	c.entries[2].send(syscall.SIGCONT)
	waitServing(t, c.entries[0], c.entries[2], c.entries[3])
	servingAt := time.Now()
	s.waitComplete(t, 200)
	list := s.stop()

	t.Logf("before: %+v", summarise(list, time.Time{}, faultAt))
	t.Logf("killed and paused: %+v", summarise(list, faultAt, resumedAt))
	t.Logf("after the resume: %+v", summarise(list, resumedAt, time.Now()))
	checkSubmissions(t, list, tasks, c.fleet)
	if diff := cmp.Diff(0, countIncomplete(list, faultAt.Add(5*time.Second), resumedAt.Add(-callerTimeout))); diff != "" {
		t.Errorf("incomplete jobs 5s after the fault and later (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(0, countIncomplete(list, servingAt.Add(time.Second), time.Now())); diff != "" {
		t.Errorf("incomplete jobs after the resume (-want +got):\n%s", diff)
	}
}

func countIncomplete(list []submission, from, to time.Time) int {
	sum := summarise(list, from, to)
	return sum.failed + sum.unanswered
}

// Guards against a paused instance that, once resumed, starts the tasks of a batch
// whose sender has given up. The test forwards a batch as a peer does while the
// instance is paused, and keeps the connection open until the instance has resumed.
func TestBatchFromBeforeAFreezeIsNotStarted(t *testing.T) {
	c := startCentre(t, 1, 2)
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

	frozen.pause()
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

// batch returns a batch with a forwarded job of one task and a deadline of a
// minute.
func batch(id string) relay.Batch {
	job := newJob(id, 1, 0)
	return relay.Batch{
		JobID: id, Team: job.Team, Pool: "quoting", Weight: 1, LeftMillis: time.Minute.Milliseconds(),
		Tasks: []relay.Task{{
			Request: model.StartRequest{
				TaskID: id + "-0", Attempt: 1, Team: job.Team, Service: job.Service, Payload: job.Tasks[0].Payload,
			},
		}},
	}
}

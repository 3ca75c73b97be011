package sched

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/valyala/fasthttp"

	"foxtailmux/config"
	"foxtailmux/learn"
	"foxtailmux/model"
	"foxtailmux/queue"
)

// fakeWorker serves the worker protocol over in-memory connections.
type fakeWorker struct {
	mu      sync.Mutex
	starts  []string
	running int
	peak    int
	handle  func(model.StartRequest) model.TaskReply
	down    bool
}

func (w *fakeWorker) serve(ctx *fasthttp.RequestCtx) {
	var start model.StartRequest
	if err := json.Unmarshal(ctx.PostBody(), &start); err != nil {
		ctx.SetBodyString(`{"outcome":"notRun"}`)
		return
	}

	w.begin(start.TaskID)
	reply := w.handle(start)
	w.end()

	reply.TaskID = start.TaskID
	body, err := json.Marshal(reply)
	if err != nil {
		panic(err)
	}
	ctx.SetBody(body)
}

func (w *fakeWorker) begin(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()

	w.starts = append(w.starts, id)
	w.running++
	w.peak = max(w.peak, w.running)
}

func (w *fakeWorker) end() {
	w.mu.Lock()
	defer w.mu.Unlock()

	w.running--
}

func (w *fakeWorker) started() []string {
	w.mu.Lock()
	defer w.mu.Unlock()

	return append([]string(nil), w.starts...)
}

// harness is a scheduler with in-memory workers, used within a synctest bubble.
type harness struct {
	t       *testing.T
	sched   *Scheduler
	workers map[string]*fakeWorker
	list    []model.Worker
	servers sync.WaitGroup
}

type noopObserver struct{}

func (noopObserver) TaskStarted()            {}
func (noopObserver) Retried(string)          {}
func (noopObserver) Message(string, string)  {}
func (noopObserver) QueueLength(int)         {}
func (noopObserver) QueueWait(time.Duration) {}

func newHarness(t *testing.T) *harness {
	h := &harness{t: t, workers: map[string]*fakeWorker{}}
	h.sched = New("e1", "dc1", h.dial, noopObserver{}, &learn.Estimator{})

	document := config.Default()
	document.Placement.MaxQueuePerSlot = 2
	if err := h.sched.Apply(document); err != nil {
		t.Fatal(err)
	}
	return h
}

func (h *harness) dial(_ context.Context, addr string) (net.Conn, error) {
	w := h.workers[addr]
	if w.down {
		return nil, fmt.Errorf("%s is down", addr)
	}

	near, far := net.Pipe()
	server := fasthttp.Server{Handler: w.serve, NoDefaultDate: true}
	h.servers.Go(func() { _ = server.ServeConn(far) })
	return near, nil
}

func (h *harness) addWorker(id string, slots int, handle func(model.StartRequest) model.TaskReply) *fakeWorker {
	w := &fakeWorker{handle: handle}
	h.workers[id] = w
	h.list = append(h.list, model.Worker{
		ID: id, Addr: id, DataCentre: "dc1", Pool: "p", State: model.Live,
		Slots: slots, Capacity: model.Resources{Cores: 8, MemoryMB: 1000},
	})
	h.sched.UpdateWorkers(h.list)
	return w
}

// close closes all connections so that the synctest bubble can end.
func (h *harness) close() {
	h.sched.UpdateWorkers(nil)
	h.servers.Wait()
}

func (h *harness) job(id string, tasks int, deadline time.Duration) (*queue.Job, <-chan queue.Outcome) {
	outcomes := make(chan queue.Outcome, tasks)
	ctx, cancel := context.WithTimeout(h.t.Context(), deadline)
	h.t.Cleanup(cancel)

	j := &queue.Job{
		Context: ctx, ID: id, Pool: "p", Weight: 1,
		Arrived: time.Now(), Deadline: time.Now().Add(deadline),
	}
	for i := range tasks {
		j.Items = append(j.Items, &queue.Item{
			Request:     model.StartRequest{TaskID: fmt.Sprintf("%s-%d", id, i), Attempt: 1},
			ExpectedRun: time.Second,
			Deliver:     func(o queue.Outcome) { outcomes <- o },
		})
	}
	return j, outcomes
}

func (h *harness) submit(j *queue.Job) {
	h.t.Helper()

	if err := h.sched.Submit(j); err != nil {
		h.t.Fatal(err)
	}
}

func doneAfter(d time.Duration) func(model.StartRequest) model.TaskReply {
	return func(model.StartRequest) model.TaskReply {
		time.Sleep(d)
		return model.TaskReply{Outcome: model.OutcomeDone}
	}
}

// timedDoneAfter is doneAfter with the run time in the reply.
func timedDoneAfter(d time.Duration) func(model.StartRequest) model.TaskReply {
	return func(model.StartRequest) model.TaskReply {
		time.Sleep(d)
		return model.TaskReply{Outcome: model.OutcomeDone, RunMillis: d.Milliseconds()}
	}
}

func replyAlways(o model.TaskOutcome) func(model.StartRequest) model.TaskReply {
	return func(model.StartRequest) model.TaskReply { return model.TaskReply{Outcome: o} }
}

func TestSlotsAreNeverExceeded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		defer h.close()
		w := h.addWorker("w1", 3, doneAfter(time.Second))

		j, outcomes := h.job("a", 9, time.Minute)
		h.submit(j)
		for range 9 {
			<-outcomes
		}

		if diff := cmp.Diff(3, w.peak); diff != "" {
			t.Errorf("tasks at once (-want +got):\n%s", diff)
		}
		if diff := cmp.Diff(9, len(w.started())); diff != "" {
			t.Errorf("starts (-want +got):\n%s", diff)
		}
	})
}

func TestTaskThatAWorkerDidNotRunGoesToAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		defer h.close()
		refusing := h.addWorker("w1", 8, replyAlways(model.OutcomeNotRun))
		h.addWorker("w2", 1, doneAfter(time.Second))

		j, outcomes := h.job("a", 2, time.Minute)
		h.submit(j)
		for range 2 {
			if o := <-outcomes; o.Reply.Outcome != model.OutcomeDone {
				t.Errorf("outcome is %+v, want done", o)
			}
		}
		if len(refusing.started()) == 0 {
			t.Error("the refusing worker got no start request")
		}
	})
}

func TestUnreachableWorkerLosesNoTask(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		defer h.close()
		h.addWorker("w1", 8, nil).down = true
		h.addWorker("w2", 1, doneAfter(time.Millisecond))

		j, outcomes := h.job("a", 6, time.Minute)
		h.submit(j)
		for range 6 {
			if o := <-outcomes; o.Reply.Outcome != model.OutcomeDone {
				t.Errorf("outcome is %+v, want done", o)
			}
		}
	})
}

func TestDeadlineInTheQueueProvesNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		defer h.close()
		w := h.addWorker("w1", 1, doneAfter(10*time.Second))
		long, outcomes := h.job("long", 1, time.Minute)
		long.Items[0].ExpectedRun = 0
		h.submit(long)

		late, lateOutcomes := h.job("late", 1, 2*time.Second)
		h.submit(late)
		if o := <-lateOutcomes; !o.NotRun {
			t.Errorf("outcome is %+v, want not run", o)
		}
		<-outcomes
		if diff := cmp.Diff([]string{"long-0"}, w.started()); diff != "" {
			t.Errorf("starts (-want +got):\n%s", diff)
		}
	})
}

func TestLeavingWorkerGetsNoNewTask(t *testing.T) {
	for name, leave := range map[string]func(*harness){
		"reported by the worker": func(h *harness) { h.sched.SetLeaving("w1") },
		"reported by the list": func(h *harness) {
			h.list[0].State = model.Leaving
			h.sched.UpdateWorkers(h.list)
			h.list[0].State = model.Live
			h.sched.UpdateWorkers(h.list)
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t)
				defer h.close()
				leaving := h.addWorker("w1", 8, doneAfter(time.Millisecond))
				h.addWorker("w2", 1, doneAfter(time.Millisecond))
				leave(h)

				j, outcomes := h.job("a", 3, time.Minute)
				h.submit(j)
				for range 3 {
					<-outcomes
				}
				if diff := cmp.Diff([]string(nil), leaving.started()); diff != "" {
					t.Errorf("starts on the leaving worker (-want +got):\n%s", diff)
				}
			})
		})
	}
}

func TestWorkerThatFailsEverythingIsEjected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		defer h.close()
		bad := h.addWorker("w1", 8, replyAlways(model.OutcomeFailed))
		h.addWorker("w2", 8, doneAfter(10*time.Millisecond))
		h.addWorker("w3", 8, doneAfter(10*time.Millisecond))

		failed := 0
		for i := range 100 {
			j, outcomes := h.job(fmt.Sprint(i), 1, time.Minute)
			h.submit(j)
			if o := <-outcomes; o.Reply.Outcome == model.OutcomeFailed {
				failed++
			}
		}
		rules := config.Default().Ejection
		if failed > rules.Failures+1 {
			t.Errorf("%d tasks failed, want at most %d", failed, rules.Failures+1)
		}
		if diff := cmp.Diff(failed, len(bad.started())); diff != "" {
			t.Errorf("starts on the bad worker (-want +got):\n%s", diff)
		}
	})
}

func TestQueueIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		defer h.close()
		h.addWorker("w1", 2, doneAfter(time.Second))

		first, outcomes := h.job("a", 6, time.Minute)
		h.submit(first)
		second, _ := h.job("b", 3, time.Minute)
		err := h.sched.Submit(second)
		wantKind(t, err, KindQueueFull)

		for range 6 {
			<-outcomes
		}
	})
}

func TestJobThatCannotMeetItsDeadlineIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		defer h.close()
		w := h.addWorker("w1", 1, doneAfter(time.Second))
		first, outcomes := h.job("a", 2, time.Minute)
		h.submit(first)

		late, _ := h.job("late", 1, 1500*time.Millisecond)
		wantKind(t, h.sched.Submit(late), KindTooLate)

		inTime, inTimeOutcomes := h.job("inTime", 1, 3500*time.Millisecond)
		h.submit(inTime)
		if o := <-inTimeOutcomes; o.Reply.Outcome != model.OutcomeDone {
			t.Errorf("outcome is %+v, want done", o)
		}
		for range 2 {
			<-outcomes
		}
		if diff := cmp.Diff([]string{"a-0", "a-1", "inTime-0"}, w.started()); diff != "" {
			t.Errorf("starts (-want +got):\n%s", diff)
		}
	})
}

func TestQueueOfAllPoolsIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		defer h.close()
		h.addWorker("w1", 2, doneAfter(time.Second))
		h.sched.SetMaxQueued(2)

		first, outcomes := h.job("a", 2, time.Minute)
		h.submit(first)
		second, more := h.job("b", 2, time.Minute)
		h.submit(second)
		third, _ := h.job("c", 1, time.Minute)
		wantKind(t, h.sched.Submit(third), KindQueueFull)

		for range 2 {
			<-outcomes
			<-more
		}
	})
}

func TestJobWithoutWorkersIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		defer h.close()

		j, _ := h.job("a", 1, time.Minute)
		wantKind(t, h.sched.Submit(j), KindNoWorker)
	})
}

func TestTaskWaitsUntilItsNeedsFit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		defer h.close()
		h.addWorker("w1", 8, doneAfter(time.Second))

		j, outcomes := h.job("a", 4, time.Minute)
		for _, it := range j.Items {
			it.Request.Needs = model.Resources{Cores: 4}
		}
		began := time.Now()
		h.submit(j)
		for range 4 {
			<-outcomes
		}
		if diff := cmp.Diff(2*time.Second, time.Since(began)); diff != "" {
			t.Errorf("time of four tasks, two of which fit at once (-want +got):\n%s", diff)
		}
	})
}

func wantKind(t *testing.T, err error, want Kind) {
	t.Helper()

	e, ok := err.(*Error)
	if !ok {
		t.Fatalf("error is %v, want a *sched.Error", err)
	}
	if diff := cmp.Diff(want, e.Kind); diff != "" {
		t.Errorf("kind (-want +got):\n%s", diff)
	}
}

// Tasks of a pool whose last worker left, got another owner or was removed from
// the list must be returned as not run at once instead of waiting until their
// deadlines.
func TestTasksWithoutAWorkerAreReturned(t *testing.T) {
	for name, removeWorker := range map[string]func(*harness){
		"the worker leaves":            func(h *harness) { h.sched.SetLeaving("w1") },
		"the worker has another owner": func(h *harness) { h.sched.SetOwnerFunc(func(string) string { return "e2" }) },
		"the worker is removed":        func(h *harness) { h.sched.UpdateWorkers(nil) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t)
				defer h.close()
				h.addWorker("w1", 1, doneAfter(time.Second))
				j, outcomes := h.job("a", 3, time.Minute)
				h.submit(j)

				synctest.Wait()
				began := time.Now()
				removeWorker(h)
				for range 2 {
					if o := <-outcomes; !o.NotRun {
						t.Errorf("outcome is %+v, want not run", o)
					}
				}
				if diff := cmp.Diff(time.Duration(0), time.Since(began)); diff != "" {
					t.Errorf("time until the tasks were returned (-want +got):\n%s", diff)
				}
				if o := <-outcomes; o.Reply.Outcome != model.OutcomeDone {
					t.Errorf("outcome of the task that ran is %+v, want done", o)
				}
			})
		})
	}
}

func TestStragglerIsEjectedAndReturns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		defer h.close()
		var recovered atomic.Bool
		slow := h.addWorker("w1", 8, func(r model.StartRequest) model.TaskReply {
			if recovered.Load() {
				return timedDoneAfter(100 * time.Millisecond)(r)
			}
			return timedDoneAfter(time.Second)(r)
		})
		for _, id := range []string{"w2", "w3", "w4"} {
			h.addWorker(id, 8, timedDoneAfter(100*time.Millisecond))
		}

		run := func(jobs, tasks int) (onSlow int) {
			before := len(slow.started())
			for i := range jobs {
				j, outcomes := h.job(fmt.Sprint(i), tasks, time.Minute)
				h.submit(j)
				for range tasks {
					<-outcomes
				}
			}
			return len(slow.started()) - before
		}

		run(20, 16)
		if got := run(20, 16); got > 4 {
			t.Errorf("the straggler got %d of 320 tasks, want some probes at most", got)
		}
		if load := h.sched.Load(); load.Slots > 25 {
			t.Errorf("%d slots are offered with a worker ejected", load.Slots)
		}

		// The ejected worker gets probes when the others are full.
		recovered.Store(true)
		for range 4 {
			time.Sleep(time.Minute)
			run(1, 32)
		}
		if got := run(20, 32); got < 100 {
			t.Errorf("the recovered worker got %d of 640 tasks", got)
		}
	})
}

func TestPoolLoadCountsOnePool(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		defer h.close()
		h.addWorker("w1", 3, doneAfter(time.Second))
		h.addWorker("w2", 5, doneAfter(time.Second))
		h.list[1].Pool = "other"
		h.sched.UpdateWorkers(h.list)

		got := map[string]model.Load{"p": h.sched.PoolLoad("p"), "other": h.sched.PoolLoad("other"), "none": h.sched.PoolLoad("none")}
		want := map[string]model.Load{"p": {Slots: 3, FreeSlots: 3}, "other": {Slots: 5, FreeSlots: 5}, "none": {}}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("load of each pool (-want +got):\n%s", diff)
		}

		h.sched.SetOwnerFunc(func(id string) string { return map[string]string{"w1": "e1", "w2": "e2"}[id] })
		if diff := cmp.Diff(map[string]int{"e2": 5}, h.sched.SlotsByOwner("other")); diff != "" {
			t.Errorf("slots by owner (-want +got):\n%s", diff)
		}
	})
}

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

// pipeWorker serves a worker's protocol over in-memory connections.
type pipeWorker struct {
	mu      sync.Mutex
	starts  []string
	running int
	peak    int
	handle  func(model.StartRequest) model.TaskReply
	down    bool
}

func (p *pipeWorker) serve(ctx *fasthttp.RequestCtx) {
	var start model.StartRequest
	if err := json.Unmarshal(ctx.PostBody(), &start); err != nil {
		ctx.SetBodyString(`{"outcome":"notRun"}`)
		return
	}

	p.enter(start.TaskID)
	reply := p.handle(start)
	p.leave()

	reply.TaskID = start.TaskID
	body, err := json.Marshal(reply)
	if err != nil {
		panic(err)
	}
	ctx.SetBody(body)
}

func (p *pipeWorker) enter(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.starts = append(p.starts, id)
	p.running++
	p.peak = max(p.peak, p.running)
}

func (p *pipeWorker) leave() {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.running--
}

func (p *pipeWorker) started() []string {
	p.mu.Lock()
	defer p.mu.Unlock()

	return append([]string(nil), p.starts...)
}

// bench is a scheduler with in-memory workers, used within a synctest bubble.
type bench struct {
	t       *testing.T
	sched   *Scheduler
	workers map[string]*pipeWorker
	list    []model.Worker
	servers sync.WaitGroup
}

type nothing struct{}

func (nothing) TaskStarted()            {}
func (nothing) Retried(string)          {}
func (nothing) Message(string, string)  {}
func (nothing) QueueLength(int)         {}
func (nothing) QueueWait(time.Duration) {}

func newBench(t *testing.T) *bench {
	b := &bench{t: t, workers: map[string]*pipeWorker{}}
	b.sched = New("e1", "dc1", b.dial, nothing{}, &learn.Estimator{})

	document := config.Default()
	document.Placement.MaxQueuePerSlot = 2
	if err := b.sched.Apply(document); err != nil {
		t.Fatal(err)
	}
	return b
}

func (b *bench) dial(_ context.Context, addr string) (net.Conn, error) {
	w := b.workers[addr]
	if w.down {
		return nil, fmt.Errorf("%s is down", addr)
	}

	near, far := net.Pipe()
	server := fasthttp.Server{Handler: w.serve, NoDefaultDate: true}
	b.servers.Go(func() { _ = server.ServeConn(far) })
	return near, nil
}

func (b *bench) add(id string, slots int, handle func(model.StartRequest) model.TaskReply) *pipeWorker {
	w := &pipeWorker{handle: handle}
	b.workers[id] = w
	b.list = append(b.list, model.Worker{
		ID: id, Addr: id, DataCentre: "dc1", Pool: "p", State: model.Live,
		Slots: slots, Capacity: model.Resources{Cores: 8, MemoryMB: 1000},
	})
	b.sched.UpdateWorkers(b.list)
	return w
}

// close ends the connections so that the bubble can end.
func (b *bench) close() {
	b.sched.UpdateWorkers(nil)
	b.servers.Wait()
}

func (b *bench) job(id string, tasks int, deadline time.Duration) (*queue.Job, <-chan queue.Outcome) {
	outcomes := make(chan queue.Outcome, tasks)
	ctx, cancel := context.WithTimeout(b.t.Context(), deadline)
	b.t.Cleanup(cancel)

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

func (b *bench) submit(j *queue.Job) {
	b.t.Helper()

	if err := b.sched.Submit(j); err != nil {
		b.t.Fatal(err)
	}
}

func after(d time.Duration) func(model.StartRequest) model.TaskReply {
	return func(model.StartRequest) model.TaskReply {
		time.Sleep(d)
		return model.TaskReply{Outcome: model.OutcomeDone}
	}
}

// timed is after with the run time in the reply.
func timed(d time.Duration) func(model.StartRequest) model.TaskReply {
	return func(model.StartRequest) model.TaskReply {
		time.Sleep(d)
		return model.TaskReply{Outcome: model.OutcomeDone, RunMillis: d.Milliseconds()}
	}
}

func always(o model.TaskOutcome) func(model.StartRequest) model.TaskReply {
	return func(model.StartRequest) model.TaskReply { return model.TaskReply{Outcome: o} }
}

func TestSlotsAreNeverExceeded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		defer b.close()
		w := b.add("w1", 3, after(time.Second))

		j, outcomes := b.job("a", 9, time.Minute)
		b.submit(j)
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
		b := newBench(t)
		defer b.close()
		refusing := b.add("w1", 8, always(model.OutcomeNotRun))
		b.add("w2", 1, after(time.Second))

		j, outcomes := b.job("a", 2, time.Minute)
		b.submit(j)
		for range 2 {
			if o := <-outcomes; o.Reply.Outcome != model.OutcomeDone {
				t.Errorf("outcome is %+v, want done", o)
			}
		}
		if len(refusing.started()) == 0 {
			t.Error("the refusing worker was never asked")
		}
	})
}

func TestUnreachableWorkerLosesNoTask(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		defer b.close()
		b.add("w1", 8, nil).down = true
		b.add("w2", 1, after(time.Millisecond))

		j, outcomes := b.job("a", 6, time.Minute)
		b.submit(j)
		for range 6 {
			if o := <-outcomes; o.Reply.Outcome != model.OutcomeDone {
				t.Errorf("outcome is %+v, want done", o)
			}
		}
	})
}

func TestDeadlineInTheQueueProvesNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		defer b.close()
		w := b.add("w1", 1, after(10*time.Second))
		long, outcomes := b.job("long", 1, time.Minute)
		long.Items[0].ExpectedRun = 0
		b.submit(long)

		late, lateOutcomes := b.job("late", 1, 2*time.Second)
		b.submit(late)
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
	for name, leave := range map[string]func(*bench){
		"said by the worker": func(b *bench) { b.sched.SetLeaving("w1") },
		"said by the list": func(b *bench) {
			b.list[0].State = model.Leaving
			b.sched.UpdateWorkers(b.list)
			b.list[0].State = model.Live
			b.sched.UpdateWorkers(b.list)
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBench(t)
				defer b.close()
				leaving := b.add("w1", 8, after(time.Millisecond))
				b.add("w2", 1, after(time.Millisecond))
				leave(b)

				j, outcomes := b.job("a", 3, time.Minute)
				b.submit(j)
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
		b := newBench(t)
		defer b.close()
		bad := b.add("w1", 8, always(model.OutcomeFailed))
		b.add("w2", 8, after(10*time.Millisecond))
		b.add("w3", 8, after(10*time.Millisecond))

		failed := 0
		for i := range 100 {
			j, outcomes := b.job(fmt.Sprint(i), 1, time.Minute)
			b.submit(j)
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
		b := newBench(t)
		defer b.close()
		b.add("w1", 2, after(time.Second))

		first, outcomes := b.job("a", 6, time.Minute)
		b.submit(first)
		second, _ := b.job("b", 3, time.Minute)
		err := b.sched.Submit(second)
		wantKind(t, err, KindQueueFull)

		for range 6 {
			<-outcomes
		}
	})
}

func TestJobThatWouldBeLateIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		defer b.close()
		w := b.add("w1", 1, after(time.Second))
		first, outcomes := b.job("a", 2, time.Minute)
		b.submit(first)

		late, _ := b.job("late", 1, 1500*time.Millisecond)
		wantKind(t, b.sched.Submit(late), KindTooLate)

		inTime, inTimeOutcomes := b.job("inTime", 1, 3500*time.Millisecond)
		b.submit(inTime)
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
		b := newBench(t)
		defer b.close()
		b.add("w1", 2, after(time.Second))
		b.sched.SetMaxQueued(2)

		first, outcomes := b.job("a", 2, time.Minute)
		b.submit(first)
		second, more := b.job("b", 2, time.Minute)
		b.submit(second)
		third, _ := b.job("c", 1, time.Minute)
		wantKind(t, b.sched.Submit(third), KindQueueFull)

		for range 2 {
			<-outcomes
			<-more
		}
	})
}

func TestJobWithoutWorkersIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		defer b.close()

		j, _ := b.job("a", 1, time.Minute)
		wantKind(t, b.sched.Submit(j), KindNoWorker)
	})
}

func TestTaskWaitsForAWorkerThatHoldsItsNeeds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		defer b.close()
		b.add("w1", 8, after(time.Second))

		j, outcomes := b.job("a", 4, time.Minute)
		for _, it := range j.Items {
			it.Request.Needs = model.Resources{Cores: 4}
		}
		began := time.Now()
		b.submit(j)
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

// A queue whose last worker leaves or moves to another instance must not keep
// its tasks until their deadlines.
func TestStrandedTasksAreGivenBack(t *testing.T) {
	for name, strand := range map[string]func(*bench){
		"the worker leaves":      func(b *bench) { b.sched.SetLeaving("w1") },
		"the worker has another": func(b *bench) { b.sched.SetOwnerFunc(func(string) string { return "e2" }) },
		"the worker is gone":     func(b *bench) { b.sched.UpdateWorkers(nil) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBench(t)
				defer b.close()
				b.add("w1", 1, after(time.Second))
				j, outcomes := b.job("a", 3, time.Minute)
				b.submit(j)

				synctest.Wait()
				began := time.Now()
				strand(b)
				for range 2 {
					if o := <-outcomes; !o.NotRun {
						t.Errorf("outcome is %+v, want not run", o)
					}
				}
				if diff := cmp.Diff(time.Duration(0), time.Since(began)); diff != "" {
					t.Errorf("time until the tasks came back (-want +got):\n%s", diff)
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
		b := newBench(t)
		defer b.close()
		var recovered atomic.Bool
		slow := b.add("w1", 8, func(r model.StartRequest) model.TaskReply {
			if recovered.Load() {
				return timed(100 * time.Millisecond)(r)
			}
			return timed(time.Second)(r)
		})
		for _, id := range []string{"w2", "w3", "w4"} {
			b.add(id, 8, timed(100*time.Millisecond))
		}

		run := func(jobs, tasks int) (onSlow int) {
			before := len(slow.started())
			for i := range jobs {
				j, outcomes := b.job(fmt.Sprint(i), tasks, time.Minute)
				b.submit(j)
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
		if load := b.sched.Load(); load.Slots > 25 {
			t.Errorf("%d slots are offered with a worker ejected", load.Slots)
		}

		// It is probed when the others are full.
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

func TestLoadTellsTheRoomOfOnePool(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		defer b.close()
		b.add("w1", 3, after(time.Second))
		b.add("w2", 5, after(time.Second))
		b.list[1].Pool = "other"
		b.sched.UpdateWorkers(b.list)

		got := map[string]model.Load{"p": b.sched.PoolLoad("p"), "other": b.sched.PoolLoad("other"), "none": b.sched.PoolLoad("none")}
		want := map[string]model.Load{"p": {Slots: 3, FreeSlots: 3}, "other": {Slots: 5, FreeSlots: 5}, "none": {}}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("load of each pool (-want +got):\n%s", diff)
		}

		b.sched.SetOwnerFunc(func(id string) string { return map[string]string{"w1": "e1", "w2": "e2"}[id] })
		if diff := cmp.Diff(map[string]int{"e2": 5}, b.sched.SlotsByOwner("other")); diff != "" {
			t.Errorf("slots by home (-want +got):\n%s", diff)
		}
	})
}

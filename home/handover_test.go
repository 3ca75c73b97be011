package home_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"foxtailmux/fakes"
	"foxtailmux/home"
)

// homeSeries is a series of homes of one data centre, of which the last one is in force. Its
// earlier homes are closed when they leave, or run on for a while as after a partition.
type homeSeries struct {
	dc    *testCentre
	mu    sync.Mutex
	homes []*home.Home
	next  chan struct{} // closed when there is a later home
}

func newHomeSeries(dc *testCentre) *homeSeries {
	return &homeSeries{dc: dc, homes: []*home.Home{dc.newHome(1)}, next: make(chan struct{})}
}

// latest returns the home in force, and a channel that is closed when there is a later one.
func (hs *homeSeries) latest() (*home.Home, <-chan struct{}) {
	hs.mu.Lock()
	defer hs.mu.Unlock()
	return hs.homes[len(hs.homes)-1], hs.next
}

// handOver puts a new home in force and closes the earlier one after a delay.
func (hs *homeSeries) handOver(delay time.Duration) {
	hs.mu.Lock()
	defer hs.mu.Unlock()
	old := hs.homes[len(hs.homes)-1]
	hs.homes = append(hs.homes, hs.dc.newHome(int64(len(hs.homes))+1))
	close(hs.next)
	hs.next = make(chan struct{})
	time.AfterFunc(delay, old.Close)
}

// submit submits a job to one home after the other, as its origin does, until it has an outcome.
func (hs *homeSeries) submit(s home.Submission) home.Outcome {
	began := time.Now()
	for {
		h, next := hs.latest()
		s.Age = time.Since(began)
		o := submit(h, s)
		if o.Result != home.Moved {
			return o
		}
		s.Resumed, s.TasksReported = true, true
		s.Done, s.MaybeRunning = append(s.Done, o.Done...), o.MaybeRunning
		if latest, _ := hs.latest(); latest == h {
			<-next
		}
	}
}

func (hs *homeSeries) close() {
	for _, h := range hs.homes {
		hs.dc.close(h)
	}
}

// A home that returns to its data centre is handed over while all is well, and may be handed over
// again soon after by a cut or a restart: no task runs twice at a time, and every job has an
// outcome. Seeds draw the times of the hand-overs, how long the earlier home goes on, and faults
// of a worker meanwhile.
func TestHandOversInSeriesRunNoTaskTwiceAtATime(t *testing.T) {
	for seed := range uint64(40) {
		synctest.Test(t, func(t *testing.T) { playHandOvers(t, seed) })
	}
}

func playHandOvers(t *testing.T, seed uint64) {
	dc := newTestCentre(t, 6)
	draw := rand.New(rand.NewPCG(seed, 0))
	series := newHomeSeries(dc)
	defer series.close()
	var callers sync.WaitGroup
	var mu sync.Mutex
	outcomes := map[home.Result]int{}
	const jobs = 150
	callers.Go(func() {
		load := rand.New(rand.NewPCG(seed, 1))
		for n := range jobs {
			time.Sleep(time.Duration(load.ExpFloat64() * float64(25*time.Millisecond)))
			s := submission(fmt.Sprintf("j%d", n), 1+load.IntN(4))
			callers.Go(func() {
				o := series.submit(s)
				mu.Lock()
				defer mu.Unlock()
				outcomes[o.Result]++
			})
		}
	})
	for range 6 {
		time.Sleep(time.Duration(draw.IntN(900)) * time.Millisecond)
		w := dc.workers[fmt.Sprintf("w%d", draw.IntN(6))]
		switch draw.IntN(4) {
		case 0:
			w.SetFaults(fakes.LeasedWorkerFaults{Unresponsive: true})
		case 1:
			w.SetFaults(fakes.LeasedWorkerFaults{LoseResponses: true})
		case 2:
			w.Crash()
			dc.describe(w.ID)
		}
		series.handOver(time.Duration(draw.IntN(3)*draw.IntN(200)) * time.Millisecond)
		time.AfterFunc(400*time.Millisecond, func() { w.SetFaults(fakes.LeasedWorkerFaults{}) })
	}
	callers.Wait()
	dc.checkLedger()
	total := 0
	for _, n := range outcomes {
		total += n
	}
	if total != jobs || outcomes[home.Succeeded] < jobs/2 {
		t.Errorf("seed %d: outcomes %v of %d jobs", seed, outcomes, jobs)
	}
}

// Guards against a task that runs twice after two homes were lost in a row: the second one extended the
// leases of the runs that it found before it knew whose they are, and its loss left them running longer
// than the time after which their callers submit the jobs again.
func TestRunsOfALostHomeEndWithTheirLeaseIfTheNextIsLostToo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dc := newTestCentre(t, 2)
		for _, w := range dc.workers {
			w.RunTime = func(string) time.Duration { return 10 * time.Second }
		}
		first := dc.readyHome(1)
		go submit(first, submission("a", 4))
		time.Sleep(300 * time.Millisecond)
		dc.close(first)
		lost := time.Now()

		time.Sleep(500 * time.Millisecond)
		second := dc.newHome(2)
		time.Sleep(200 * time.Millisecond)
		if diff := cmp.Diff(4, dc.ledger.RunningTasks()); diff != "" {
			t.Fatalf("running tasks when the second home is lost (-want +got):\n%s", diff)
		}
		dc.close(second)
		time.Sleep(time.Until(lost.Add(1100 * time.Millisecond)))
		if diff := cmp.Diff(0, dc.ledger.RunningTasks()); diff != "" {
			t.Errorf("running tasks 1.1 s after the loss of the first home (-want +got):\n%s", diff)
		}
	})
}

package home_test

import (
	"context"
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

// probeDelay is the time without bytes after which a connection is probed.
const probeDelay = 1020 * time.Millisecond

// loss is a way in which the first submission of a job loses its caller.
type loss struct {
	name    string
	tells   bool          // the home's connection to the origin ends at once, or the cancel arrives
	hears   bool          // heartbeats of the origin go on and announce the cancel
	probed  bool          // a probe of the caller's connection, a second after the request, tells the origin
	transit time.Duration // longest time that the submission is under way
}

var losses = []loss{
	{name: "the caller leaves", tells: true, hears: true},
	{name: "the origin is lost without a sign"},
	{name: "the origin is lost while the submission is under way", transit: 500 * time.Millisecond},
	{name: "only heartbeats get through", hears: true},
	{name: "the caller alone is told", probed: true},
}

// workerFaults are faults of a third of the workers.
var workerFaults = map[string]fakes.LeasedWorkerFaults{
	"healthy workers":                 {},
	"workers that lose responses":     {LoseResponses: true},
	"workers that carry out late":     {LateShare: 0.5},
	"workers that do not respond":     {Unresponsive: true},
	"workers that start tasks late":   {StartDelay: 300 * time.Millisecond},
	"workers whose tasks stand still": {Stalled: true},
}

// Guards against a task that runs at two homes: its caller is lost at some moment, in each way in which that
// can happen, and submits the job again 1.3 s later in another data centre, while workers of the first one
// have a fault.
func TestLostCallersSubmissionHasEndedWhenItSubmitsAgain(t *testing.T) {
	for _, l := range losses {
		for name, faults := range workerFaults {
			t.Run(l.name+", "+name, func(t *testing.T) {
				for seed := range *seeds * 3 {
					synctest.Test(t, func(t *testing.T) { playLosses(t, l, faults, seed) })
				}
			})
		}
	}
}

func playLosses(t *testing.T, l loss, faults fakes.LeasedWorkerFaults, seed uint64) {
	draw := rand.New(rand.NewPCG(seed, 0))
	first, second := newTestCentre(t, 6), newTestCentre(t, 6)
	second.ledger = first.ledger
	for i := range 6 {
		id := fmt.Sprintf("w%d", i)
		second.workers[id] = fakes.NewLeasedWorker("second-"+id, second.listed[id].Capacity, first.ledger)
		for _, dc := range []*testCentre{first, second} {
			dc.workers[id].RunTime = func(task string) time.Duration { return runTimes[task[0]] }
		}
	}
	origins := &lostOrigins{at: map[string]time.Time{}}
	first.lastMessage = origins.lastMessage
	homes := []*home.Home{first.readyHome(1), second.readyHome(2)}
	defer first.close(homes[0])
	defer second.close(homes[1])
	for i := range 2 {
		first.workers[fmt.Sprintf("w%d", i)].SetFaults(faults)
	}

	var callers sync.WaitGroup
	for n := range 60 {
		time.Sleep(time.Duration(draw.IntN(100)) * time.Millisecond)
		kind := "abc"[draw.IntN(3)]
		s := submission(fmt.Sprintf("%c%d", kind, n), 1+draw.IntN(4))
		s.Batch.Steps[0].Estimate = runTimes[kind]
		s.TimeLeft, s.Origin, s.Incarnation, s.Number = 1500*time.Millisecond, fmt.Sprint("origin", n), "1", 1
		lost := time.Duration(draw.IntN(1400)) * time.Millisecond
		transit := time.Duration(draw.Float64() * float64(l.transit))
		phase := time.Duration(draw.IntN(250)) * time.Millisecond
		callers.Go(func() { origins.play(homes, s, l, lost, transit, phase) })
	}
	callers.Wait()
	if diff := cmp.Diff([]string(nil), first.ledger.Violations()); diff != "" {
		t.Errorf("seed %d: violations (-want +got):\n%s", seed, diff)
	}
}

// runTimes are the run times of the tasks of a kind of jobs, by the first letter of their ids.
var runTimes = map[byte]time.Duration{'a': 60 * time.Millisecond, 'b': 200 * time.Millisecond, 'c': 900 * time.Millisecond}

// lostOrigins are origins of one job each, with the times at which they were lost.
type lostOrigins struct {
	mu sync.Mutex
	at map[string]time.Time
}

func (o *lostOrigins) lastMessage(instance, _ string) time.Time {
	o.mu.Lock()
	defer o.mu.Unlock()
	if at, ok := o.at[instance]; ok {
		return at
	}
	return time.Now()
}

// play submits a job to the first home, loses its caller after a time, and submits the job to the second
// home when the caller does.
func (o *lostOrigins) play(homes []*home.Home, s home.Submission, l loss, after, transit, phase time.Duration) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ended := make(chan home.Outcome, 1)
	if l.transit > 0 {
		after = 0
	}
	began := time.Now()
	go func() {
		time.Sleep(transit)
		arrived := s
		arrived.Transit, arrived.Age, arrived.TimeLeft = transit, transit, s.TimeLeft-transit
		ended <- homes[0].Submit(ctx, arrived)
	}()
	select {
	case <-ended:
		return
	case <-time.After(after):
	}
	lost := time.Now()
	switch {
	case l.tells:
		cancel()
	case l.probed:
		probe := began.Add(probeDelay)
		if probe.After(lost) {
			time.AfterFunc(time.Until(probe), cancel)
		}
	case l.hears:
		time.AfterFunc(phase, func() { homes[0].CancelAnnounced([]home.SubmissionID{s.ID()}) })
	default:
		o.mu.Lock()
		o.at[s.Origin] = lost
		o.mu.Unlock()
	}
	time.Sleep(time.Until(lost.Add(resubmitDelay)))
	again := s
	again.Origin, again.Number = "again", int64(began.Nanosecond())
	submit(homes[1], again)
	<-ended
}

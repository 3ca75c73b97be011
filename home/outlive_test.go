package home_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"foxtailmux/fakes"
	"foxtailmux/home"
)

// beatingOrigins are origins that send a heartbeat each 250 ms, until they are lost.
type beatingOrigins struct {
	mu     sync.Mutex
	phases map[string]time.Duration
	lostAt map[string]time.Time
	began  time.Time
}

func newBeatingOrigins() *beatingOrigins {
	return &beatingOrigins{phases: map[string]time.Duration{}, lostAt: map[string]time.Time{}, began: time.Now().Add(-time.Minute)}
}

// setPhase sets when the heartbeats of an origin are sent.
func (o *beatingOrigins) setPhase(origin string, phase time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.phases[origin] = phase
}

// lose loses an origin now.
func (o *beatingOrigins) lose(origin string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.lostAt[origin] = time.Now()
}

func (o *beatingOrigins) lastMessage(instance, _ string) time.Time {
	const period = 250 * time.Millisecond
	o.mu.Lock()
	defer o.mu.Unlock()
	at, ok := o.lostAt[instance]
	if !ok {
		at = time.Now()
	}
	since := at.Sub(o.began) - o.phases[instance]
	return at.Add(-since % period)
}

// Guards against a task that runs twice: the origin of a job is lost without a sign, and so is the home before it
// has given the origin up, or one of its workers. The leases that the home has granted outlasted the 1.3 s after which
// the caller submits the job in another data centre (review/11).
func TestNoRunOutlivesTheLastMessageOfItsOrigin(t *testing.T) {
	for seed := range *seeds * 20 {
		synctest.Test(t, func(t *testing.T) { playLossOfOriginAndHome(t, rand.New(rand.NewPCG(seed, 0))) })
	}
}

func playLossOfOriginAndHome(t *testing.T, draw *rand.Rand) {
	const jobs = 12
	first, second := newIsolation(t, 6), newTestCentre(t, 6)
	second.ledger = first.ledger
	runTimes := []time.Duration{60 * time.Millisecond, 200 * time.Millisecond, 900 * time.Millisecond, 2500 * time.Millisecond}
	for i := range 6 {
		id := fmt.Sprintf("w%d", i)
		second.workers[id] = fakes.NewLeasedWorker("second-"+id, second.listed[id].Capacity, first.ledger)
		for _, w := range []*fakes.LeasedWorker{first.workers[id], second.workers[id]} {
			w.RunTime = func(task string) time.Duration { return runTimes[task[0]-'a'] }
		}
	}
	origins := newBeatingOrigins()
	first.lastMessage = origins.lastMessage
	homes := []*home.Home{first.readyHome(1), second.readyHome(2)}
	defer first.close(homes[0])
	defer second.close(homes[1])

	var callers sync.WaitGroup
	var submissions []home.Submission
	for n := range jobs {
		kind := draw.IntN(len(runTimes))
		s := submission(fmt.Sprintf("%c%d", 'a'+kind, n), 1+draw.IntN(6))
		s.Batch.Steps[0].Estimate, s.TimeLeft = runTimes[kind], 6*time.Second
		s.Origin, s.Incarnation, s.Number, s.Request = fmt.Sprint("origin", n), "1", 1, int64(n+1)
		origins.setPhase(s.Origin, time.Duration(draw.IntN(250))*time.Millisecond)
		submissions = append(submissions, s)
		callers.Go(func() { submit(homes[0], s) })
		time.Sleep(time.Duration(draw.IntN(150)) * time.Millisecond)
	}
	lost := submissions[jobs-1-draw.IntN(4)]
	origins.lose(lost.Origin)
	lostAt := time.Now()
	time.Sleep(time.Duration(draw.IntN(1250)) * time.Millisecond)
	for _, path := range first.paths {
		path.Store(true)
	}
	time.Sleep(time.Until(lostAt.Add(resubmitDelay)))
	again := lost
	again.Origin, again.Number = "again", 2
	submit(homes[1], again)
	callers.Wait()
	if diff := cmp.Diff([]string(nil), first.ledger.Violations()); diff != "" {
		t.Errorf("violations (-want +got):\n%s", diff)
	}
}

// The lease covers all runs on a worker: those of other jobs must not expire while one origin is not heard.
func TestRunsBesideThoseOfASilentOriginGoOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dc := newIsolation(t, 1)
		origins := newBeatingOrigins()
		dc.lastMessage = origins.lastMessage
		h := dc.readyHome(1)
		defer dc.close(h)
		silent, heard := dc.longJob("silent", 1, 3*time.Second), dc.longJob("heard", 1, 3*time.Second)
		silent.Origin, heard.Origin = "lost", "entry"
		results := make(chan home.Result, 2)
		go func() { results <- resultOf(submit(h, silent)) }()
		go func() { results <- resultOf(submit(h, heard)) }()
		time.Sleep(300 * time.Millisecond)
		origins.lose("lost")
		got := []home.Result{<-results, <-results}
		if diff := cmp.Diff([]home.Result{home.Cancelled, home.Succeeded}, got); diff != "" {
			t.Errorf("results (-want +got):\n%s", diff)
		}
		if diff := cmp.Diff(1, dc.ledger.Starts("heard.0.0.0")); diff != "" {
			t.Errorf("starts (-want +got):\n%s", diff)
		}
	})
}

// A start can't shorten the lease that its worker has by other jobs, which may last longer than the run may.
func TestTaskOfASilentOriginIsStartedWhenItIsHeard(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dc := newTestCentre(t, 1)
		var heard atomic.Bool
		silentSince := time.Now().Add(-350 * time.Millisecond)
		dc.lastMessage = func(instance, _ string) time.Time {
			if instance == "entry" || heard.Load() {
				return time.Now()
			}
			return silentSince
		}
		h := dc.readyHome(1)
		defer dc.close(h)
		go submit(h, submission("running", 1))
		s := submission("a", 1)
		s.Origin, s.Transit, s.Resumed, s.TasksReported = "late", 400*time.Millisecond, true, true
		result := make(chan home.Result, 1)
		go func() { result <- resultOf(submit(h, s)) }()
		time.Sleep(200 * time.Millisecond)
		if n := dc.ledger.Starts("a.0.0.0"); n > 0 {
			t.Errorf("%d starts before the origin was heard", n)
		}
		heard.Store(true)
		if diff := cmp.Diff(home.Succeeded, <-result); diff != "" {
			t.Errorf("result (-want +got):\n%s", diff)
		}
	})
}

package home_test

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"foxtailmux/home"
	"foxtailmux/plan"
)

// A worker that takes three times as long as the others for good was held for sick, and its runs were
// moved to other workers.
func TestWorkerThatIsSlowForGoodIsNotTakenForSick(t *testing.T) {
	withSlowWorker(t, func(t *testing.T, dc *testCentre, h *home.Home) {
		playJobs(dc, h, 150, paceRun/7, nil)
		got := h.State().Workers["w0"]
		if got.Health != int(plan.Healthy) || got.Factor < 2 {
			t.Errorf("the slow worker has the health %d and the factor %.2f", got.Health, got.Factor)
		}
		if n := dc.repeated(); n > 0 {
			t.Errorf("%d tasks were started again", n)
		}
	})
}

// Tasks that take seven times as long by themselves were stopped and started again on other workers,
// where they took as long.
func TestLongTaskIsNotMovedFromAWorkerAtItsUsualPace(t *testing.T) {
	withSlowWorker(t, func(t *testing.T, dc *testCentre, h *home.Home) {
		playJobs(dc, h, 150, paceRun/7, nil)
		playJobs(dc, h, 150, paceRun/3, func(n int) bool { return n%30 == 0 })
		if n := dc.repeated(); n > 0 {
			t.Errorf("%d tasks were started again", n)
		}
	})
}

// withSlowWorker runs a test with a home of four workers, the first of which is of an older kind and
// takes three times as long.
func withSlowWorker(t *testing.T, test func(t *testing.T, dc *testCentre, h *home.Home)) {
	synctest.Test(t, func(t *testing.T) {
		dc := newTestCentre(t, 4)
		for id, w := range dc.listed {
			w.Labels = []string{"new"}
			if id == "w0" {
				w.Labels = []string{"old"}
			}
			dc.listed[id] = w
		}
		h := dc.readyHome(1)
		defer dc.close(h)
		test(t, dc, h)
		dc.checkLedger()
	})
}

// paceRun is the run time of a task that is not long on a usual worker.
const paceRun = 300 * time.Millisecond

// playJobs submits jobs of one task; at seven in a run time the slow worker gets some of them. Tasks of long
// jobs take seven times as long.
func playJobs(dc *testCentre, h *home.Home, jobs int, gap time.Duration, long func(n int) bool) {
	for id, w := range dc.workers {
		w.SetRunTime(func(task string) time.Duration {
			run := paceRun
			if strings.HasPrefix(task, "long") {
				run *= 7
			}
			if id == "w0" {
				run *= 3
			}
			return run
		})
	}
	var callers sync.WaitGroup
	for n := range jobs {
		id := fmt.Sprintf("usual%d", time.Since(dc.began))
		if long != nil && long(n) {
			id = fmt.Sprintf("long%d", time.Since(dc.began))
		}
		dc.played = append(dc.played, id)
		callers.Go(func() {
			s := submission(id, 1)
			s.TimeLeft, s.Batch.Steps[0].Estimate = 10*time.Second, paceRun
			submit(h, s)
		})
		time.Sleep(gap)
	}
	callers.Wait()
}

// repeated returns how many of the played tasks were started more than once.
func (dc *testCentre) repeated() int {
	n := 0
	for _, id := range dc.played {
		if dc.ledger.Starts(id+".0.0.0") > 1 {
			n++
		}
	}
	return n
}

// Guards against factors that remain when the tasks of one service have taken four times as long for a while:
// the workers of its pool run no tasks of other services, so that workers and tasks can't be told apart.
func TestPoolsOfEqualWorkersAreNotCompared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dc := newTestCentre(t, 8)
		for id, w := range dc.listed {
			if id >= "w4" {
				w.Pool = "other"
				dc.listed[id] = w
			}
		}
		h := dc.readyHome(1)
		defer dc.close(h)
		draw := rand.New(rand.NewPCG(1, 2))
		var mu sync.Mutex // of draw
		play := func(jobs int, slower time.Duration) {
			for id, w := range dc.workers {
				w.SetRunTime(func(string) time.Duration {
					mu.Lock()
					defer mu.Unlock()
					run := time.Duration((0.6 + 0.8*draw.Float64()) * float64(paceRun))
					if id >= "w4" {
						run *= slower
					}
					return run
				})
			}
			var callers sync.WaitGroup
			for n := range jobs {
				callers.Go(func() {
					s := submission(fmt.Sprintf("j%d", time.Since(dc.began)), 1)
					s.TimeLeft, s.Batch.Steps[0].Estimate = 10*time.Second, paceRun
					if n%2 == 0 {
						s.Batch.Queue, s.Route.Name, s.Route.Service = "others", "others", "other"
					}
					submit(h, s)
				})
				time.Sleep(paceRun / 4)
			}
			callers.Wait()
		}
		play(1000, 1)
		play(3000, 4)
		play(3000, 1)
		got, want := map[string]float64{}, map[string]float64{}
		for id, w := range h.State().Workers {
			got[id], want[id] = w.Factor, 1
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("factors (-want +got):\n%s", diff)
		}
	})
}

// Guards against runs that are left on a worker that has just turned slow, since another run that was nearly done
// has ended there in its usual time.
func TestRunIsMovedFromAWorkerThatTurnsSlow(t *testing.T) {
	withSlowWorker(t, func(t *testing.T, dc *testCentre, h *home.Home) {
		playJobs(dc, h, 150, paceRun/7, nil)
		for id, w := range dc.workers {
			w.SetRunTime(func(task string) time.Duration {
				switch {
				case id == "w0":
					return 3 * paceRun
				case strings.HasPrefix(task, "slow") && dc.ledger.Starts(task) <= 1:
					return 10 * paceRun
				}
				return paceRun
			})
		}
		var callers sync.WaitGroup
		one := func(id string) {
			dc.played = append(dc.played, id)
			callers.Go(func() {
				s := submission(id, 1)
				s.TimeLeft, s.Batch.Steps[0].Estimate = 10*time.Second, paceRun
				submit(h, s)
			})
		}
		for n := range 3 {
			one(fmt.Sprintf("usual%d", n))
		}
		time.Sleep(paceRun / 3)
		for n := range 3 {
			one(fmt.Sprintf("slow%d", n))
		}
		callers.Wait()
		if n := dc.repeated(); n < 3 {
			t.Errorf("%d of 3 slow runs were moved", n)
		}
	})
}

// Guards against run times that are measured from when a later home took a run over.
func TestAdoptedRunsAreNotLearned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dc := newTestCentre(t, 2)
		var lines bytes.Buffer
		dc.logWriter = &lines
		for _, w := range dc.workers {
			w.SetRunTime(func(string) time.Duration { return paceRun })
		}
		first := dc.readyHome(1)
		s := submission("job", 1)
		s.TimeLeft, s.Batch.Steps[0].Estimate = 10*time.Second, paceRun
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go first.Submit(ctx, s)
		time.Sleep(paceRun / 3)
		first.Close()
		<-first.Done() // so that the homes don't log at the same time
		later := dc.newHome(2)
		defer dc.close(later)
		time.Sleep(paceRun / 3)
		s.Resumed, s.Age = true, 2*paceRun/3
		if o := submit(later, s); o.Result != home.Succeeded {
			t.Fatalf("%+v", o)
		}
		for line := range strings.SplitSeq(lines.String(), "\n") {
			if strings.Contains(line, `"job ended"`) && strings.Contains(line, `"verdict":"succeeded"`) && strings.Contains(line, "measuredObjectiveMillis") {
				t.Errorf("an objective from a part of a run: %s", line)
			}
		}
	})
}

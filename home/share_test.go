package home_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"foxtailmux/home"
	"foxtailmux/share"
)

// served counts the jobs of a queue that were sent during a burst.
type served struct{ jobs, inTime int }

func (s served) share() float64 { return float64(s.inTime) / float64(max(s.jobs, 1)) }

// largeFactor is the number of mean tasks of a kind above which a job counts as large.
const largeFactor = 1.3

// addServed counts a job that was sent in the seconds of the burst, for its queue and for the large jobs of
// its queue.
func (t *tally) addServed(k jobKind, tasks int, sentAt time.Duration, inTime bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if sentAt < 4*time.Second || sentAt > 8*time.Second {
		return
	}
	if t.served == nil {
		t.served = map[string]served{}
	}
	names := []string{k.name}
	if float64(tasks) > largeFactor*k.tasks {
		names = append(names, k.name+", large")
	}
	for _, name := range names {
		c := t.served[name]
		c.jobs++
		if inTime {
			c.inTime++
		}
		t.served[name] = c
	}
}

// burstResult is what a load with a burst of one queue earns, and what each queue gets in its seconds.
type burstResult struct {
	worth  float64
	queues map[string]served
}

// leastServed returns the least share in time of a queue.
func (r burstResult) leastServed() float64 {
	least := 1.0
	for _, k := range mix {
		least = min(least, r.queues[k.name].share())
	}
	return least
}

func (r burstResult) String() string {
	text := fmt.Sprintf("worth %.3f", r.worth)
	for _, k := range mix {
		text += fmt.Sprintf(", %s %.3f (large %.3f)", k.name, r.queues[k.name].share(), r.queues[k.name+", large"].share())
	}
	return text
}

// playBurst plays draws of a load of 0.83 of the capacity of 64 workers with a burst of one queue that takes
// more than the rest for 4 s.
func playBurst(t *testing.T, queue string, factor float64, shares bool) burstResult {
	const (
		workers = 64
		rate    = 190.0
		draws   = 1
	)
	r := burstResult{queues: map[string]served{}}
	earned, total := 0.0, 0.0
	for seed := range uint64(draws) {
		synctest.Test(t, func(t *testing.T) {
			pt := loadPattern{workers: workers, duration: 9 * time.Second, rate: rate, burst: factor, burstOf: queue, shares: shares}
			played := playPattern(t, pt, seed+1)
			earned, total = earned+played.earned, total+played.total
			for name, s := range played.served {
				c := r.queues[name]
				r.queues[name] = served{c.jobs + s.jobs, c.inTime + s.inTime}
			}
		})
	}
	r.worth = earned / total
	return r
}

// By least slack alone, a burst of one queue made the jobs of all queues late, those of the first priority
// and the large ones most.
func TestBurstOfOneQueueIsBorneFairly(t *testing.T) {
	const (
		leastGain = 0.02 // of the queue that is served least
		mostLoss  = 0.01 // of the worth
	)
	for _, burst := range []struct {
		queue  string
		factor float64
	}{{"bundle-quote", 2.6}, {"price-check", 2.6}} {
		t.Run(burst.queue, func(t *testing.T) {
			without := playBurst(t, burst.queue, burst.factor, false)
			with := playBurst(t, burst.queue, burst.factor, true)
			t.Logf("without shares: %v\nwith shares: %v", without, with)
			if gain := with.leastServed() - without.leastServed(); gain < leastGain {
				t.Errorf("the queue that is served least gains %.3f, want at least %.2f", gain, leastGain)
			}
			if loss := without.worth - with.worth; loss > mostLoss {
				t.Errorf("worth falls by %.3f, want at most %.2f", loss, mostLoss)
			}
		})
	}
}

// offerTwoQueues submits more jobs of two queues than 4 workers can run, for a time, and waits for their end.
func offerTwoQueues(dc *testCentre, h *home.Home, name string, length time.Duration) {
	done := make(chan struct{})
	jobs := 0
	for began := time.Now(); time.Since(began) < length; time.Sleep(100 * time.Millisecond) {
		for queue, tasks := range map[string]int{"wide": 6, "narrow": 2} {
			s := submission(fmt.Sprintf("%s-%s%d", name, queue, jobs), tasks)
			s.Batch.Queue, s.Route.Name = queue, queue
			s.Batch.Steps[0].Estimate = 400 * time.Millisecond
			jobs++
			go func() {
				submitLikeOrigin(h, s)
				done <- struct{}{}
			}()
		}
	}
	for range jobs {
		<-done
	}
	dc.checkLedger()
}

// A home that takes over knows nothing of the shares before it, and learns them from the jobs that come.
func TestNewHomeLearnsTheSharesWithinASecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dc := newTestCentre(t, 4)
		dc.shares = true
		for _, w := range dc.workers {
			w.RunTime = func(string) time.Duration { return 400 * time.Millisecond }
		}
		first := dc.readyHome(1)
		go offerTwoQueues(dc, first, "first", 3*time.Second)
		time.Sleep(2 * time.Second)
		before := first.State().Shares["desk"]
		dc.close(first)

		second := dc.readyHome(2)
		defer dc.close(second)
		if diff := cmp.Diff(map[string]share.State{}, second.State().Shares); diff != "" {
			t.Errorf("shares of a new home (-want +got):\n%s", diff)
		}
		go offerTwoQueues(dc, second, "second", time.Second)
		time.Sleep(900 * time.Millisecond)
		after := second.State().Shares["desk"]
		t.Logf("before %+v, after %+v", before, after)
		if !before.Short || !after.Short {
			t.Errorf("short %v before the change of the home and %v a second after it, want both", before.Short, after.Short)
		}
		time.Sleep(5 * time.Second)
		if second.State().Shares["desk"].Short {
			t.Error("still short without jobs")
		}
	})
}

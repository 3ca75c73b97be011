package home_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"foxtailmux/home"
)

// The load of the first seconds after a loss of all instances: a new home gets new jobs at three
// quarters of the capacity of its workers and, for as long as the loss lasted, as many jobs that
// their callers submit again. These are late already. The new jobs must not pay for them.
const (
	lossLength     = 1300 * time.Millisecond
	callerPatience = 2 * time.Second
	lossRate       = 210 // jobs per second of two tasks of 60 ms; 12 workers run 24 tasks at once
)

// playLoss submits the load to a new home and returns the share of the new jobs that were
// answered in time.
func playLoss(t *testing.T, seed uint64) float64 {
	dc := newTestCentre(t, 12)
	h := dc.newHome(1)
	defer dc.close(h)
	draw := rand.New(rand.NewPCG(seed, 0))
	var mu sync.Mutex
	var callers sync.WaitGroup
	jobs, inTime := 0, 0
	call := func(id string, left time.Duration, counts bool) {
		s := submission(id, 2)
		s.TimeLeft = left
		sent := time.Now()
		o := submit(h, s)
		mu.Lock()
		defer mu.Unlock()
		if !counts {
			return
		}
		jobs++
		if o.Result == home.Succeeded && time.Since(sent) <= objective {
			inTime++
		}
	}
	began := time.Now()
	for n := 0; time.Since(began) < 2*lossLength; n++ {
		rate := float64(lossRate)
		repeated := time.Since(began) < lossLength && n%2 == 0
		if time.Since(began) < lossLength {
			rate *= 2
		}
		time.Sleep(time.Duration(draw.ExpFloat64() / rate * float64(time.Second)))
		left := time.Duration(float64(callerPatience) * (0.9 + 0.2*draw.Float64()))
		if repeated {
			left -= lossLength + time.Duration(draw.Float64()*100)*time.Millisecond
		}
		callers.Go(func() { call(fmt.Sprintf("j%d", n), left, !repeated) })
	}
	callers.Wait()
	dc.checkLedger()
	return float64(inTime) / float64(jobs)
}

func TestNewJobsGoBeforeThoseSubmittedAgainAfterALoss(t *testing.T) {
	for seed := range uint64(5) {
		synctest.Test(t, func(t *testing.T) {
			share := playLoss(t, seed+1)
			t.Logf("seed %d: %.3f of the new jobs in time", seed+1, share)
			if share < 0.9 {
				t.Errorf("seed %d: %.3f of the new jobs in time, want at least 0.9", seed+1, share)
			}
		})
	}
}

package proof

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"foxtailmux/platform"
)

// drainBound is the time that the platform's operators allow from the acknowledgement of a request to
// drain a data centre until nothing starts there any more.
const drainBound = 5 * time.Second

// startsAt returns the number of runs that began on the workers of a data centre after a time, by
// requests that were carried out in time.
func (s *soak) startsAt(dataCentre string, after time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for id := range s.submissions {
		for task := range maxTracedTasks {
			for _, r := range s.ledger.Runs(fmt.Sprintf("%s.0.0.%d", id, task)) {
				i, _ := strconv.Atoi(r.Worker[1:])
				if s.dataCentres[i] == dataCentre && r.Began.After(after) && !r.Late {
					n++
				}
			}
		}
	}
	return n
}

// statusesAfter returns the number of submissions that were sent after a time by their status.
func (s *soak) statusesAfter(after time.Time) map[int]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := map[int]int{}
	for _, list := range s.submissions {
		for _, sub := range list {
			if sub.sent.After(after) {
				counts[sub.status]++
			}
		}
	}
	return counts
}

// A data centre is drained under load while one thing fails, and taken back.
func TestNothingStartsInADrainedDataCentre(t *testing.T) {
	cases := map[string]struct {
		before, during func(s *soak)
		within         time.Duration // until nothing starts
		allServed      bool
	}{
		"nothing fails": {within: 1500 * time.Millisecond, allServed: true},
		"its home can't reach the store": {
			before: func(s *soak) {
				home := s.homeOf("kochi")
				home.storeProxy.holdAll.Store(true)
				time.AfterFunc(4*time.Second, func() { home.storeProxy.holdAll.Store(false) })
			},
			within: 2500 * time.Millisecond, allServed: true,
		},
		"its home is killed":           {during: func(s *soak) { s.restart(s.homeOf("kochi"), syscall.SIGKILL) }, within: drainBound},
		"all its instances are killed": {during: func(s *soak) { s.restart(s.instances[0], syscall.SIGKILL); s.restart(s.instances[1], syscall.SIGKILL) }, within: drainBound},
		"its home is stopped":          {during: func(s *soak) { s.restart(s.homeOf("kochi"), syscall.SIGTERM) }, within: drainBound, allServed: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := newFleet(t, []string{"kochi", "tvm", "kochi", "tvm", "tvm", "tvm", "tvm", "tvm"}, []string{"kochi", "kochi", "tvm"})
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			callers := s.startLoad(ctx, 1)
			if c.before != nil {
				c.before(s)
			}
			time.Sleep(300 * time.Millisecond)
			drained := time.Now()
			s.store.Put(platform.DrainPrefix+"kochi", `{"odd":`)
			s.store.Put(platform.DrainPrefix+"nowhere", "")
			time.Sleep(300 * time.Millisecond)
			if c.during != nil {
				c.during(s)
			}
			time.Sleep(time.Until(drained.Add(drainBound + time.Second)))
			if n := s.startsAt("kochi", drained.Add(c.within)); n > 0 {
				t.Errorf("%d tasks started later than %v", n, c.within)
			}
			if s.startsAt("tvm", drained) == 0 {
				t.Error("no task started in the other data centre")
			}

			takenBack := time.Now()
			s.store.Delete(platform.DrainPrefix + "kochi")
			waitFor(t, "the data centre serves again", func() bool { return s.startsAt("kochi", takenBack) > 0 })
			if took := time.Since(takenBack); took > time.Second {
				t.Errorf("the data centre serves again after %v, want a second at most", took)
			}
			cancel()
			callers.Wait()
			if got := s.statusesAfter(drained); c.allServed && got[http.StatusOK] < 19*got[http.StatusServiceUnavailable] {
				t.Errorf("responses by status: %v, want hardly any refusal", got)
			}
			s.check()
		})
	}
}

// If nothing may start anywhere, jobs are refused at once, as not run and with the time of a retry.
func TestJobsAreRefusedWhileAllDataCentresAreDrained(t *testing.T) {
	s := newFleet(t, []string{"kochi", "tvm"}, []string{"kochi", "tvm"})
	for _, dc := range []string{"kochi", "tvm"} {
		s.store.Put(platform.DrainPrefix+dc, "{}")
	}
	time.Sleep(time.Second)
	client := &http.Client{}
	began := time.Now()
	var got []int
	for _, i := range s.instances {
		got = append(got, s.post(client, s.newJob(1), i, jobTimeout))
	}
	want := []int{http.StatusServiceUnavailable, http.StatusServiceUnavailable}
	if diff := cmp.Diff(want, got); diff != "" || time.Since(began) > 500*time.Millisecond {
		t.Errorf("after %v (-want +got):\n%s", time.Since(began), diff)
	}
	s.store.Delete(platform.DrainPrefix + "tvm")
	waitFor(t, "a job succeeds elsewhere", func() bool { return s.post(client, s.newJob(1), s.instances[0], jobTimeout) == http.StatusOK })
	s.check()
}

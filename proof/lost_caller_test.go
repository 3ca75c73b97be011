package proof

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// Guards against a task that runs twice: a caller's connection breaks without a sign to the instance, its
// job waits for a while, and still runs when the caller has submitted it again in the other data centre.
func TestJobOfALostCallerDoesNotRunBesideItsResubmission(t *testing.T) {
	const (
		waitTime      = 450 * time.Millisecond // of the job until workers are free
		callerTimeout = 1500 * time.Millisecond
	)
	s, origin, _ := newHeldFleet(t)
	job := soakJob{id: heldJob, tasks: 2, milliCores: taskMilliCores, estimate: heldRunTime, timeout: callerTimeout}
	var fillers sync.WaitGroup
	for n, i := range []*soakInstance{origin, origin, s.instances[2], s.instances[2]} { // until no worker has room
		other := job
		other.id = fmt.Sprintf("00000000000000c%d", n)
		fillers.Go(func() { s.post(http.DefaultClient, other, i, callerTimeout) })
	}
	time.Sleep(heldRunTime - waitTime)
	time.AfterFunc(20*time.Millisecond, s.callersLink(origin).resetClients)
	s.post(http.DefaultClient, job, origin, callerTimeout)
	s.submitAgain()
	fillers.Wait()
}

// Guards against a task that runs twice: the origin of a job and, within a second, its home or its workers lose
// power or are cut off, so that leases outlast the time after which the caller submits the job again elsewhere.
func TestJobOfALostOriginDoesNotRunBesideItsResubmission(t *testing.T) {
	const (
		runTime      = 2500 * time.Millisecond
		estimate     = 1200 * time.Millisecond
		originLostAt = 350 * time.Millisecond  // the home gives it up 0.8 s later at the earliest
		nextLostAt   = 1050 * time.Millisecond // its home has announced the job by then
		lostFor      = 4 * time.Second
		nextTimeout  = 8 * time.Second // of the second submission, which may wait for a later home of the first
	)
	loseHome := func(s *soak) { s.losePower(s.homeOf("kochi"), lostFor) }
	loseWorkers := func(s *soak) {
		for _, link := range s.workerProxies[:2] {
			s.raise(lostFor, &link.holdAll)
		}
	}
	for name, c := range map[string]struct {
		loseNext      func(*soak)
		callerTimeout time.Duration
	}{
		"home":                               {loseHome, 4 * time.Second},
		"home, short timeout":                {loseHome, 1600 * time.Millisecond},
		"workers":                            {loseWorkers, 4 * time.Second},
		"workers, forwarded the second time": {loseWorkers, 4 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			s, origin, _ := newHeldFleetOf(t, []string{"kochi", "kochi", "tvm", "tvm"})
			s.setRunTime(runTime)
			next := s.homeOf("tvm")
			if strings.Contains(name, "forwarded") {
				next = s.instances[slices.IndexFunc(s.instances, func(i *soakInstance) bool { return i.dataCentre == "tvm" && i != next })]
			}
			s.restarts.Go(func() {
				time.Sleep(originLostAt)
				s.callersLink(origin).resetClients()
				s.losePower(origin, lostFor)
			})
			s.restarts.Go(func() {
				time.Sleep(nextLostAt)
				c.loseNext(s)
			})
			if diff := cmp.Diff(0, s.submitOnce(origin, heldJob, estimate, c.callerTimeout)); diff != "" {
				t.Errorf("status of the first submission (-want +got):\n%s", diff)
			}
			time.Sleep(resendDelay)
			if diff := cmp.Diff(http.StatusOK, s.submitOnce(next, heldJob, estimate, nextTimeout)); diff != "" {
				t.Errorf("status of the second submission (-want +got):\n%s", diff)
			}
			s.restarts.Wait()
			s.check()
			for _, task := range []string{heldJob + ".0.0.0", heldJob + ".0.0.1"} {
				if run := s.ledger.Runs(task)[0]; run.Ended.Sub(run.Began) < nextLostAt {
					t.Errorf("the first run ended before the second loss: %v", run)
				}
			}
		})
	}
}

package proof

import (
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// Guards against a second run of a task: a paused instance, after it has resumed, reads the request
// of a caller that has left and submitted its job again elsewhere (review/1).
func TestRequestThatArrivedDuringAPauseIsNotRunBesideItsResubmission(t *testing.T) {
	const (
		callerTimeout = 800 * time.Millisecond
		pauseTime     = 2500 * time.Millisecond
		runTime       = 900 * time.Millisecond
	)
	s := newFleet(t, []string{"kochi", "kochi", "tvm", "tvm"}, []string{"kochi", "kochi", "tvm"})
	s.setRunTime(runTime)

	for n, i := range s.instances[:2] { // one of them is the home of its data centre
		id := fmt.Sprintf("%016x", 1000+n)
		i.process().pause()
		time.AfterFunc(pauseTime, func() { _ = i.process().cmd.Process.Signal(syscall.SIGCONT) })
		if diff := cmp.Diff(0, s.submitOnce(i, id, runTime, callerTimeout)); diff != "" {
			t.Errorf("status of the first submission (-want +got):\n%s", diff)
		}
		time.Sleep(resendDelay)
		if diff := cmp.Diff(http.StatusOK, s.submitOnce(s.instances[2], id, runTime, 3*time.Second)); diff != "" {
			t.Errorf("status of the second submission (-want +got):\n%s", diff)
		}
		time.Sleep(time.Second) // until the work of the resumed instance shows
		s.waitRecovered()
	}
	s.check()
}

// setRunTime sets the run time of all tasks that begin from now on.
func (s *soak) setRunTime(d time.Duration) {
	for _, w := range s.workers {
		w.SetRunTime(func(string) time.Duration { return d })
	}
}

// submitOnce submits a job of two tasks and returns the HTTP status, or 0 if the caller gave up.
func (s *soak) submitOnce(i *soakInstance, id string, runTime, timeout time.Duration) int {
	job := soakJob{id: id, tasks: 2, milliCores: taskMilliCores, estimate: runTime, timeout: timeout}
	return s.post(http.DefaultClient, job, i, timeout)
}

package proof

import (
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// Guards against a task that runs twice: a job that its origin forwarded to a home is held up on the
// network, and delivered when its caller has submitted it again elsewhere.
func TestForwardThatWasHeldUpIsNotRunBesideItsResubmission(t *testing.T) {
	const (
		callerTimeout = time.Second
		runTime       = 900 * time.Millisecond
	)
	s := newFleet(t, []string{"kochi", "kochi", "tvm", "tvm"}, []string{"kochi", "kochi", "tvm"})
	s.setRunTime(runTime)
	home := s.homeOf("kochi")
	origin := s.instances[0]
	if origin == home {
		origin = s.instances[1]
	}
	const id = "00000000000000bb"
	if diff := cmp.Diff(http.StatusOK, s.submitOnce(origin, "00000000000000ba", runTime, 3*time.Second)); diff != "" {
		t.Fatalf("status before the fault (-want +got):\n%s", diff)
	}

	links := s.linksOf(func(from, to string) bool { return to == home.name && s.isInstance(from) })
	for _, link := range links {
		link.holdAll.Store(true)
		time.AfterFunc(callerTimeout+resendDelay+300*time.Millisecond, func() { link.holdAll.Store(false) })
	}
	s.submitOnce(origin, id, runTime, callerTimeout)
	time.Sleep(resendDelay)
	if diff := cmp.Diff(http.StatusOK, s.submitOnce(s.instances[2], id, runTime, 3*time.Second)); diff != "" {
		t.Errorf("status of the second submission (-want +got):\n%s", diff)
	}
	time.Sleep(time.Second)
	s.check()
}

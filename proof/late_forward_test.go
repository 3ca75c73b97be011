package proof

import (
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

const (
	heldCallerTimeout = time.Second
	heldRunTime       = 900 * time.Millisecond
	heldJob           = "00000000000000bb"
)

// newHeldFleet returns a fleet, an instance that is not the home of its data centre, and the links over
// which instances reach that home.
func newHeldFleet(t *testing.T) (s *soak, origin *soakInstance, links []*faultProxy) {
	t.Helper()
	return newHeldFleetOf(t, []string{"kochi", "kochi", "tvm"})
}

// newHeldFleetOf is newHeldFleet with instances in the given data centres.
func newHeldFleetOf(t *testing.T, dataCentres []string) (s *soak, origin *soakInstance, links []*faultProxy) {
	t.Helper()
	s = newFleet(t, []string{"kochi", "kochi", "tvm", "tvm"}, dataCentres)
	s.setRunTime(heldRunTime)
	home := s.homeOf("kochi")
	origin = s.instances[0]
	if origin == home {
		origin = s.instances[1]
	}
	if diff := cmp.Diff(http.StatusOK, s.submitOnce(origin, "00000000000000ba", heldRunTime, 3*time.Second)); diff != "" {
		t.Fatalf("status before the fault (-want +got):\n%s", diff)
	}
	return s, origin, s.linksOf(func(from, to string) bool { return to == home.name && s.isInstance(from) })
}

// submitAgain submits the held job at the other data centre, where it must succeed, and compares the runs
// when those of the held submission would show.
func (s *soak) submitAgain() {
	s.t.Helper()
	time.Sleep(resendDelay)
	if diff := cmp.Diff(http.StatusOK, s.submitOnce(s.instances[2], heldJob, heldRunTime, 3*time.Second)); diff != "" {
		s.t.Errorf("status of the second submission (-want +got):\n%s", diff)
	}
	time.Sleep(time.Second)
	s.check()
}

// Guards against a task that runs twice: a job that its origin forwarded to a home is held up on the
// network, and delivered when its caller has submitted it again elsewhere.
func TestForwardThatWasHeldUpIsNotRunBesideItsResubmission(t *testing.T) {
	s, origin, links := newHeldFleet(t)
	for _, link := range links {
		s.raise(heldCallerTimeout+resendDelay+300*time.Millisecond, &link.holdAll)
	}
	s.submitOnce(origin, heldJob, heldRunTime, heldCallerTimeout)
	s.submitAgain()
}

// Guards against a task that runs twice: as above, and the origin was killed and is back when its job is
// delivered, so that its heartbeats are those of another incarnation.
func TestForwardOfARestartedOriginIsNotRunBesideItsResubmission(t *testing.T) {
	const killedAfter = 300 * time.Millisecond
	s, origin, links := newHeldFleet(t)
	for _, link := range links {
		s.raise(killedAfter+resendDelay+300*time.Millisecond, &link.holdRequests)
	}
	time.AfterFunc(killedAfter, func() { s.end(origin, syscall.SIGKILL, 0) })
	if diff := cmp.Diff(0, s.submitOnce(origin, heldJob, heldRunTime, heldCallerTimeout)); diff != "" {
		t.Errorf("status of the first submission (-want +got):\n%s", diff)
	}
	s.submitAgain()
	s.restarts.Wait()
}

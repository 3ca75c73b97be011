package proof

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"
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

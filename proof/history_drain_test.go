package proof

import (
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"foxtailmux/model"
)

// Guards against tickets that are lost when their issuer stops: an instance that is
// draining issues a ticket, and the ticket is used at another instance once the
// issuer has exited.
func TestDrainingInstanceIssuesTickets(t *testing.T) {
	c := startCentre(t, 2, 4, "--stop.drainDelay", "3s")
	b := startBalancer(t)
	old := c.entries[0]
	old.send(syscall.SIGTERM)
	waitFor(t, "the instance drains", func() bool { return !b.isReady(old.field("operators")) })

	job := newJob("drain", 2, 10*time.Millisecond)
	job.Ticket = c.ticket(t, c.addrs[0])
	if old.ended() {
		t.Fatal("the instance did not drain")
	}
	if diff := cmp.Diff(0, old.waitExit()); diff != "" {
		t.Errorf("exit code (-want +got):\n%s", diff)
	}

	var a model.Answer
	if err := newCaller().postTo(c.addrs[1], "/v1/jobs", job, &a); err != nil {
		t.Fatal(err)
	}
	checkComplete(t, "drain", 2, a)
}

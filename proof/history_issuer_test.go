package proof

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"foxtailmux/fakes"
	"foxtailmux/model"
)

// outcome is the part of an answer that tells whether the job succeeded and ran.
type outcome struct {
	Result      model.Result
	Ran         model.Ran
	ThisAttempt model.Ran
	Kind        model.FailureKind
}

func outcomeOf(a model.Answer) outcome {
	o := outcome{Result: a.Result, Ran: a.Ran, ThisAttempt: a.ThisAttempt}
	if a.Error != nil {
		o.Kind = a.Error.Kind
	}
	return o
}

func submitTo(t *testing.T, addr string, job model.Job) model.Answer {
	t.Helper()

	var a model.Answer
	if err := newCaller().postTo(addr, "/v1/jobs", job, &a); err != nil {
		t.Fatal(err)
	}
	return a
}

func checkStarts(t *testing.T, c *testCentre, id string, want int) {
	t.Helper()

	if diff := cmp.Diff(want, c.starts(t)[nonce(id, 0)]); diff != "" {
		t.Errorf("starts of %s (-want +got):\n%s", id, diff)
	}
}

// A job that is submitted again with its ticket gets the first answer. Only if the
// instance that issued the ticket was killed, the answer may be that the job may
// have run. No job runs twice.
func TestResubmissionsGetTheirAnswersUnlessTheirIssuerWasKilled(t *testing.T) {
	const entries, perEntry = 6, 10
	c := startCentre(t, entries, 6)
	jobs := map[string]model.Job{}
	answers := map[string]model.Answer{}
	for i := range entries {
		for n := range perEntry {
			id := fmt.Sprintf("m%d-%d", i, n)
			job := newJob(id, 1, 0)
			job.Ticket = c.ticket(t, c.addrs[i])
			jobs[id], answers[id] = job, submitTo(t, c.addrs[(i+n)%entries], job)
			checkComplete(t, id, 1, answers[id])
		}
	}

	c.entries[0].kill()
	same := 0
	for id, job := range jobs {
		got := submitTo(t, c.addrs[1+same%(entries-1)], job)
		if got.Result == model.Complete {
			same++
			if diff := cmp.Diff(answers[id], got); diff != "" {
				t.Errorf("%s (-first +second):\n%s", id, diff)
			}
			continue
		}
		if got.Ran != model.RanMaybe || got.Error.Kind != model.FailIssuerLost {
			t.Errorf("%s: %+v", id, got)
		}
	}
	t.Logf("%d of %d resubmissions got their answers", same, len(jobs))
	if diff := cmp.Diff((entries-1)*perEntry, same); diff != "" {
		t.Errorf("resubmissions answered (-want +got):\n%s", diff)
	}
	for id := range jobs {
		checkStarts(t, c, id, 1)
	}
}

// Guards against a double start with a ticket whose issuer is paused while a
// submission is forwarded to it, and resumes after the deadline of the job.
func TestTicketOfAPausedIssuerRunsAtMostOnce(t *testing.T) {
	c := startCentre(t, 3, 4)
	job := newJob("frozen", 1, 0)
	job.Ticket = c.ticket(t, c.addrs[0])
	job.DeadlineMillis = 500

	c.entries[0].pause()
	first := submitTo(t, c.addrs[1], job)
	if first.Result != model.Failed || first.Ran != model.RanMaybe {
		t.Errorf("answer while the issuer is paused: %+v", first)
	}
	time.Sleep(time.Second) // longer than the deadline
	c.entries[0].send(syscall.SIGCONT)
	waitServing(t, c.entries...)
	waitIdle(t, c)

	// The resumed issuer may have refused the forwarded submission, so that the
	// next submission uses the ticket, or may have run the job.
	before := c.starts(t)[nonce("frozen", 0)]
	job.DeadlineMillis = 10_000
	got := submitTo(t, c.addrs[1], job)
	if before == 0 {
		checkComplete(t, "frozen", 1, got)
	}
	checkStarts(t, c, "frozen", 1)
}

func TestKeyWhileTheStoreFailsRunsAtMostOnceAndIsNotUsedUp(t *testing.T) {
	for name, c := range map[string]struct {
		faults   fakes.PlatformFaults
		complete bool
	}{
		"down":         {fakes.PlatformFaults{Down: true}, false},
		"slow":         {fakes.PlatformFaults{SlowMillis: 5000}, false},
		"answers lost": {fakes.PlatformFaults{LoseResponses: 1000}, true}, // the instance reads its claim back
	} {
		t.Run(name, func(t *testing.T) {
			centre := startCentre(t, 2, 4)
			job := newJob(name, 1, 0)
			job.IdempotencyKey = name
			job.DeadlineMillis = 1000
			centre.platform.SetFaults(c.faults)
			first := submitTo(t, centre.addrs[0], job)
			if c.complete {
				checkComplete(t, name, 1, first)
			} else {
				if first.Result != model.Failed || first.ThisAttempt != model.RanNo {
					t.Errorf("answer while the store fails: %+v", first)
				}
				checkStarts(t, centre, name, 0)
			}

			centre.platform.SetFaults(fakes.PlatformFaults{})
			checkComplete(t, name, 1, submitTo(t, centre.addrs[1], job))
			checkStarts(t, centre, name, 1)
		})
	}
}

func TestDisconnectedCallerGetsTheAnswerLater(t *testing.T) {
	c := startCentre(t, 2, 4)
	job := newJob("away", 1, 600*time.Millisecond)
	job.Ticket = c.ticket(t, c.addrs[0])
	shortTimeout := newCaller()
	shortTimeout.http.Timeout = 100 * time.Millisecond
	var a model.Answer
	if err := shortTimeout.postTo(c.addrs[1], "/v1/jobs", job, &a); err == nil {
		t.Fatal("the caller got an answer before its timeout")
	}
	checkComplete(t, "away", 1, submitTo(t, c.addrs[0], job))
	checkStarts(t, c, "away", 1)
}

func TestAnswerPastTheDeadlineIsNotPassedOn(t *testing.T) {
	c := startCentre(t, 2, 4)
	job := newJob("late", 1, 2*time.Second)
	job.Tasks[0].ExpectedMillis = 10 // else the job would be refused at once
	job.Ticket = c.ticket(t, c.addrs[0])
	job.DeadlineMillis = 300
	got := submitTo(t, c.addrs[1], job)
	if got.Result != model.Failed || got.Ran == model.RanNo || got.Error.Kind != model.FailDeadline {
		t.Errorf("answer: %+v", got)
	}
	if diff := cmp.Diff(outcomeOf(got), outcomeOf(submitTo(t, c.addrs[0], job))); diff != "" {
		t.Errorf("resubmission (-first +second):\n%s", diff)
	}
	checkStarts(t, c, "late", 1)
}

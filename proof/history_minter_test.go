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

// outcome is what a caller learns of an answer.
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

func wantStarted(t *testing.T, c *cell, id string, want int) {
	t.Helper()

	if diff := cmp.Diff(want, c.starts(t)[nonce(id, 0)]); diff != "" {
		t.Errorf("starts of %s (-want +got):\n%s", id, diff)
	}
}

func TestResubmissionsGetTheirAnswersUnlessTheirMinterWasKilled(t *testing.T) {
	const entries, perEntry = 6, 10
	c := startCell(t, entries, 6)
	jobs := map[string]model.Job{}
	answers := map[string]model.Answer{}
	for i := range entries {
		for n := range perEntry {
			id := fmt.Sprintf("m%d-%d", i, n)
			job := quote(id, 1, 0)
			job.Ticket = c.ticket(t, c.addrs[i])
			jobs[id], answers[id] = job, submitTo(t, c.addrs[(i+n)%entries], job)
			checkWhole(t, id, 1, answers[id])
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
		wantStarted(t, c, id, 1)
	}
}

func TestTicketOfAFrozenMinterRunsAtMostOnce(t *testing.T) {
	c := startCell(t, 3, 4)
	job := quote("frozen", 1, 0)
	job.Ticket = c.ticket(t, c.addrs[0])
	job.DeadlineMillis = 500

	c.entries[0].send(syscall.SIGSTOP)
	first := submitTo(t, c.addrs[1], job)
	if first.Result != model.Failed || first.Ran != model.RanMaybe {
		t.Errorf("answer while the minter is frozen: %+v", first)
	}
	time.Sleep(time.Second) // longer than the deadline
	c.entries[0].send(syscall.SIGCONT)
	waitServing(t, c.entries...)
	waitIdle(t, c)

	// The forwarded submission may have been refused at the thawed minter,
	// which leaves the ticket to the next one, or may have run.
	before := c.starts(t)[nonce("frozen", 0)]
	job.DeadlineMillis = 10_000
	got := submitTo(t, c.addrs[1], job)
	if before == 0 {
		checkWhole(t, "frozen", 1, got)
	}
	wantStarted(t, c, "frozen", 1)
}

func TestKeyWhileTheStoreFailsRunsAtMostOnceAndIsNotUsedUp(t *testing.T) {
	for name, c := range map[string]struct {
		faults   fakes.PlatformFaults
		complete bool
	}{
		"down":         {fakes.PlatformFaults{Down: true}, false},
		"slow":         {fakes.PlatformFaults{SlowMillis: 5000}, false},
		"answers lost": {fakes.PlatformFaults{LoseResponses: 1000}, true}, // the claim is read back
	} {
		t.Run(name, func(t *testing.T) {
			cell := startCell(t, 2, 4)
			job := quote(name, 1, 0)
			job.IdempotencyKey = name
			job.DeadlineMillis = 1000
			cell.platform.SetFaults(c.faults)
			first := submitTo(t, cell.addrs[0], job)
			if c.complete {
				checkWhole(t, name, 1, first)
			} else {
				if first.Result != model.Failed || first.ThisAttempt != model.RanNo {
					t.Errorf("answer while the store fails: %+v", first)
				}
				wantStarted(t, cell, name, 0)
			}

			cell.platform.SetFaults(fakes.PlatformFaults{})
			checkWhole(t, name, 1, submitTo(t, cell.addrs[1], job))
			wantStarted(t, cell, name, 1)
		})
	}
}

func TestCallerWhoGoesAwayFindsTheAnswerLater(t *testing.T) {
	c := startCell(t, 2, 4)
	job := quote("away", 1, 600*time.Millisecond)
	job.Ticket = c.ticket(t, c.addrs[0])
	impatient := newCaller()
	impatient.http.Timeout = 100 * time.Millisecond
	var a model.Answer
	if err := impatient.postTo(c.addrs[1], "/v1/jobs", job, &a); err == nil {
		t.Fatal("the caller did not go away")
	}
	checkWhole(t, "away", 1, submitTo(t, c.addrs[0], job))
	wantStarted(t, c, "away", 1)
}

func TestAnswerPastTheDeadlineIsNotPassedOn(t *testing.T) {
	c := startCell(t, 2, 4)
	job := quote("late", 1, 2*time.Second)
	job.Tasks[0].ExpectedMillis = 10 // or it would be refused early
	job.Ticket = c.ticket(t, c.addrs[0])
	job.DeadlineMillis = 300
	got := submitTo(t, c.addrs[1], job)
	if got.Result != model.Failed || got.Ran == model.RanNo || got.Error.Kind != model.FailDeadline {
		t.Errorf("answer: %+v", got)
	}
	if diff := cmp.Diff(outcomeOf(got), outcomeOf(submitTo(t, c.addrs[0], job))); diff != "" {
		t.Errorf("resubmission (-first +second):\n%s", diff)
	}
	wantStarted(t, c, "late", 1)
}

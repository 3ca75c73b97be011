package entry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/sourcegraph/conc"

	"foxtailmux/logger"
	"foxtailmux/model"
)

// rawTasks returns the texts as results of tasks.
func rawTasks(texts ...string) []json.RawMessage {
	var raw []json.RawMessage
	for _, text := range texts {
		raw = append(raw, json.RawMessage(text))
	}
	return raw
}

func TestBodyIsReadAsJSONWhateverItsContentType(t *testing.T) {
	s := serve(t, testLimits, &intake{}, 1)
	for _, contentType := range []string{"application/json", "text/plain", "application/x-www-form-urlencoded", "multipart/form-data; boundary=b"} {
		r := readReply(t, dialServer(t, s, post("/v1/jobs", jobOf(1, ""), "Content-Type: "+contentType)))
		if r.Status != 200 || r.Answer.Result != model.Complete {
			t.Errorf("%s: %+v", contentType, r)
		}
	}
}

func TestEachRequestIsLoggedWithoutItsBody(t *testing.T) {
	log := &requestLog{}
	s := newTestServer(t, testLimits, &intake{}, 1)
	s.Log = log
	if err := s.Start(t.Context()); err != nil {
		t.Fatal(err)
	}

	long := strings.Repeat("t", 200)
	for _, text := range []string{
		post("/v1/jobs", jobOf(2, "")),
		post("/v1/jobs", strings.Replace(jobOf(1, ""), `"a"`, `"`+long+`"`, 1)),
		post("/v1/jobs", "{"),
		withoutBody("GET", "/v1/jobs/unknown"),
		withoutBody("GET", "/v1/jobs/known"),
		withoutBody("GET", "/secret"),
	} {
		readReply(t, dialServer(t, s, text))
	}

	want := []logger.Request{
		{JobID: "j1", Team: "a", Service: "b", Method: "POST", Path: "/v1/jobs", Status: 200, JobResult: "complete", Ran: "yes", Tasks: 2},
		{JobID: "j1", Team: long[:100], Service: "b", Method: "POST", Path: "/v1/jobs", Status: 200, JobResult: "complete", Ran: "yes", Tasks: 1},
		{Method: "POST", Path: "/v1/jobs", Status: 400, JobResult: "failed", Ran: "no", Failure: "badRequest"},
		{JobID: "unknown", Method: "GET", Path: "/v1/jobs/:id", Status: 404, JobResult: "failed", Ran: "maybe", Failure: "unknownId"},
		{Method: "GET", Path: "/v1/jobs/:id", Status: 200},
		{Method: "GET", Path: "other", Status: 404, JobResult: "failed", Ran: "no", Failure: "badRequest"},
	}
	if diff := cmp.Diff(want, log.list); diff != "" {
		t.Error(diff)
	}
}

// blockingIntake is an Intake that sends the context of each submission on arrived and
// does not answer until release is closed or the job is cancelled.
type blockingIntake struct {
	intake
	arrived chan context.Context
	release chan struct{}
}

func newBlockingIntake() *blockingIntake {
	h := &blockingIntake{arrived: make(chan context.Context, 1), release: make(chan struct{})}
	h.run = func(ctx context.Context, job model.Job) model.Answer {
		h.arrived <- ctx
		select {
		case <-h.release:
			return echo(job)
		case <-ctx.Done():
			return model.Fail("j1", model.RanMaybe, model.FailCancelled, "cancelled")
		}
	}
	return h
}

func TestStopLetsTheRequestInProgressEnd(t *testing.T) {
	fake := newBlockingIntake()
	s := serve(t, testLimits, fake, 1)
	conn := dialServer(t, s, post("/v1/jobs", jobOf(1, "")))
	<-fake.arrived

	ended, cancel := context.WithCancel(t.Context())
	cancel()
	var e *Error
	if err := s.Stop(ended); !errors.As(err, &e) || !errors.Is(err, context.Canceled) {
		t.Errorf("Stop with an ended context returns %v", err)
	}
	if s.Open() != 1 {
		t.Errorf("%d jobs are open", s.Open())
	}

	var group conc.WaitGroup
	group.Go(func() {
		if err := s.Stop(t.Context()); err != nil {
			t.Error(err)
		}
	})
	close(fake.release)
	if r := readReply(t, conn); r.Status != 200 || !r.Close {
		t.Errorf("status %d, close %v", r.Status, r.Close)
	}
	group.Wait()
	<-s.Done()
}

func TestDrainingServesAndClosesConnections(t *testing.T) {
	s := serve(t, testLimits, &intake{}, 1)
	for _, draining := range []bool{false, true} {
		if draining {
			s.Drain()
		}
		for _, text := range []string{post("/v1/jobs", jobOf(1, "")), withoutBody("GET", "/nowhere"), withoutBody("GET", "/v1/jobs/known")} {
			if r := readReply(t, dialServer(t, s, text)); r.Close != draining {
				t.Errorf("draining %v: close %v for %q", draining, r.Close, text)
			}
		}
	}
}

// The answer of a job without a ticket can't be fetched later, so that the job would only
// take up workers when its caller has disconnected. A job on a ticket has to continue.
func TestJobWithoutTicketIsCancelledWhenItsCallerDisconnects(t *testing.T) {
	ticketed, plain := newBlockingIntake(), newBlockingIntake()
	kept := dialServer(t, serve(t, testLimits, ticketed, 1), post("/v1/jobs", jobOf(1, `,"ticket":"t"`)))
	lost := dialServer(t, serve(t, testLimits, plain, 1), post("/v1/jobs", jobOf(1, "")))
	keptContext, lostContext := <-ticketed.arrived, <-plain.arrived

	_ = kept.Close()
	_ = lost.Close()
	<-lostContext.Done()
	if keptContext.Err() != nil {
		t.Error("the job on a ticket was cancelled too")
	}
	close(ticketed.release)
}

func TestJobWithoutTicketOfAConnectedCallerIsNotCancelled(t *testing.T) {
	fake := newBlockingIntake()
	s := serve(t, testLimits, fake, 1)
	conn := dialServer(t, s, post("/v1/jobs", jobOf(1, "")))
	ctx := <-fake.arrived

	select {
	case <-ctx.Done():
		t.Error("the job was cancelled")
	case <-time.After(750 * time.Millisecond):
	}
	close(fake.release)
	if r := readReply(t, conn); r.Status != 200 {
		t.Errorf("status %d", r.Status)
	}
}

const callers = 1000

// TestEachOfManyConcurrentCallersGetsItsOwnAnswer checks that no payload or id refers to
// the buffer of a request, which the HTTP library reuses for other requests.
func TestEachOfManyConcurrentCallersGetsItsOwnAnswer(t *testing.T) {
	var arrived sync.WaitGroup
	arrived.Add(callers)
	fake := &intake{run: func(_ context.Context, job model.Job) model.Answer {
		arrived.Done()
		arrived.Wait() // no answer before all bodies were read
		return echo(job)
	}}
	s := serve(t, testLimits, fake, callers)

	var group conc.WaitGroup
	for n := range callers {
		group.Go(func() { callOnce(t, s, n) })
	}
	group.Wait()

	var want []string
	for n := range callers {
		want = append(want, cancelID(n))
	}
	slices.Sort(want)
	slices.Sort(fake.cancelled)
	if diff := cmp.Diff(want, fake.cancelled); diff != "" {
		t.Errorf("cancelled ids: %s", diff)
	}
}

func cancelID(n int) string { return fmt.Sprintf("id-%04d", n) }

// callOnce submits a job and cancels an id on the same connection.
func callOnce(t *testing.T, s *Server, n int) {
	payload := fmt.Sprintf(`{"nonce":"caller-%d"}`, n)
	conn := dialServer(t, s, post("/v1/jobs", `{"team":"a","service":"b","tasks":[{"payload":`+payload+`}]}`))
	r := readReply(t, conn)
	if diff := cmp.Diff(rawTasks(payload), r.Answer.Tasks); diff != "" {
		t.Errorf("caller %d: %s", n, diff)
	}

	if _, err := conn.Write([]byte(withoutBody("DELETE", "/v1/jobs/"+cancelID(n)))); err != nil {
		t.Error(err)
	}
	if r := readReply(t, conn); r.Status != 202 || r.Answer.JobID != cancelID(n) {
		t.Errorf("caller %d: status %d for job %q", n, r.Status, r.Answer.JobID)
	}
}

package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/phuslu/log"

	"foxtailmux/home"
	"foxtailmux/logger"
	"foxtailmux/model"
	"foxtailmux/plan"
)

// Guards against a task that runs twice: the cancel of a submission gets no response, such as over a
// connection that has gone silent, and the submission runs on beside the next one of its caller.
func TestCancelIsRepeatedUntilItIsDelivered(t *testing.T) {
	var mu sync.Mutex
	var got []home.SubmissionID
	other := startGroup(t, "other")
	other.Handle(methodCancel, func(_ context.Context, params json.RawMessage) (any, error) {
		var r cancelRequest
		if err := json.Unmarshal(params, &r); err != nil {
			return nil, err
		}
		mu.Lock()
		defer mu.Unlock()
		if got = append(got, r.Submission); len(got) < 3 {
			return nil, errors.New("not now")
		}
		return struct{}{}, nil
	})
	in := newListener(t)
	in.peers.SetPeer("other", other.Addr())

	s := home.Submission{Batch: model.Batch{ID: "a"}, Origin: "entry", Incarnation: "1", Number: 4, TimeLeft: 3 * time.Second}
	in.cancelAt("other", "kochi", s, context.Canceled)
	in.background.Wait()
	want := []home.SubmissionID{s.ID(), s.ID(), s.ID()}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("cancels (-want +got):\n%s", diff)
	}
}

// Guards against a task that runs twice: an origin that has lost power and is up again before its
// heartbeats are missed counted as the origin of the jobs from before.
func TestRestartedOriginIsNotTheOneOfEarlierJobs(t *testing.T) {
	in := newListener(t)
	in.hear(`{"instance":"other","incarnation":"2","nextMillis":250}`)
	for range 50 {
		if time.Sleep(20 * time.Millisecond); in.heartbeats.IsAlive("other") {
			break
		}
	}
	got := map[string]bool{}
	for _, incarnation := range []string{"1", "2"} {
		got[incarnation] = !in.lastMessage("other", incarnation).IsZero()
	}
	if diff := cmp.Diff(map[string]bool{"1": false, "2": true}, got); diff != "" {
		t.Errorf("heard of incarnation (-want +got):\n%s", diff)
	}
}

// Guards against logs that can't tell whether and why an origin cancelled a submission, and whether its
// cancel found the home.
func TestLogTellsWhyASubmissionIsCancelled(t *testing.T) {
	in := newListener(t)
	var logged bytes.Buffer
	in.log = &logger.Logger{Logger: log.Logger{Writer: log.IOWriter{Writer: &logged}}}
	in.peers.SetPeer("entry", in.peers.Addr())
	in.peers.Handle(methodCancel, in.serveCancel)

	s := home.Submission{Batch: model.Batch{ID: "a"}, Origin: "entry", Incarnation: "1", Number: 4, TimeLeft: time.Second}
	in.cancelAt("entry", "kochi", s, context.Canceled)
	in.background.Wait()

	type line struct {
		Message, Job, Home, To, Cause string
		Submission                    int64
	}
	var got []line
	for text := range bytes.Lines(logged.Bytes()) {
		var l line
		if err := json.Unmarshal(text, &l); err != nil {
			t.Fatal(err)
		}
		got = append(got, l)
	}
	want := []line{
		{Message: "submission is cancelled", Job: "a", Home: "kochi", To: "entry", Cause: "context canceled", Submission: 4},
		{Message: "cancel for a home that is not here", Job: "a", Home: "kochi", Submission: 4},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("lines (-want +got):\n%s", diff)
	}
}

// Guards against a task that runs at two homes: the cancel of its job does not get through, such as on a
// link that loses packets, while heartbeats do, so that the home takes the origin's callers to wait.
func TestCancelThatIsNotDeliveredIsAnnounced(t *testing.T) {
	refuse := make(chan struct{})
	other := startGroup(t, "other")
	other.Handle(methodCancel, func(context.Context, json.RawMessage) (any, error) {
		select {
		case <-refuse:
			return struct{}{}, nil
		default:
			return nil, errors.New("not now")
		}
	})
	in := newListener(t)
	in.peers.SetPeer("other", other.Addr())
	in.cancelAt("other", "kochi", home.Submission{Origin: "entry", Number: 4, TimeLeft: 3 * time.Second}, context.Canceled)
	var got [][]int64
	got = append(got, in.ownHeartbeat().Cancelled)
	close(refuse)
	in.background.Wait()
	got = append(got, in.ownHeartbeat().Cancelled)
	if diff := cmp.Diff([][]int64{{4}, nil}, got); diff != "" {
		t.Errorf("announced before and after the delivery (-want +got):\n%s", diff)
	}
}

// Guards against a heartbeat that does not fit into its packet while many cancels are not delivered, and
// against cancels that are never announced since there are later ones.
func TestHeartbeatsAnnounceManyCancelsInTurn(t *testing.T) {
	const first, cancels = 1_000_000_000_000, 100
	in := newListener(t)
	for n := range int64(cancels) {
		in.setCancelling(first+n, true)
	}
	announced := map[int64]bool{}
	for range 3 {
		list := in.undeliveredCancels()
		if text, err := json.Marshal(list); err != nil || len(text) > 700 {
			t.Errorf("%d bytes of cancels, error %v", len(text), err)
		}
		for _, n := range list {
			announced[n] = true
		}
	}
	for n := range int64(cancels) {
		if !announced[first+n] {
			t.Errorf("the cancel of submission %d is not announced", n)
		}
	}
}

// Guards against a submission that outlives the cancel that its origin's heartbeats announce, at its arrival
// as well as later.
func TestHomeEndsTheSubmissionsThatHeartbeatsCancel(t *testing.T) {
	in := newListener(t)
	h := home.New(home.Options{
		DataCentre: "kochi", Token: 1, MaxLease: time.Second, Link: plan.NewLink(0), Observer: in.meter, Log: &in.log.Logger,
		FreeDataCentre: func(int) (string, bool) { return "", false },
	})
	in.mu.Lock()
	in.localHomes["kochi"] = h
	in.mu.Unlock()
	t.Cleanup(func() { h.Close(); <-h.Done() })
	submit := func(id, origin string, number int64) <-chan home.Outcome {
		s := home.Submission{Origin: origin, Incarnation: "1", Number: number, TimeLeft: 2 * time.Second}
		s.Route = model.Route{Stretch: 2, Allowance: 2 * time.Second}
		s.Batch = model.Batch{ID: id, Steps: []model.Step{{Replicas: 1, Needs: model.Resources{MilliCores: 1}, Estimate: time.Millisecond}}}
		outcome := make(chan home.Outcome, 1)
		go func() { outcome <- h.Submit(t.Context(), s) }()
		return outcome
	}
	first, ofAnother := submit("a", "other", 4), submit("b", "third", 4)
	time.Sleep(50 * time.Millisecond)
	began := time.Now()
	in.hear(`{"instance":"other","incarnation":"1","nextMillis":250,"cancelled":[4,5]}`)
	got := []home.Result{(<-first).Result, (<-submit("c", "other", 5)).Result}
	if diff := cmp.Diff([]home.Result{home.Cancelled, home.Cancelled}, got); diff != "" {
		t.Errorf("results (-want +got):\n%s", diff)
	}
	if took := time.Since(began); took > time.Second {
		t.Errorf("the submissions ended after %v", took)
	}
	select {
	case o := <-ofAnother:
		t.Errorf("the submission of another origin ended: %+v", o)
	default:
	}
}

// Guards against a task that runs at two homes: an origin lost power and was up again at once, without a
// heartbeat yet, and the responses of the new process counted as signs of the one that had the job.
func TestResponsesOfARestartedOriginAreNotOfItsEarlierIncarnation(t *testing.T) {
	in := newListener(t)
	in.hear(`{"instance":"other","incarnation":"0","nextMillis":250}`)
	for range 50 {
		if time.Sleep(20 * time.Millisecond); in.heartbeats.IsAlive("other") {
			break
		}
	}
	before := in.lastMessage("other", "0")
	other := startGroup(t, "other") // its incarnation is 1
	other.Handle(methodPending, func(context.Context, json.RawMessage) (any, error) { return 0, nil })
	in.peers.SetPeer("other", other.Addr())
	for range 3 {
		if err := in.peers.Call(t.Context(), "other", methodPending, "quotes", nil); err != nil {
			t.Fatal(err)
		}
		time.Sleep(120 * time.Millisecond)
	}
	if diff := cmp.Diff(before, in.lastMessage("other", "0")); diff != "" {
		t.Errorf("last message of the earlier incarnation (-want +got):\n%s", diff)
	}
	in.hear(`{"instance":"other","incarnation":"1","nextMillis":250}`)
	time.Sleep(120 * time.Millisecond)
	heard := in.lastMessage("other", "1")
	if err := in.peers.Call(t.Context(), "other", methodPending, "quotes", nil); err != nil {
		t.Fatal(err)
	}
	if !in.lastMessage("other", "1").After(heard) {
		t.Error("a response of the present incarnation does not count")
	}
}

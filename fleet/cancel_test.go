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

package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"foxtailmux/home"
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
	in.cancelAt("other", "kochi", s)
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

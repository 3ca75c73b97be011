package fleet

import (
	"context"
	"encoding/json"
	"io"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"foxtailmux/home"
	"foxtailmux/model"
	"foxtailmux/peer"
	"foxtailmux/plan"
	"foxtailmux/table"
	"foxtailmux/watch"
)

// Guards against a job that is answered as succeeded without all of its tasks (MIXED): the parts of a
// division leave a task out, or have it twice.
func TestDivisionHasEachTaskOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		step := model.Step{Replicas: rapid.IntRange(1, 40).Draw(t, "tasks")}
		var capacities []centreCapacity
		for _, dc := range []string{"kochi", "tvm", "kozhikode"} {
			capacities = append(capacities, centreCapacity{dc, rapid.IntRange(-2, 40).Draw(t, dc)})
		}
		parts := splitTasks(step, capacities)
		if parts == nil {
			return
		}
		counts := make([]int, step.Replicas)
		want := make([]int, step.Replicas)
		for _, p := range parts {
			for i := range p.part.Count {
				counts[p.part.First+i]++
			}
		}
		for i := range want {
			want[i] = 1
		}
		if diff := cmp.Diff(want, counts); diff != "" {
			t.Errorf("parts %v (-want +got):\n%s", parts, diff)
		}
	})
}

// Guards against a job that is answered as succeeded (MIXED) or as not run (TWICE, since its caller may
// submit it elsewhere at once) while that holds for some of its parts only.
func TestOutcomeOfADivisionIsThatOfAllParts(t *testing.T) {
	results := []home.Result{
		home.Succeeded, home.Failed, home.Refused, home.Moved, home.Redirected, home.Busy, home.NoCapacity, home.Cancelled, home.Lost,
	}
	for _, a := range results {
		for _, b := range results {
			for _, c := range results {
				parts := []home.Outcome{{Result: a}, {Result: b}, {Result: c}}
				got := combineOutcomes(parts).Result
				for _, r := range []home.Result{home.Succeeded, home.Refused} {
					if want := a == r && b == r && c == r; want != (got == r) {
						t.Errorf("%q, %q, %q: %q", a, b, c, got)
					}
				}
			}
		}
	}
}

// Guards against a task that runs at two homes: a home is replaced before its stops arrive, and the origin,
// whose caller has left, does not tell the next home.
func TestLaterHomeIsToldThatACallerHasLeft(t *testing.T) {
	cancels := map[string]chan cancelRequest{}
	in := newListener(t)
	in.self.Instance, in.self.Incarnation = "entry", "1"
	in.reservations, in.link = map[string]reservation{}, plan.NewLink(0)
	for _, id := range []string{"earlier", "later"} {
		got := make(chan cancelRequest, 2)
		cancels[id] = got
		other := startGroup(t, id)
		other.Handle(methodRun, func(ctx context.Context, _ json.RawMessage) (any, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		})
		other.Handle(methodCancel, func(_ context.Context, params json.RawMessage) (any, error) {
			var r cancelRequest
			err := json.Unmarshal(params, &r)
			got <- r
			return struct{}{}, err
		})
		in.peers.SetPeer(id, other.Addr())
		in.hear(`{"instance":"` + id + `","incarnation":"1","nextMillis":60000}`)
	}
	in.homeTable = watch.New(homesTableName, nil, nil, func([]table.Row) {}, &in.log.Logger)
	setHome := func(value string, version int64) {
		in.homeTable.ApplyWrite(table.Row{Key: homeKey("kochi"), Value: []byte(value), Version: version})
		in.changed.notify()
	}
	setHome(`{"instance":"earlier","incarnation":"1"}`, 9)
	time.Sleep(50 * time.Millisecond) // until the heartbeats have arrived

	ctx, leave := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer leave()
	s := home.Submission{Batch: model.Batch{ID: "a"}, Origin: "entry", Incarnation: "1", TimeLeft: time.Second}
	s.Route = model.Route{Stretch: 2, Allowance: time.Second}
	if diff := cmp.Diff(home.Cancelled, in.forward(ctx, s, newForwarding("kochi"), time.Now()).Result); diff != "" {
		t.Errorf("result (-want +got):\n%s", diff)
	}
	setHome(`{"instance":"later","incarnation":"1"}`, 11)
	s.Number = 1
	want := cancelRequest{DataCentre: "kochi", Job: s.Key(), Submission: s.ID()}
	for id, got := range cancels {
		select {
		case r := <-got:
			if diff := cmp.Diff(want, r); diff != "" {
				t.Errorf("cancel at the %s home (-want +got):\n%s", id, diff)
			}
		case <-time.After(2 * time.Second):
			t.Errorf("the %s home was not told", id)
		}
	}
}

// Guards against waits for a later home for callers of which no home has begun anything.
func TestWhichAttemptsMayHaveBegun(t *testing.T) {
	unsent := &peer.Error{Kind: peer.NotSent, Err: io.EOF}
	unconfirmed := &peer.Error{Kind: peer.Unconfirmed, Err: io.EOF}
	got := []bool{
		mayHaveBegun(home.Outcome{Result: home.Busy}, nil), mayHaveBegun(home.Outcome{Result: home.Succeeded}, nil),
		mayHaveBegun(home.Outcome{}, unsent), mayHaveBegun(home.Outcome{}, errNotHome),
		mayHaveBegun(home.Outcome{Result: home.Moved}, nil), mayHaveBegun(home.Outcome{Result: home.Cancelled}, nil),
		mayHaveBegun(home.Outcome{}, unconfirmed),
	}
	if diff := cmp.Diff([]bool{false, false, false, false, true, true, true}, got); diff != "" {
		t.Errorf("may have begun (-want +got):\n%s", diff)
	}
}

package fleet

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"foxtailmux/drain"
	"foxtailmux/home"
	"foxtailmux/lease"
	"foxtailmux/model"
	"foxtailmux/table"
	"foxtailmux/watch"
)

// newFollower returns an instance that follows the operator's table of a store.
func newFollower(t *testing.T, s *rowStore) listener {
	t.Helper()
	in := newRegistered(t, s)
	in.tables = TableNames{Workers: "workers", Operator: "op", ConfigKey: "op/config", DrainPrefix: "op/drain/"}
	in.configTable = watch.New("op", s, nil, in.onConfig, &in.log.Logger)
	return in
}

// waitFor waits until a condition holds, at most 2 s.
func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for began := time.Now(); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Since(began) > 2*time.Second {
			t.Fatal(what)
		}
	}
}

func TestRequestsToDrainAreReadFromTheOperatorsTable(t *testing.T) {
	s := newRowStore()
	s.add(table.Row{Key: "op/drain/kochi"}, table.Row{Key: "op/config"})
	in := newFollower(t, s)
	go in.configTable.Run(in.ctx)
	waitFor(t, "the request that was there at the start is not in force", func() bool { return in.isDrained("kochi") })
	if request, _ := in.drainOf("kochi"); !request.Since.IsZero() {
		t.Errorf("in force since %v, want an unknown time", request.Since)
	}
	time.Sleep(2 * initialReadWindow)
	s.add(table.Row{Key: "op/drain/kochi", Deleted: true}, table.Row{Key: "op/drain/tvm"}, table.Row{Key: "op/drain/nowhere"})
	waitFor(t, "the later changes are not in force", func() bool { return in.drains.Load().Version() == 5 })
	want := drain.Set{Version: 5, Rows: map[string]int64{"tvm": 4, "nowhere": 5}}
	if diff := cmp.Diff(want, in.drains.Load().Set()); diff != "" {
		t.Error(diff)
	}
	if request, _ := in.drainOf("tvm"); request.Since.IsZero() {
		t.Error("a new request has no time")
	}
}

// An instance that starts while a data centre is drained must not be its home before it can know that.
func TestNoHomeIsClaimedBeforeTheOperatorsTableIsRead(t *testing.T) {
	s := newRowStore()
	in := newFollower(t, s)
	go in.workerTable.Run(in.ctx)
	s.add(ownRow(t, in), table.Row{Key: homeKey("kochi"), Value: []byte(`{"instance":"lost","incarnation":"1"}`)})
	waitFor(t, "not registered", func() bool { return in.isRegistered() && in.workerTable.IsLoaded() })
	in.fencedTokens, in.claiming, in.homeChangedAt = map[string]int64{}, map[string]bool{}, map[string]time.Time{}
	in.workerCounts, in.claimedVersion = map[string]int{}, map[string]int64{}

	in.reviewHomes()
	in.background.Wait()
	before := s.commits
	go in.configTable.Run(in.ctx)
	waitFor(t, "not read", in.configTable.IsLoaded)
	in.reviewHomes()
	in.background.Wait()
	if diff := cmp.Diff([]int{0, 1}, []int{before, s.commits}); diff != "" {
		t.Errorf("claims before and after (-want +got):\n%s", diff)
	}
	if in.isFirstClaim("kochi") || in.isFirstClaim("tvm") {
		t.Error("the claim of a home that another instance was, or of none, counts as the first")
	}
	in.claim("tvm", 0)
	in.background.Wait()
	if !in.isFirstClaim("tvm") {
		t.Error("the claim of a home without a row does not count as the first")
	}
}

// An instance that the store turns away gets the requests from a peer, and a later take-back.
func TestRequestsToDrainAreFetchedFromAPeer(t *testing.T) {
	sets := make(chan drain.Set, 2)
	sets <- drain.Set{Version: 5, Rows: map[string]int64{"kochi": 5}}
	sets <- drain.Set{Version: 9}
	other := startGroup(t, "other")
	other.Handle(methodDrains, func(context.Context, json.RawMessage) (any, error) { return <-sets, nil })
	in := newRegistered(t, newRowStore())
	in.peers.SetPeer("other", other.Addr())
	fetch := func(heartbeat string, version int64) {
		waitFor(t, "not fetched", func() bool {
			in.hear(heartbeat)
			in.fetchNewerDrains()
			return in.drains.Load().Version() == version
		})
	}
	fetch(`{"instance":"other","incarnation":"1","drains":5,"nextMillis":250}`, 5)
	if request, ok := in.drainOf("kochi"); !ok || !request.Since.IsZero() {
		t.Errorf("request %v, %v; want one of unknown time", request, ok)
	}
	fetch(`{"instance":"other","incarnation":"1","drains":9,"nextMillis":250}`, 9)
	if in.isDrained("kochi") {
		t.Error("still drained")
	}
}

// An origin has read a request that the home hasn't: it sends no start, and the home gets the request.
func TestOriginSendsNoStartForADrainedDataCentre(t *testing.T) {
	w := &recordingWorker{}
	in := newOrigin(w)
	in.keepSpec(home.Submission{Batch: model.Batch{ID: "j", Spec: "x"}})
	start := func(drainVersion int64) any {
		params, err := json.Marshal(startRequest{
			Job: home.Key{ID: "j"}, DataCentre: "kochi", DrainVersion: drainVersion, Start: lease.Start{Token: laterToken, Incarnation: 4},
		})
		if err != nil {
			t.Fatal(err)
		}
		resp, err := in.serveStart(t.Context(), params)
		if err != nil {
			t.Fatal(err)
		}
		return resp
	}
	set := drain.Set{Version: 6, Rows: map[string]int64{"kochi": 6}}
	requests, _ := in.drains.Load().Update(set, time.Now(), true)
	in.drains.Store(requests)
	declined := startResponse{Reply: lease.Reply{Refusal: lease.Late}, Drains: &set}
	sent := startResponse{Reply: lease.Reply{Clock: 7}}
	// A home with the same requests lets a job that has begun go on, and would repeat a declined start at once.
	want := []any{declined, sent, sent}
	if diff := cmp.Diff(want, []any{start(0), start(6), start(7)}); diff != "" || len(w.starts) != 2 {
		t.Errorf("%d starts sent, want 2; responses (-want +got):\n%s", len(w.starts), diff)
	}
}

// A home of this instance is asked by findHome without a call.
func newRouter(t *testing.T, drained ...string) listener {
	t.Helper()
	s := newRowStore()
	in := newRegistered(t, s)
	set := drain.Set{Version: 1, Rows: map[string]int64{}}
	for _, dc := range drained {
		set.Rows[dc] = 1
	}
	in.applyDrains(set, "test", true)
	for _, dc := range []string{"kochi", "tvm", "thrissur"} {
		s.add(table.Row{Key: homeKey(dc), Value: []byte(`{"instance":"entry"}`)})
		h := home.New(home.Options{
			DataCentre: dc, Token: 1, MaxLease: time.Second, Log: &in.log.Logger,
			Drained: func() (drain.Request, bool) { return in.drainOf(dc) },
		})
		t.Cleanup(func() {
			h.Close()
			<-h.Done()
		})
		in.localHomes[dc] = h
	}
	waitFor(t, "homes not read", func() bool { return len(in.homeTable.Rows()) == 3 })
	return in
}

func TestNewJobsPassDrainedDataCentresOver(t *testing.T) {
	cases := map[string]struct {
		drained []string
		resumed bool
		want    string
	}{
		"none drained":                     {nil, false, "kochi"},
		"another one drained":              {[]string{"tvm"}, false, "kochi"},
		"all but one":                      {[]string{"kochi", "thrissur"}, false, "tvm"},
		"one that doesn't exist":           {[]string{"nowhere"}, false, "kochi"},
		"all":                              {[]string{"kochi", "tvm", "thrissur"}, false, ""},
		"its home may have begun the job":  {[]string{"kochi"}, true, "kochi"},
		"begun, and all are drained since": {[]string{"kochi", "tvm", "thrissur"}, true, "kochi"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			in := newRouter(t, c.drained...)
			j := newForwarding("kochi")
			j.resumed = c.resumed
			began := time.Now()
			got, _, _ := in.awaitHome(t.Context(), j, 5*time.Second)
			if diff := cmp.Diff(c.want, got); diff != "" || time.Since(began) > time.Second {
				t.Errorf("after %v (-want +got):\n%s", time.Since(began), diff)
			}
			for _, dc := range c.drained {
				for _, other := range in.otherCentres("") {
					if other == dc {
						t.Errorf("%s is asked for capacity", dc)
					}
				}
			}
		})
	}
}

// With all data centres drained a job is refused at once, and truly: nothing of it has run.
func TestJobIsRefusedAtOnceIfAllDataCentresAreDrained(t *testing.T) {
	in := newRouter(t, "kochi", "tvm", "thrissur")
	began := time.Now()
	got := in.Run(t.Context(), home.Submission{Batch: model.Batch{ID: "j", Steps: []model.Step{{Replicas: 1}}}, TimeLeft: 5 * time.Second})
	want := home.Outcome{Result: home.Refused, Reason: "all data centres are drained", RetryAfter: drain.RetryDelay}
	if diff := cmp.Diff(want, got); diff != "" || time.Since(began) > time.Second {
		t.Errorf("after %v (-want +got):\n%s", time.Since(began), diff)
	}
}

func TestForwardingOfJobsThatDrainedDataCentresHandBack(t *testing.T) {
	handedBack := home.Outcome{Result: home.Drained}
	withDone := home.Outcome{Result: home.Drained, Done: []string{"a"}}
	type attempt struct {
		outcome home.Outcome
		err     error
	}
	cases := map[string]struct {
		part     *home.Part
		attempts []attempt
		want     home.Submission // of the next attempt
		failure  home.Result
	}{
		"not begun": {
			nil,
			[]attempt{{outcome: handedBack}},
			home.Submission{},
			home.Refused,
		},
		"begun, with tasks that are done": {
			nil,
			[]attempt{{outcome: withDone}},
			home.Submission{Resumed: true, TasksReported: true, Done: []string{"a"}},
			home.Lost,
		},
		"begun, without a task that is done": {
			nil,
			[]attempt{{outcome: home.Outcome{Result: home.Drained, Begun: true}}},
			home.Submission{Resumed: true, TasksReported: true},
			home.Lost,
		},
		"a part, of which others may have begun": {
			&home.Part{Count: 2},
			[]attempt{{outcome: handedBack}},
			home.Submission{Resumed: true, TasksReported: true, Part: &home.Part{Count: 2}},
			home.Lost,
		},
		"its first home was lost": {
			nil,
			[]attempt{{err: unconfirmed}, {outcome: handedBack}},
			home.Submission{Resumed: true, TasksReported: true},
			home.Lost,
		},
		"handed back, and the next home was lost": {
			nil,
			[]attempt{{outcome: withDone}, {err: unconfirmed}},
			home.Submission{Resumed: true, Done: []string{"a"}},
			home.Lost,
		},
	}
	for name, c := range cases {
		j := newForwarding("kochi")
		j.part = c.part
		for _, a := range c.attempts {
			j.decide("kochi", a.outcome, a.err)
		}
		var got home.Submission
		j.annotate(&got)
		if diff := cmp.Diff(c.want, got); diff != "" || j.failure().Result != c.failure {
			t.Errorf("%s: failure %q, want %q; next submission (-want +got):\n%s", name, j.failure().Result, c.failure, diff)
		}
	}
}

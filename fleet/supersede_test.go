package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/phuslu/log"

	"foxtailmux/beat"
	"foxtailmux/fakes"
	"foxtailmux/home"
	"foxtailmux/model"
	"foxtailmux/plan"
	"foxtailmux/table"
	"foxtailmux/watch"
)

// asked is an instance with a home, and the requests for the end of a job that it received.
type asked struct {
	mu       sync.Mutex
	requests []home.SupersedeRequest

	submitted []home.RequestID // of the submissions that it received
}

func (a *asked) count() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.requests)
}

// newResubmissionTest returns an instance that is the home of kochi, and another one, "other", that is the home of
// tvm and responds to requests for the end of a job with the results in turn, the last one repeatedly.
func newResubmissionTest(t *testing.T, results ...any) (listener, *asked) {
	t.Helper()
	in := newListener(t)
	in.self.Instance, in.self.Incarnation, in.startedAt = "entry", "1", time.Now().Add(-time.Hour)
	in.settings.Platform.MaxLease = 300 * time.Millisecond
	in.homeChangedAt = map[string]time.Time{}
	in.homeTable = watch.New(homesTableName, nil, nil, func([]table.Row) {}, &in.log.Logger)
	in.setHome("kochi", "entry", 7)
	in.setHome("tvm", "other", 8)

	a := &asked{}
	other := startGroup(t, "other")
	other.Handle(methodRun, func(_ context.Context, params json.RawMessage) (any, error) {
		var r runRequest
		err := json.Unmarshal(params, &r)
		a.mu.Lock()
		defer a.mu.Unlock()
		a.submitted = append(a.submitted, r.Job.RequestID())
		return home.Outcome{Result: home.Succeeded}, err
	})
	other.Handle(methodSupersede, func(_ context.Context, params json.RawMessage) (any, error) {
		var r supersedeCall
		if err := json.Unmarshal(params, &r); err != nil {
			return nil, err
		}
		a.mu.Lock()
		defer a.mu.Unlock()
		a.requests = append(a.requests, r.SupersedeRequest)
		result := results[min(len(a.requests), len(results))-1]
		if err, ok := result.(error); ok {
			return nil, err
		}
		return result, nil
	})
	in.peers.SetPeer("other", other.Addr())
	in.hear(`{"instance":"other","incarnation":"1","nextMillis":60000}`)
	in.awaitIncarnation("1")
	return in, a
}

// awaitIncarnation waits until a heartbeat of an incarnation of "other" has arrived.
func (l listener) awaitIncarnation(incarnation string) {
	for range 50 {
		if time.Sleep(10 * time.Millisecond); l.heartbeats.Status("other").Incarnation == incarnation {
			return
		}
	}
}

// testLeaseTime is the leaseTime of a newResubmissionTest.
const testLeaseTime = 300*time.Millisecond + home.LeaseMargin

// setHome records the home of a data centre as the store does.
func (l listener) setHome(dataCentre, instance string, version int64) {
	value := fmt.Sprintf(`{"instance":%q,"incarnation":"1"}`, instance)
	l.homeTable.ApplyWrite(table.Row{Key: homeKey(dataCentre), Value: []byte(value), Version: version})
}

// announce records a job of another request as a heartbeat of "other" announces it.
func (l listener) announce(id string, left time.Duration) {
	request := beat.HashRequest("first", "1", 1)
	l.onOpenJobs(beat.Heartbeat{Instance: "other", Incarnation: "1", Open: beat.OpenJobs{{Job: beat.HashJob("quotes", id), Request: request, Left: left}}})
}

// resubmit returns how long a job waited for its earlier submissions, and the error of that.
func (l listener) resubmit(t *testing.T, s home.Submission) (time.Duration, error) {
	r := resubmission{s, "kochi", time.Now(), map[openJobKey]bool{}}
	err := l.supersedeElsewhere(t.Context(), r)
	return time.Since(r.since), err
}

func resubmitted(id string) home.Submission {
	return home.Submission{Batch: model.Batch{ID: id, Queue: "quotes"}, Origin: "later", Incarnation: "1", Request: 1, TimeLeft: 3 * time.Second}
}

var (
	runsLeft   = supersedeResult{RunsLeft: true}
	noRunsLeft = supersedeResult{}
)

// Guards against a task that runs at two homes: a job is started while the home that has announced it still has
// runs of an earlier submission, or does not respond.
func TestResubmissionWaitsUntilTheEarlierOneHasEnded(t *testing.T) {
	in, a := newResubmissionTest(t, runsLeft, errors.New("not now"), noRunsLeft)
	in.announce("a", 3*time.Second)
	if _, err := in.resubmit(t, resubmitted("a")); err != nil {
		t.Error(err)
	}
	if diff := cmp.Diff(3, a.count()); diff != "" {
		t.Errorf("requests (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(true, a.requests[2].Announced && a.requests[2].By == resubmitted("a").RequestID()); diff != "" {
		t.Errorf("certain end for this request asked (-want +got):\n%s", diff)
	}
}

// Guards against a task that runs at two homes: an earlier submission that waited for long, for a home for
// instance, starts beside the one that its caller has sent since; and against jobs that wait for other instances
// though nothing tells that their caller has submitted them before.
func TestOldSubmissionAsksAllHomes(t *testing.T) {
	old := resubmitted("a")
	old.Age = home.LongOpenAge
	for name, c := range map[string]struct {
		submission home.Submission
		result     any
		wantErr    error
		wantAsked  int
	}{
		"new":                 {resubmitted("a"), noRunsLeft, nil, 0},
		"old":                 {old, noRunsLeft, nil, 1},
		"old, later one open": {old, supersedeResult{LaterOpen: true}, errSuperseded, 1},
		"old, no response":    {old, errors.New("not now"), nil, 1},
	} {
		t.Run(name, func(t *testing.T) {
			results, ok := c.result.([]any)
			if !ok {
				results = []any{c.result}
			}
			in, a := newResubmissionTest(t, results...)
			_, err := in.resubmit(t, c.submission)
			if !errors.Is(err, c.wantErr) {
				t.Errorf("got %v, want %v", err, c.wantErr)
			}
			if diff := cmp.Diff(c.wantAsked, a.count()); diff != "" {
				t.Errorf("requests (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against a caller that waits for a home of an earlier version, which can't end the job.
func TestResubmissionDoesNotWaitForAnEarlierVersion(t *testing.T) {
	in, _ := newResubmissionTest(t, noRunsLeft)
	old := startGroup(t, "other")
	in.peers.SetPeer("other", old.Addr())
	in.announce("a", 3*time.Second)
	took, err := in.resubmit(t, resubmitted("a"))
	if err != nil || took > time.Second {
		t.Errorf("waited %v, error %v", took, err)
	}
}

// Guards against parts of one request that end each other.
func TestJobOfTheSameRequestIsNotSuperseded(t *testing.T) {
	in, _ := newResubmissionTest(t, noRunsLeft)
	in.announce("a", 3*time.Second)
	s := resubmitted("a")
	s.Origin = "first"
	if diff := cmp.Diff(0, len(in.openJobs.OfOtherRequests("quotes", "a", s.RequestID()))); diff != "" {
		t.Errorf("other requests (-want +got):\n%s", diff)
	}
}

// Guards against a caller that waits for longer than an earlier run can live: until its time is over and the leases
// have expired where its home does not respond, and until an earlier home can keep runs alive no more where it is
// lost and the later one has not started; and against tasks that start before that.
func TestResubmissionWaitsAsLongAsAnEarlierRunCanLive(t *testing.T) {
	const left = 400 * time.Millisecond
	for name, c := range map[string]struct {
		left           time.Duration
		lost, replaced bool
		want           time.Duration
	}{
		"home does not respond":       {left: left, want: left + testLeaseTime},
		"home lost":                   {left: left, lost: true, want: left + testLeaseTime},
		"home lost and replaced":      {left: time.Minute, lost: true, replaced: true, want: home.SuccessionTime(300 * time.Millisecond)},
		"home replaced, but is heard": {left: left, replaced: true, want: left + testLeaseTime},
	} {
		t.Run(name, func(t *testing.T) {
			in, a := newResubmissionTest(t, errors.New("not now"))
			in.announce("a", c.left)
			if c.replaced {
				in.setHome("tvm", "third", 9)
				in.homeChangedAt["tvm"] = time.Now()
			}
			if c.lost {
				in.hear(`{"instance":"other","incarnation":"2","nextMillis":60000}`)
				in.awaitIncarnation("2")
			}
			s := resubmitted("a")
			s.TimeLeft = 10 * time.Second
			took, err := in.resubmit(t, s)
			if err != nil {
				t.Error(err)
			}
			if took < c.want-50*time.Millisecond || took > c.want+500*time.Millisecond {
				t.Errorf("waited %v, want %v", took, c.want)
			}
			if diff := cmp.Diff(!c.lost, a.count() > 0); diff != "" {
				t.Errorf("asked (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against a task that runs at two homes: an instance that has closed its home, whose runs the next one may
// continue, reports that none is left; and against jobs that wait for runs of others.
func TestRunsOfAClosedHomeAreLeftUntilTheirLeasesHaveExpired(t *testing.T) {
	in, _ := newResubmissionTest(t, noRunsLeft)
	in.setHome("kochi", "third", 10)
	in.fencedTokens = map[string]int64{}
	capacity := model.Resources{MilliCores: 1000}
	worker := fakes.NewLeasedWorker("w", capacity, fakes.NewLedger())
	worker.RunTime = func(string) time.Duration { return time.Minute }
	h := home.New(home.Options{
		DataCentre: "kochi", Token: 1, MaxLease: in.settings.Platform.MaxLease, Link: plan.NewLink(0), Observer: in.meter, Log: &in.log.Logger,
		Connect: func(model.Worker, func(time.Duration)) home.Endpoint { return worker }, OnFenced: func() {}, RefreshWorkers: func() {},
	})
	h.SetWorkers(map[string]model.Worker{"w": {ID: "w", Addr: "w", DataCentre: "kochi", State: model.Live, Capacity: capacity, Incarnation: worker.Incarnation()}}, true)
	s := resubmitted("a")
	s.Batch.Steps, s.Route = []model.Step{{Replicas: 1}}, model.Route{Stretch: 2, Allowance: time.Second}
	go h.Submit(t.Context(), s)
	for range 100 {
		if time.Sleep(10 * time.Millisecond); len(h.JobsWithRuns()) > 0 {
			break
		}
	}
	in.closeHome("kochi", h)

	left := func(id string) bool {
		return !in.supersede(t.Context(), home.SupersedeRequest{Job: id, Queue: "quotes", Announced: true}, "").ended()
	}
	got := map[string]bool{"job": left("a"), "other job": left("b")}
	time.Sleep(in.leaseTime())
	got["job, leases expired"] = left("a")
	want := map[string]bool{"job": true, "other job": false, "job, leases expired": false}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("runs left (-want +got):\n%s", diff)
	}
	in.leftRuns.RemoveExpired(time.Now())
	if diff := cmp.Diff(0, len(in.leftRuns.until)); diff != "" {
		t.Errorf("recorded jobs after that (-want +got):\n%s", diff)
	}
}

// Guards against a caller that waits though the home that continues the runs of an earlier one has ended them, and
// against a task that starts before it has.
func TestSuccessorOfAClosedHomeConfirmsTheEnd(t *testing.T) {
	in, a := newResubmissionTest(t, supersedeResult{ClosedHome: true})
	third := startGroup(t, "third")
	var answers atomic.Int32
	third.Handle(methodSupersede, func(context.Context, json.RawMessage) (any, error) {
		return supersedeResult{RunsLeft: answers.Add(1) < 3}, nil
	})
	in.peers.SetPeer("third", third.Addr())
	in.hear(`{"instance":"third","incarnation":"1","nextMillis":60000}`)
	in.setHome("tvm", "third", 9)
	in.homeChangedAt["tvm"] = time.Now()
	for range 50 {
		if time.Sleep(10 * time.Millisecond); in.heartbeats.IsAlive("third") {
			break
		}
	}
	in.announce("a", time.Minute)
	if _, err := in.resubmit(t, resubmitted("a")); err != nil {
		t.Error(err)
	}
	if diff := cmp.Diff([]int{3, 3}, []int{a.count(), int(answers.Load())}); diff != "" {
		t.Errorf("requests to the closed home's instance and to its successor (-want +got):\n%s", diff)
	}
}

// Guards against a home that learns of no job that an instance asks for: the next submission may come here.
func TestRequestForTheEndOfAJobAnnouncesIt(t *testing.T) {
	in, _ := newResubmissionTest(t, noRunsLeft)
	by := home.RequestID{Origin: "first", Incarnation: "1", Number: 1}
	params, err := json.Marshal(supersedeCall{
		SupersedeRequest: home.SupersedeRequest{Job: "a", Queue: "quotes", By: by}, Instance: "other", Incarnation: "1", Left: time.Second,
	})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := in.serveSupersede(t.Context(), params); err != nil {
		t.Fatal(err)
	}
	later := resubmitted("a").RequestID()
	open := in.openJobs.OfOtherRequests("quotes", "a", later)
	if diff := cmp.Diff(1, len(open)); diff != "" || open[0].instance != "other" {
		t.Errorf("open at %v (-want +got):\n%s", open, diff)
	}
	in.openJobs.RemoveExpired(time.Now().Add(time.Second + in.leaseTime()))
	if diff := cmp.Diff(0, len(in.openJobs.byJob)); diff != "" {
		t.Errorf("announcements after the time of the job (-want +got):\n%s", diff)
	}
}

// Guards against a heartbeat that does not announce the job of a submission that waits for an earlier one, and against
// two submissions of which neither is told of the other since neither has arrived at its home.
func TestHeldSubmissionIsAnnouncedAndEnds(t *testing.T) {
	in, _ := newResubmissionTest(t, runsLeft)
	in.announce("a", time.Minute)
	h := home.New(home.Options{DataCentre: "kochi", Token: 1, MaxLease: time.Second, Log: &in.log.Logger, OnFenced: func() {}})
	defer h.Close()
	earlier := home.SupersedeRequest{Job: "a", Queue: "quotes", By: home.RequestID{Origin: "first", Number: 1}, Age: 2 * home.LongOpenAge}
	later := home.SupersedeRequest{Job: "a", Queue: "quotes", By: home.RequestID{Origin: "third", Number: 1}}
	for name, end := range map[string]func(home.Submission){
		"superseded": func(home.Submission) { in.supersede(t.Context(), later, "") },
		"cancelled": func(s home.Submission) {
			params, err := json.Marshal(cancelRequest{DataCentre: "kochi", Job: s.Key(), Submission: s.ID()})
			if err == nil {
				_, err = in.serveCancel(t.Context(), params)
			}
			if err != nil {
				t.Error(err)
			}
		},
		"cancel announced": func(s home.Submission) {
			in.cancelAnnounced(beat.Heartbeat{Instance: s.Origin, Incarnation: s.Incarnation, Cancelled: []int64{s.Number}})
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := resubmitted("a")
			s.Age, s.Number = home.LongOpenAge, 4
			ended := make(chan home.Outcome, 1)
			go func() { ended <- in.submitHere(t.Context(), "kochi", h, s) }()
			time.Sleep(200 * time.Millisecond)
			announced := false
			for _, j := range in.announcedJobs() {
				announced = announced || j.Job == beat.HashJob("quotes", "a") && j.Request == hashRequest(s.RequestID())
			}
			got := []any{announced, in.supersede(t.Context(), earlier, "").LaterOpen, in.held.Len(), in.openJobs.Len()}
			if diff := cmp.Diff([]any{true, true, 1, 1}, got); diff != "" {
				t.Errorf("announced, later for an earlier request, held submissions, announced jobs (-want +got):\n%s", diff)
			}
			end(s)
			select {
			case o := <-ended:
				if diff := cmp.Diff(home.Cancelled, o.Result); diff != "" {
					t.Errorf("held submission (-want +got):\n%s", diff)
				}
			case <-time.After(s.TimeLeft / 2):
				t.Error("the submission is held on")
				<-ended
			}
		})
	}
}

// Guards against a task that runs at two homes: the times of a submission leave out how long it waited for earlier
// ones, and it starts beside runs that an earlier home of its data centre has left on workers that have not reported.
func TestHeldSubmissionIsOlderAtItsHome(t *testing.T) {
	in, _ := newResubmissionTest(t, runsLeft, runsLeft, noRunsLeft)
	in.homeChangedAt["kochi"] = time.Now()
	in.openJobs.Add("quotes", "a", openJob{openJobKey{instance: "earlier", incarnation: "1"}, time.Now().Add(time.Minute)})
	in.announce("a", time.Minute)
	var logged bytes.Buffer
	h := home.New(home.Options{
		DataCentre: "kochi", Token: 1, MaxLease: time.Second, Link: plan.NewLink(0), Observer: in.meter, OnFenced: func() {},
		Log: &log.Logger{Writer: log.IOWriter{Writer: &logged}},
	})
	s := resubmitted("a")
	s.Batch.Steps, s.TimeLeft = []model.Step{{Replicas: 1}}, time.Second
	go func() {
		time.Sleep(300 * time.Millisecond)
		h.Close()
	}()
	in.submitHere(t.Context(), "kochi", h, s)
	<-h.Done()
	var line struct {
		AcceptedMillis, TransitMillis int64
		Resumed                       bool
	}
	for text := range bytes.Lines(logged.Bytes()) {
		if bytes.Contains(text, []byte("job ended")) {
			if err := json.Unmarshal(text, &line); err != nil {
				t.Fatal(err)
			}
		}
	}
	if line.AcceptedMillis < announcedRetry.Milliseconds() || line.TransitMillis != line.AcceptedMillis || !line.Resumed {
		t.Errorf("the job was accepted as %+v", line)
	}
}

// Guards against a live caller's job that ends since a request of an earlier submission was held up on the network.
func TestLateRequestForTheEndOfAJobIsRefused(t *testing.T) {
	in, _ := newResubmissionTest(t, noRunsLeft)
	in.peers.Handle(methodSupersede, in.serveSupersede)
	asking, conns := newHoldingGroup(t, "other")
	asking.SetPeer("entry", in.peers.Addr())
	c := supersedeCall{SupersedeRequest: home.SupersedeRequest{Job: "a", Queue: "quotes"}, Instance: "other", Left: time.Minute}
	if err := asking.Call(t.Context(), "entry", methodSupersede, c, nil); err != nil {
		t.Fatal(err)
	}
	conn := <-conns
	conn.hold()
	c.Job = "b"
	ended := make(chan error, 1)
	go func() { ended <- asking.Call(t.Context(), "entry", methodSupersede, c, nil) }()
	time.Sleep(maxTransit - 100*time.Millisecond)
	for !conn.holdsBytes() {
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(200 * time.Millisecond)
	if err := conn.release(); err != nil {
		t.Fatal(err)
	}
	if err := <-ended; err == nil {
		t.Error("a late request was served")
	}
	got := []int{len(in.openJobs.OfOtherRequests("quotes", "a", home.RequestID{Number: 9})), len(in.openJobs.OfOtherRequests("quotes", "b", home.RequestID{Number: 9}))}
	if diff := cmp.Diff([]int{1, 0}, got); diff != "" {
		t.Errorf("announcements of both jobs (-want +got):\n%s", diff)
	}
}

// Guards against a task that runs at two homes: an instance that does not know what its earlier incarnation left, or
// has not started the home that the store names, reports that no run is left.
func TestInstanceWithoutItsHomeConfirmsNoEnd(t *testing.T) {
	in, _ := newResubmissionTest(t, noRunsLeft)
	in.setHome("kochi", "third", 10)
	got := map[string]bool{"no home": in.lacksHome()}
	in.startedAt = time.Now()
	got["just started"] = in.lacksHome()
	in.startedAt = time.Now().Add(-time.Hour)
	in.setHome("kochi", "entry", 11)
	got["home not started"] = in.lacksHome()
	want := map[string]bool{"no home": false, "just started": true, "home not started": true}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("lacks a home (-want +got):\n%s", diff)
	}
}

// Guards against two requests of a job at one origin that count as one, so that neither ends the other.
func TestRequestsOfOneOriginAreToldApart(t *testing.T) {
	in, a := newResubmissionTest(t, noRunsLeft)
	in.reservations, in.link, in.self.DataCentre = map[string]reservation{}, plan.NewLink(0), "tvm"
	for range 2 {
		s := home.Submission{Batch: model.Batch{ID: "a", Queue: "quotes"}, TimeLeft: time.Second}
		s.Route = model.Route{Stretch: 2, Allowance: time.Second}
		in.Run(t.Context(), s)
	}
	want := []home.RequestID{{Origin: "entry", Incarnation: "1", Number: 1}, {Origin: "entry", Incarnation: "1", Number: 2}}
	if diff := cmp.Diff(want, a.submitted); diff != "" {
		t.Errorf("requests (-want +got):\n%s", diff)
	}
}

// Guards against a task that runs at two homes of one instance: its own report that runs are left counts as that of an
// incarnation that is lost, whose leases have expired.
func TestOwnRunsThatAreLeftAreWaitedFor(t *testing.T) {
	in, _ := newResubmissionTest(t, noRunsLeft)
	h := home.New(home.Options{DataCentre: "kochi", Token: 1, MaxLease: time.Second, Log: &in.log.Logger, OnFenced: func() {}})
	defer h.Close()
	in.localHomes["kochi"] = h
	in.leftRuns.Add([]string{"a"}, time.Now().Add(time.Minute))
	s := resubmitted("a")
	s.Age = home.LongOpenAge
	if err := in.supersedeUnannounced(t.Context(), resubmission{s, "kochi", time.Now(), map[openJobKey]bool{}}); err != nil {
		t.Fatal(err)
	}
	open := in.openJobs.OfOtherRequests("quotes", "a", s.RequestID())
	if len(open) != 1 || !in.isHeard(open[0].openJobKey) {
		t.Errorf("the runs are left at %v, want at this incarnation", open)
	}
}

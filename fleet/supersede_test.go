package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"foxtailmux/beat"
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
	other.Handle(methodSupersede, func(_ context.Context, params json.RawMessage) (any, error) {
		var r supersedeRequest
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
	for range 50 {
		if time.Sleep(10 * time.Millisecond); in.heartbeats.IsAlive("other") {
			break
		}
	}
	return in, a
}

// setHome records the home of a data centre as the store does.
func (l listener) setHome(dataCentre, instance string, version int64) {
	value := fmt.Sprintf(`{"instance":%q,"incarnation":"1"}`, instance)
	l.homeTable.ApplyWrite(table.Row{Key: homeKey(dataCentre), Value: []byte(value), Version: version})
}

// announce records a job of another request as a heartbeat of "other" announces it.
func (l listener) announce(id string, left time.Duration) {
	request := beat.HashRequest("first", "1", 1)
	l.onOpenJobs(beat.Heartbeat{Instance: "other", Incarnation: "1", Open: beat.OpenJobs{{Job: beat.HashJob(id), Request: request, Left: left}}})
}

// resubmit returns how long a job waited for its earlier submissions, and the error of that.
func (l listener) resubmit(t *testing.T, s home.Submission) (time.Duration, error) {
	since := time.Now()
	announced := l.openJobs.OfOtherRequests(s.Batch.ID, s.RequestID(), since)
	err := l.supersedeElsewhere(t.Context(), resubmission{s, "kochi", since}, announced)
	return time.Since(since), err
}

func resubmitted(id string) home.Submission {
	return home.Submission{Batch: model.Batch{ID: id}, Origin: "later", Incarnation: "1", Request: 1, TimeLeft: 3 * time.Second}
}

var (
	runsLeft   = supersedeResponse{RunsLeft: true}
	noRunsLeft = supersedeResponse{}
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
	if diff := cmp.Diff(true, a.requests[2].Certain && a.requests[2].By == resubmitted("a").RequestID()); diff != "" {
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
		"old, later one open": {old, supersedeResponse{LaterOpen: true}, errSuperseded, 1},
		"old, no response":    {old, errors.New("not now"), nil, 1},
	} {
		t.Run(name, func(t *testing.T) {
			in, a := newResubmissionTest(t, c.result)
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
	if diff := cmp.Diff(0, len(in.openJobs.OfOtherRequests("a", s.RequestID(), time.Now()))); diff != "" {
		t.Errorf("other requests (-want +got):\n%s", diff)
	}
}

// Guards against a caller that waits for longer than an earlier run can live: until its time is over where its home
// does not respond, and until the leases have expired where the store names a later home that has not started.
func TestResubmissionWaitsNoLongerThanAnEarlierRunCanLive(t *testing.T) {
	for name, c := range map[string]struct {
		left     time.Duration
		replaced bool
		want     time.Duration
	}{
		"home does not respond": {left: 400 * time.Millisecond, want: 400*time.Millisecond + leaseExpiryMargin},
		"home replaced":         {left: time.Minute, replaced: true, want: 300*time.Millisecond + leaseExpiryMargin},
	} {
		t.Run(name, func(t *testing.T) {
			in, _ := newResubmissionTest(t, errors.New("not now"))
			in.announce("a", c.left)
			if c.replaced {
				in.setHome("tvm", "third", 9)
				in.homeChangedAt["tvm"] = time.Now()
			}
			took, err := in.resubmit(t, resubmitted("a"))
			if err != nil {
				t.Error(err)
			}
			if took < c.want || took > c.want+500*time.Millisecond {
				t.Errorf("waited %v, want %v", took, c.want)
			}
		})
	}
}

// Guards against a task that runs at two homes: an instance that has just closed its home, whose runs the next one
// may continue, reports that none is left.
func TestRunsOfAClosedHomeAreLeftUntilTheirLeasesHaveExpired(t *testing.T) {
	in, _ := newResubmissionTest(t, noRunsLeft)
	in.homeClosedAt = time.Now()
	ask := func(certain bool) bool {
		r := supersedeRequest{SupersedeRequest: home.SupersedeRequest{Job: "a", Certain: certain}}
		return in.supersede(t.Context(), r, "").RunsLeft
	}
	got := []bool{ask(true), ask(false)}
	time.Sleep(in.settings.Platform.MaxLease + leaseExpiryMargin)
	got = append(got, ask(true))
	if diff := cmp.Diff([]bool{true, false, false}, got); diff != "" {
		t.Errorf("runs left (-want +got):\n%s", diff)
	}
}

// Guards against a home that learns of no job that an instance asks for: the next submission may come here.
func TestRequestForTheEndOfAJobAnnouncesIt(t *testing.T) {
	in, _ := newResubmissionTest(t, noRunsLeft)
	by := home.RequestID{Origin: "first", Incarnation: "1", Number: 1}
	params, err := json.Marshal(supersedeRequest{
		SupersedeRequest: home.SupersedeRequest{Job: "a", By: by}, Instance: "other", Incarnation: "1", Left: time.Second,
	})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := in.serveSupersede(t.Context(), params); err != nil {
		t.Fatal(err)
	}
	later := resubmitted("a").RequestID()
	if diff := cmp.Diff([]string{"other"}, instancesOf(in.openJobs.OfOtherRequests("a", later, time.Now()))); diff != "" {
		t.Errorf("open at (-want +got):\n%s", diff)
	}
	in.openJobs.RemoveExpired(time.Now().Add(time.Second))
	if diff := cmp.Diff(0, len(in.openJobs.byJob)); diff != "" {
		t.Errorf("announcements after the time of the job (-want +got):\n%s", diff)
	}
}

// Guards against a heartbeat that announces the oldest of many open jobs only, which earlier ones have announced.
func TestHeartbeatAnnouncesTheLatestOfManyOpenJobs(t *testing.T) {
	const jobs = maxAnnouncedJobs + 10
	in, _ := newResubmissionTest(t, noRunsLeft)
	h := home.New(home.Options{
		DataCentre: "kochi", Token: 1, MaxLease: time.Second, Link: plan.NewLink(0), Observer: in.meter, Log: &in.log.Logger, OnFenced: func() {},
	})
	defer h.Close()
	in.localHomes["kochi"] = h
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	for n := range jobs {
		s := resubmitted(fmt.Sprint("job", n))
		s.Batch.Steps, s.Request, s.Age = []model.Step{{Replicas: 1}}, int64(n), 2*time.Second-time.Duration(n)*time.Millisecond
		go h.Submit(ctx, s)
	}
	for range 100 {
		if time.Sleep(10 * time.Millisecond); len(h.LongOpenJobs()) == jobs {
			break
		}
	}
	got, want := map[uint32]bool{}, map[uint32]bool{}
	for _, j := range in.ownHeartbeat().Open {
		got[j.Job] = true
	}
	for n := range maxAnnouncedJobs {
		want[beat.HashJob(fmt.Sprint("job", jobs-1-n))] = true
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("announced (-want +got):\n%s", diff)
	}
}

package fleet

import (
	"encoding/json"
	"errors"
	"io"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/phuslu/log"

	"foxtailmux/beat"
	"foxtailmux/home"
	"foxtailmux/lease"
	"foxtailmux/meter"
	"foxtailmux/model"
	"foxtailmux/plan"
	"foxtailmux/table"
	"foxtailmux/watch"
)

// recordingWorker is an endpoint that records its starts.
type recordingWorker struct {
	home.Endpoint
	starts []lease.Start
	err    error
}

// Start records a start.
func (r *recordingWorker) Start(s lease.Start, _ time.Duration) (lease.Reply, error) {
	r.starts = append(r.starts, s)
	return lease.Reply{Clock: 7}, r.err
}

// oneWorker is an adapter that returns the same endpoint for all workers.
type oneWorker struct {
	Adapter
	worker *recordingWorker
}

// NewEndpoint returns the recording worker.
func (a oneWorker) NewEndpoint(model.Worker, EndpointOptions) home.Endpoint { return a.worker }

const laterToken = 20

// newOrigin returns an instance whose cache of the homes table records a home of the data
// centre kochi with laterToken.
func newOrigin(w *recordingWorker) *Instance {
	in := &Instance{
		self: beat.Peer{Instance: "entry", DataCentre: "kochi"}, adapter: oneWorker{worker: w},
		link: plan.NewLink(0), meter: meter.New("entry", "kochi"),
		keptSpecs: map[home.Key]*keptSpec{}, workerClients: map[string]*workerClient{},
	}
	in.homeTable = watch.New(homesTableName, nil, nil, func([]table.Row) {}, &log.Logger{Writer: log.IOWriter{Writer: io.Discard}})
	in.homeTable.ApplyWrite(table.Row{Key: homeKey("kochi"), Value: []byte(`{"instance":"later"}`), Version: laterToken})
	return in
}

func requestStart(t *testing.T, in *Instance, job string, token int64) startResponse {
	t.Helper()
	params, err := json.Marshal(startRequest{
		Job: home.Key{ID: job}, DataCentre: "kochi", Worker: "w", Addr: "a", Timeout: time.Second,
		Start: lease.Start{Task: job + ".0.0.0", Run: 3, Until: 99, Token: token, Incarnation: 4, Earliest: 5},
	})
	if err != nil {
		t.Fatal(err)
	}
	resp, err := in.serveStart(t.Context(), params)
	if err != nil {
		t.Fatal(err)
	}
	return resp.(startResponse)
}

// Around a takeover an earlier home may still send start requests, and the job of a request
// may have been removed.
func TestOriginStartsOnlyItsJobsForTheCurrentHome(t *testing.T) {
	w := &recordingWorker{}
	in := newOrigin(w)
	s := home.Submission{Batch: model.Batch{ID: "j", Spec: "what to run"}}
	first, second := in.keepSpec(s), in.keepSpec(s)
	got := []startResponse{requestStart(t, in, "j", laterToken-1), requestStart(t, in, "other", laterToken), requestStart(t, in, "j", laterToken)}
	first()
	got = append(got, requestStart(t, in, "j", laterToken+1))
	second()
	got = append(got, requestStart(t, in, "j", laterToken+1))

	want := []startResponse{
		{Reply: lease.Reply{Refusal: lease.Fenced}},
		{JobRemoved: true},
		{Reply: lease.Reply{Clock: 7}},
		{Reply: lease.Reply{Clock: 7}},
		{JobRemoved: true},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	sent := []lease.Start{
		{Task: "j.0.0.0", Run: 3, Spec: "what to run", Until: 99, Token: laterToken, Incarnation: 4, Earliest: 5},
		{Task: "j.0.0.0", Run: 3, Spec: "what to run", Until: 99, Token: laterToken + 1, Incarnation: 4, Earliest: 5},
	}
	if diff := cmp.Diff(sent, w.starts); diff != "" {
		t.Error(diff)
	}
}

// Guards against a start that reaches a worker after its restart: a home of an earlier version names no incarnation, so that
// nothing tied its starts to one.
func TestOriginBindsTheStartsOfAHomeThatNamesNoIncarnation(t *testing.T) {
	w := &recordingWorker{}
	in := newOrigin(w)
	in.keepSpec(home.Submission{Batch: model.Batch{ID: "j", Spec: "x"}})
	in.knownWorkers = map[string]model.Worker{"w": {ID: "w", Incarnation: 4}}
	params := []byte(`{"job":{"id":"j"},"dataCentre":"kochi","worker":"w","addr":"a","start":{"task":"j.0.0.0","run":3,"until":99,"token":20},"timeout":30000000}`)
	if _, err := in.serveStart(t.Context(), params); err != nil {
		t.Fatal(err)
	}
	sent := []lease.Start{{Task: "j.0.0.0", Run: 3, Spec: "x", Until: 99, Token: laterToken, Incarnation: 4}}
	if diff := cmp.Diff(sent, w.starts); diff != "" {
		t.Error(diff)
	}
}

// unsentError is the failure of a start that was not sent.
type unsentError struct{ error }

// Sent reports that the start was not sent.
func (unsentError) Sent() bool { return false }

// connectingError is the failure of a start for which no connection was ready in time.
type connectingError struct{ unsentError }

// Connecting reports that no connection was ready.
func (connectingError) Connecting() bool { return true }

func TestOriginReportsWhetherAStartMayHaveArrived(t *testing.T) {
	cases := []struct {
		err  error
		want startResponse
	}{
		{errors.New("no answer"), startResponse{Problem: "no answer", Sent: true}},
		{unsentError{errors.New("no connection")}, startResponse{Problem: "no connection"}},
		{connectingError{unsentError{errors.New("later")}}, startResponse{Problem: "later", Connecting: true}},
	}
	for _, c := range cases {
		in := newOrigin(&recordingWorker{err: c.err})
		release := in.keepSpec(home.Submission{Batch: model.Batch{ID: "j", Spec: "x"}})
		if diff := cmp.Diff(c.want, requestStart(t, in, "j", laterToken)); diff != "" {
			t.Error(diff)
		}
		release()
	}
}

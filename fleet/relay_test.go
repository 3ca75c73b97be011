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

// recorder is a worker that notes its starts.
type recorder struct {
	home.Endpoint
	starts []lease.Start
	err    error
}

// Start notes a start.
func (r *recorder) Start(s lease.Start, _ time.Duration) (lease.Reply, error) {
	r.starts = append(r.starts, s)
	return lease.Reply{Clock: 7}, r.err
}

// oneWorker is an adapter whose workers are all the same recorder.
type oneWorker struct {
	Adapter
	worker *recorder
}

// NewEndpoint returns the recorder.
func (a oneWorker) NewEndpoint(model.Worker, EndpointOptions) home.Endpoint { return a.worker }

const laterToken = 20

// originOf returns an instance that knows of a home of kochi with the token.
func originOf(w *recorder) *Instance {
	f := &Instance{
		self: beat.Peer{Instance: "entry", DataCentre: "kochi"}, adapter: oneWorker{worker: w},
		link: plan.NewLink(0), meter: meter.New("entry", "kochi"),
		withheld: map[string]*withheld{}, starters: map[string]*starter{},
	}
	f.homes = watch.New(homesTable, nil, nil, func([]table.Row) {}, &log.Logger{Writer: log.IOWriter{Writer: io.Discard}})
	f.homes.ApplyWrite(table.Row{Key: homeKey("kochi"), Value: []byte(`{"instance":"later"}`), Version: laterToken})
	return f
}

func ask(t *testing.T, f *Instance, job string, token int64) startAnswer {
	t.Helper()
	params, err := json.Marshal(startRequest{
		Job: job, DataCentre: "kochi", Worker: "w", Addr: "a", Timeout: time.Second,
		Start: lease.Start{Task: job + ".0.0.0", Run: 3, Until: 99, Token: token},
	})
	if err != nil {
		t.Fatal(err)
	}
	a, err := f.serveStart(t.Context(), params)
	if err != nil {
		t.Fatal(err)
	}
	return a.(startAnswer)
}

// Around a hand-over the earlier home may still ask for starts, and a job may be gone.
func TestOriginStartsOnlyWhatItHasForTheHomeThatItKnows(t *testing.T) {
	w := &recorder{}
	f := originOf(w)
	s := home.Submission{Batch: model.Batch{ID: "j", Spec: "what to run"}}
	first, second := f.withhold(s), f.withhold(s)
	got := []startAnswer{ask(t, f, "j", laterToken-1), ask(t, f, "other", laterToken), ask(t, f, "j", laterToken)}
	first()
	got = append(got, ask(t, f, "j", laterToken+1))
	second()
	got = append(got, ask(t, f, "j", laterToken+1))

	want := []startAnswer{
		{Reply: lease.Reply{Refusal: lease.Fenced}},
		{Gone: true},
		{Reply: lease.Reply{Clock: 7}},
		{Reply: lease.Reply{Clock: 7}},
		{Gone: true},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	sent := []lease.Start{
		{Task: "j.0.0.0", Run: 3, Spec: "what to run", Until: 99, Token: laterToken},
		{Task: "j.0.0.0", Run: 3, Spec: "what to run", Until: 99, Token: laterToken + 1},
	}
	if diff := cmp.Diff(sent, w.starts); diff != "" {
		t.Error(diff)
	}
}

// unsentError is the failure of a start that did not leave.
type unsentError struct{ error }

// Sent reports that nothing left.
func (unsentError) Sent() bool { return false }

func TestOriginTellsWhetherAStartMayHaveArrived(t *testing.T) {
	cases := []struct {
		err  error
		want startAnswer
	}{
		{errors.New("no answer"), startAnswer{Problem: "no answer", Sent: true}},
		{unsentError{errors.New("no connection")}, startAnswer{Problem: "no connection"}},
	}
	for _, c := range cases {
		f := originOf(&recorder{err: c.err})
		release := f.withhold(home.Submission{Batch: model.Batch{ID: "j", Spec: "x"}})
		if diff := cmp.Diff(c.want, ask(t, f, "j", laterToken)); diff != "" {
			t.Error(diff)
		}
		release()
	}
}

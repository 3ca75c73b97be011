package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"foxtailmux/home"
	"foxtailmux/lease"
	"foxtailmux/model"
	"foxtailmux/plan"
)

const (
	// jobBytes is what a job takes on the wire beside its specification.
	jobBytes = 700

	// relaySlack is how long a home waits for an instance that starts a task for it,
	// beyond the time-out of the worker: the process may run late.
	relaySlack = 150 * time.Millisecond

	// starterIdle is how long a client of a worker is kept after its last start; its
	// connections are closed sooner.
	starterIdle = 20 * time.Second
)

// linkKey is an instance with the bandwidth that it registered with.
type linkKey struct {
	instance string
	megabits float64
}

// withheld is a specification that stays here while a home elsewhere runs its job.
type withheld struct {
	spec  string
	calls int // in progress for the job
}

// starter is a client of a worker that a home elsewhere runs tasks on.
type starter struct {
	endpoint home.Endpoint
	usedAt   time.Time
}

// startRequest asks the instance that holds a job's caller to start a task.
type startRequest struct {
	Job        string        `json:"job"`
	DataCentre string        `json:"dataCentre"`
	Worker     string        `json:"worker"`
	Addr       string        `json:"addr"`
	Start      lease.Start   `json:"start"`
	Timeout    time.Duration `json:"timeout"`
}

// startAnswer is how the worker answered. Problem is set if it did not.
type startAnswer struct {
	Reply   lease.Reply `json:"reply"`
	Problem string      `json:"problem,omitempty"`
	Sent    bool        `json:"sent,omitempty"` // it may have got the start
	Gone    bool        `json:"gone,omitempty"` // the job is not here
}

// workerError is the failure of a worker to answer a start that another instance sent.
type workerError struct {
	problem string
	sent    bool
}

// Error returns what the other instance told.
func (e *workerError) Error() string { return e.problem }

// Sent reports whether the worker may have got the start.
func (e *workerError) Sent() bool { return e.sent }

// withholds reports whether a job goes to a home without its specification.
func (f *Instance) withholds(owner, dataCentre string, s home.Submission) bool {
	if dataCentre != f.self.DataCentre || s.Batch.Spec == "" {
		return false
	}
	tasks := s.Batch.Tasks()
	if s.Part != nil {
		tasks = s.Part.Count
	}
	return plan.KeepSpecAtOrigin(f.link, f.linkOf(owner), len(s.Batch.Spec), home.RequestBytes, tasks)
}

// withhold keeps the specification of a job until the function is called.
func (f *Instance) withhold(s home.Submission) (release func()) {
	key := s.Key()
	f.mu.Lock()
	defer f.mu.Unlock()
	k := f.withheld[key]
	if k == nil {
		k = &withheld{spec: s.Batch.Spec}
		f.withheld[key] = k
	}
	k.calls++
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if k.calls--; k.calls == 0 {
			delete(f.withheld, key)
		}
	}
}

// linkOf returns what is known of the link of another instance.
func (f *Instance) linkOf(instance string) *plan.Link {
	key := linkKey{instance, f.beats.Peer(instance).LinkMbps}
	f.mu.Lock()
	defer f.mu.Unlock()
	l := f.links[key]
	if l == nil {
		l = plan.NewLink(key.megabits)
		f.links[key] = l
	}
	return l
}

// relay returns how the origin of a job starts its tasks for a home here.
func (f *Instance) relay(r runRequest) *home.OriginStarter {
	origin, job := r.Job.Origin, r.Job.Key()
	return &home.OriginStarter{
		Link: f.linkOf(origin),
		Start: func(w model.Worker, s lease.Start, timeout time.Duration) (lease.Reply, error) {
			return f.startAt(origin, startRequest{
				Job: job, DataCentre: r.DataCentre, Worker: w.ID, Addr: w.Addr, Start: s, Timeout: timeout,
			})
		},
	}
}

func (f *Instance) startAt(origin string, r startRequest) (lease.Reply, error) {
	const op = "start by the origin"
	ctx, cancel := context.WithTimeout(f.ctx, r.Timeout+relaySlack)
	defer cancel()
	var a startAnswer
	err := f.peers.Call(ctx, origin, methodStart, r, &a)
	switch {
	case err != nil:
		return lease.Reply{}, &home.OriginError{Op: op, Err: err}
	case a.Gone:
		return lease.Reply{}, &home.OriginError{Op: op, JobUnknown: true, Err: eris.New("the job is not there")}
	case a.Problem != "":
		return lease.Reply{}, &workerError{problem: a.Problem, sent: a.Sent}
	}
	return a.Reply, nil
}

// serveStart starts a task of a job whose caller is here. An order of a home that has a
// successor is refused as the worker itself would.
func (f *Instance) serveStart(_ context.Context, params json.RawMessage) (any, error) {
	var r startRequest
	if err := json.Unmarshal(params, &r); err != nil {
		return nil, eris.Wrap(err, "decode start")
	}
	if _, token := f.homeOf(r.DataCentre); r.Start.Token < token {
		return startAnswer{Reply: lease.Reply{Refusal: lease.Fenced}}, nil
	}
	endpoint, spec, ok := f.starterFor(r)
	if !ok {
		return startAnswer{Gone: true}, nil
	}

	r.Start.Spec = spec
	queued := f.link.RecordSend(home.RequestBytes+len(spec), time.Now())
	reply, err := endpoint.Start(r.Start, max(r.Timeout, queued))
	if err != nil {
		var told interface{ Sent() bool }
		return startAnswer{Problem: err.Error(), Sent: !errors.As(err, &told) || told.Sent()}, nil
	}
	return startAnswer{Reply: reply}, nil
}

// starterFor returns the client of a worker and the specification of a job that is here.
func (f *Instance) starterFor(r startRequest) (home.Endpoint, string, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	k := f.withheld[r.Job]
	if k == nil {
		return nil, "", false
	}
	key := r.Worker + "@" + r.Addr
	s := f.starters[key]
	if s == nil {
		s = &starter{endpoint: f.connect(model.Worker{ID: r.Worker, Addr: r.Addr}, nil)}
		f.starters[key] = s
	}
	s.usedAt = time.Now()
	return s.endpoint, k.spec, true
}

// closeIdleStarters drops the clients of workers that were not used for a while.
func (f *Instance) closeIdleStarters() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for key, s := range f.starters {
		if time.Since(s.usedAt) > starterIdle {
			s.endpoint.Close()
			delete(f.starters, key)
		}
	}
}

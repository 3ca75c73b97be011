package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"foxtailmux/drain"
	"foxtailmux/home"
	"foxtailmux/lease"
	"foxtailmux/model"
	"foxtailmux/plan"
)

const (
	// jobOverheadBytes is the size of a job on the wire without its specification.
	jobOverheadBytes = 700

	// originStartSlack is how much longer than the timeout of the worker a home waits for
	// an origin that starts a task: the process of the origin may be scheduled late.
	originStartSlack = 150 * time.Millisecond

	// clientIdleTime is how long a client of a worker is kept after its last start; its
	// connections are closed sooner.
	clientIdleTime = 20 * time.Second
)

// linkKey identifies the link of an instance: a changed bandwidth gives a new link.
type linkKey struct {
	instance string
	mbps     float64
}

// keptSpec is a specification that stays at the origin while another instance runs the
// job.
type keptSpec struct {
	spec  string
	calls int // number of forwards in progress for the job
}

// workerClient is a client of a worker on which a home of another instance runs tasks.
type workerClient struct {
	endpoint home.Endpoint
	usedAt   time.Time
}

// startRequest asks the origin of a job to start a task for its home. Used on
// low-bandwidth links, so that the specification of a job does not cross the link of the
// home once for each task.
type startRequest struct {
	Job        home.Key      `json:"job"`
	DataCentre string        `json:"dataCentre"`
	Worker     string        `json:"worker"`
	Addr       string        `json:"addr"`
	Start      lease.Start   `json:"start"`
	Timeout    time.Duration `json:"timeout"`

	DrainVersion int64 `json:"drainVersion,omitempty"` // of the requests to drain data centres that the home has
}

// startResponse holds the response of the worker. Problem is set if the worker gave none, and Drains
// if the start was not sent since the data centre is drained.
type startResponse struct {
	Reply      lease.Reply `json:"reply"`
	Problem    string      `json:"problem,omitempty"`
	Sent       bool        `json:"sent,omitempty"`       // the worker may have received the start
	Connecting bool        `json:"connecting,omitempty"` // no connection to the worker was ready in time
	JobRemoved bool        `json:"gone,omitempty"`       // the job is no longer at its origin
	Drains     *drain.Set  `json:"drains,omitempty"`
}

// workerError reports that an origin got no response from a worker to a start.
type workerError struct {
	problem    string
	sent       bool
	connecting bool
}

// Error returns the error text from the origin.
func (e *workerError) Error() string { return e.problem }

// Sent reports whether the worker may have received the start.
func (e *workerError) Sent() bool { return e.sent }

// Connecting reports whether the start was not sent since no connection to the worker was ready in time.
func (e *workerError) Connecting() bool { return e.connecting }

// keepsSpec reports whether a job is sent to a home without its specification.
func (in *Instance) keepsSpec(owner, dataCentre string, s home.Submission) bool {
	if dataCentre != in.self.DataCentre || s.Batch.Spec == "" {
		return false
	}
	tasks := s.Batch.Tasks()
	if s.Part != nil {
		tasks = s.Part.Count
	}
	return plan.KeepSpecAtOrigin(in.link, in.linkOf(owner), len(s.Batch.Spec), home.RequestBytes, tasks)
}

// keepSpec keeps the specification of a job until release of the last forward that is in
// progress for the job is called.
func (in *Instance) keepSpec(s home.Submission) (release func()) {
	key := s.Key()
	in.mu.Lock()
	defer in.mu.Unlock()
	k := in.keptSpecs[key]
	if k == nil {
		k = &keptSpec{spec: s.Batch.Spec}
		in.keptSpecs[key] = k
	}
	k.calls++
	return func() {
		in.mu.Lock()
		defer in.mu.Unlock()
		if k.calls--; k.calls == 0 {
			delete(in.keptSpecs, key)
		}
	}
}

// linkOf returns the link of another instance.
func (in *Instance) linkOf(instance string) *plan.Link {
	key := linkKey{instance, in.heartbeats.Peer(instance).LinkMbps}
	in.mu.Lock()
	defer in.mu.Unlock()
	l := in.links[key]
	if l == nil {
		l = plan.NewLink(key.mbps)
		in.links[key] = l
	}
	return l
}

// originStarter returns the link of a job's origin and the function by which a home of this
// instance has a task of the job started by the origin.
func (in *Instance) originStarter(r runRequest) *home.OriginStarter {
	origin, job := r.Job.Origin, r.Job.Key()
	return &home.OriginStarter{
		Link: in.linkOf(origin),
		Start: func(w model.Worker, s lease.Start, timeout time.Duration) (lease.Reply, error) {
			return in.startByOrigin(origin, startRequest{
				Job: job, DataCentre: r.DataCentre, Worker: w.ID, Addr: w.Addr, Start: s, Timeout: timeout,
			})
		},
	}
}

// startByOrigin has the origin of a job start a task of it.
func (in *Instance) startByOrigin(origin string, r startRequest) (lease.Reply, error) {
	const op = "start by the origin"
	ctx, cancel := context.WithTimeout(in.ctx, r.Timeout+originStartSlack)
	defer cancel()
	r.DrainVersion = in.drains.Load().Version()
	var resp startResponse
	err := in.peers.Call(ctx, origin, methodStart, r, &resp)
	switch {
	case err != nil:
		return lease.Reply{}, &home.OriginError{Op: op, Err: err}
	case resp.JobRemoved:
		return lease.Reply{}, &home.OriginError{Op: op, JobUnknown: true, Err: eris.New("the job is not there")}
	case resp.Problem != "":
		return lease.Reply{}, &workerError{resp.Problem, resp.Sent, resp.Connecting}
	}
	if resp.Drains != nil {
		in.applyDrains(*resp.Drains, "peer "+origin, false) // before the home starts the task again
	}
	return resp.Reply, nil
}

// serveStart starts a task of a job whose origin is this instance. The request of a home
// that has a successor is refused, as the worker itself would refuse it.
func (in *Instance) serveStart(_ context.Context, params json.RawMessage) (any, error) {
	var r startRequest
	if err := json.Unmarshal(params, &r); err != nil {
		return nil, eris.Wrap(err, "decode start")
	}
	if _, token := in.homeOf(r.DataCentre); r.Start.Token < token {
		return startResponse{Reply: lease.Reply{Refusal: lease.Fenced}}, nil
	}
	if drains := in.declineStart(r); drains != nil {
		return startResponse{Reply: lease.Reply{Refusal: lease.Late}, Drains: drains}, nil
	}
	endpoint, spec, ok := in.clientAndKeptSpec(r)
	if !ok {
		return startResponse{JobRemoved: true}, nil
	}
	if r.Start.Incarnation == 0 { // homes of earlier versions name none
		r.Start.Incarnation = in.describedIncarnation(r.Worker)
	}

	r.Start.Spec = spec
	queued := in.link.RecordSend(home.RequestBytes+len(spec), time.Now())
	reply, err := endpoint.Start(r.Start, max(r.Timeout, queued))
	if err != nil {
		var delivery interface{ Sent() bool }
		var connection interface{ Connecting() bool }
		return startResponse{
			Problem:    err.Error(),
			Sent:       !errors.As(err, &delivery) || delivery.Sent(),
			Connecting: errors.As(err, &connection) && connection.Connecting(),
		}, nil
	}
	return startResponse{Reply: reply}, nil
}

// describedIncarnation returns the incarnation that a worker's row describes, 0 if there is no row.
func (in *Instance) describedIncarnation(worker string) int64 {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.knownWorkers[worker].Incarnation
}

// clientAndKeptSpec returns the client of a worker and the specification of a job, and
// false if the job is not here.
func (in *Instance) clientAndKeptSpec(r startRequest) (home.Endpoint, string, bool) {
	in.mu.Lock()
	defer in.mu.Unlock()
	k := in.keptSpecs[r.Job]
	if k == nil {
		return nil, "", false
	}
	key := r.Worker + "@" + r.Addr
	c := in.workerClients[key]
	if c == nil {
		c = &workerClient{endpoint: in.connect(model.Worker{ID: r.Worker, Addr: r.Addr}, nil)}
		in.workerClients[key] = c
	}
	c.usedAt = time.Now()
	return c.endpoint, k.spec, true
}

// closeIdleClients closes the clients of workers that were not used for clientIdleTime.
func (in *Instance) closeIdleClients() {
	in.mu.Lock()
	defer in.mu.Unlock()
	for key, c := range in.workerClients {
		if time.Since(c.usedAt) > clientIdleTime {
			c.endpoint.Close()
			delete(in.workerClients, key)
		}
	}
}

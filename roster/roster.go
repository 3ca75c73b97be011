package roster

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"

	"foxtailmux/config"
	"foxtailmux/model"
	"foxtailmux/worker"
)

// minProbePeriod is the minimum time between two status requests to workers. It
// limits the control traffic of an instance.
const minProbePeriod = 2 * time.Second

// Source reads the platform's list of workers and entry instances.
type Source interface {
	Instances(ctx context.Context) (model.InstanceList, error)
}

// Scheduler receives the list of workers and which of them are leaving.
// NoResponseSince returns the workers to probe.
type Scheduler interface {
	UpdateWorkers(list []model.Worker)
	SetLeaving(workerID string)
	NoResponseSince(since time.Time) []ProbeTarget
	CloseIdleConnections()
}

// ProbeTarget is a worker without a recent response, with the client to probe it.
type ProbeTarget struct {
	ID     string
	Client *worker.Client
}

// Options are the dependencies of a Roster. OnEntries is called with the entry
// instances of each accepted list.
type Options struct {
	Source    Source
	Scheduler Scheduler
	Intervals func() config.Intervals
	OnEntries func([]model.Entry)

	// OnProbeBytes is called after each probe of a worker with the bytes that
	// status requests to it took since the last call, sent and received.
	OnProbeBytes func(n int)
}

// State is the roster's part of the state dump of the process. LastError is the
// error of the last read of the list, empty if it succeeded.
type State struct {
	Workers     int       `json:"workers"`
	LastSuccess time.Time `json:"lastSuccess"`
	LastError   string    `json:"lastError,omitempty"`
}

// Roster polls the platform's list and probes workers until it is stopped.
type Roster struct {
	options Options

	mu    sync.Mutex
	state State

	lastProbe map[string]time.Time // of the workers without a recent response, by ID; used by probeWorkers only

	cancel context.CancelFunc
	done   chan struct{}
}

// New returns a roster that is not running yet.
func New(o Options) *Roster {
	return &Roster{options: o, done: make(chan struct{})}
}

// Start starts the polling and returns nil. The list is read at once; a failed
// read is recorded in the state and repeated after the poll interval.
func (r *Roster) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel

	var loops conc.WaitGroup
	loops.Go(func() { r.pollList(ctx) })
	loops.Go(func() { r.probeWorkers(ctx) })

	go func() {
		defer close(r.done)
		loops.Wait()
	}()
	return nil
}

// Stop ends the polling.
func (r *Roster) Stop(context.Context) error {
	r.cancel()
	return nil
}

// Done returns a channel that is closed when the polling has ended.
func (r *Roster) Done() <-chan struct{} { return r.done }

// State returns the size and time of the last list that was accepted, and the
// error of the last read.
func (r *Roster) State() State {
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.state
}

func (r *Roster) pollList(ctx context.Context) {
	for {
		r.readList(ctx)

		select {
		case <-time.After(r.options.Intervals().ListPoll):
		case <-ctx.Done():
			return
		}
	}
}

func (r *Roster) readList(ctx context.Context) {
	list, err := r.options.Source.Instances(ctx)
	if err == nil {
		err = r.applyList(list)
	}

	r.mu.Lock()
	defer r.mu.Unlock()

	if err != nil {
		r.state.LastError = err.Error()
		return
	}
	r.state = State{Workers: len(list.Workers), LastSuccess: time.Now()}
}

// applyList passes a list on to the scheduler and the entry instances. A list
// without workers after one with workers is rejected as a fault of the platform.
func (r *Roster) applyList(list model.InstanceList) error {
	if len(list.Workers) == 0 && r.State().Workers > 0 {
		err := eris.New("the list has no workers, the last one is kept")
		return &Error{Op: "read list", Kind: KindEmpty, Err: err}
	}

	r.options.Scheduler.UpdateWorkers(list.Workers)
	r.options.OnEntries(list.Entries)
	return nil
}

// probeWorkers requests the status of one worker without a recent response each
// period, so that a leaving worker is noticed before the list shows it. A worker
// that gets a start request after a time without one is probed at that time, by
// its client.
func (r *Roster) probeWorkers(ctx context.Context) {
	for {
		period := max(r.options.Intervals().StatusPoll, minProbePeriod)
		select {
		case <-time.After(period):
		case <-ctx.Done():
			return
		}

		if t, ok := r.nextTarget(r.options.Scheduler.NoResponseSince(time.Now().Add(-period))); ok {
			r.probe(ctx, t)
		}
		r.options.Scheduler.CloseIdleConnections()
	}
}

// nextTarget returns the target whose last probe is the oldest.
func (r *Roster) nextTarget(targets []ProbeTarget) (next ProbeTarget, ok bool) {
	lastProbe := make(map[string]time.Time, len(targets))
	for _, t := range targets {
		lastProbe[t.ID] = r.lastProbe[t.ID]
		if !ok || lastProbe[t.ID].Before(lastProbe[next.ID]) {
			next, ok = t, true
		}
	}

	if ok {
		lastProbe[next.ID] = time.Now()
	}
	r.lastProbe = lastProbe
	return next, ok
}

func (r *Roster) probe(ctx context.Context, t ProbeTarget) {
	status, err := t.Client.Status(ctx)
	r.options.OnProbeBytes(t.Client.TakeStatusBytes())
	if err == nil && status.Leaving {
		r.options.Scheduler.SetLeaving(t.ID)
	}
}

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

// minProbePeriod is the shortest time between two status requests, which are
// part of the control traffic of an instance.
const minProbePeriod = 2 * time.Second

// Source reads the platform's list.
type Source interface {
	Instances(ctx context.Context) (model.InstanceList, error)
}

// Scheduler takes the workers and what is learnt of them.
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

// Options are what a roster needs. OnEntries takes the entry instances of
// each list that is believed.
type Options struct {
	Source    Source
	Scheduler Scheduler
	Intervals func() config.Intervals
	OnEntries func([]model.Entry)

	// OnProbeBytes is called after each probe of a worker with the bytes that
	// status requests to it took since the last call, sent and received.
	OnProbeBytes func(n int)
}

// State is what a dump of the process shows of the roster.
type State struct {
	Workers     int       `json:"workers"`
	LastSuccess time.Time `json:"lastSuccess"`
	LastError   string    `json:"lastError,omitempty"`
}

// Roster polls the list and the workers until it is stopped.
type Roster struct {
	options Options

	mu    sync.Mutex
	state State

	probed map[string]time.Time // of the quiet workers, by the polling goroutine

	cancel context.CancelFunc
	done   chan struct{}
}

// New returns a roster that is not yet running.
func New(o Options) *Roster {
	return &Roster{options: o, done: make(chan struct{})}
}

// Start begins to poll. The first list is asked for at once; a platform that
// does not answer is no failure.
func (r *Roster) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel

	var loops conc.WaitGroup
	loops.Go(func() { r.pollList(ctx) })
	loops.Go(func() { r.pollWorkers(ctx) })

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

// Done is closed when the polling has ended.
func (r *Roster) Done() <-chan struct{} { return r.done }

// State returns when the list was last read and why it was not.
func (r *Roster) State() State {
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.state
}

func (r *Roster) pollList(ctx context.Context) {
	for {
		r.refresh(ctx)

		select {
		case <-time.After(r.options.Intervals().ListPoll):
		case <-ctx.Done():
			return
		}
	}
}

func (r *Roster) refresh(ctx context.Context) {
	list, err := r.options.Source.Instances(ctx)
	if err == nil {
		err = r.accept(list)
	}

	r.mu.Lock()
	defer r.mu.Unlock()

	if err != nil {
		r.state.LastError = err.Error()
		return
	}
	r.state = State{Workers: len(list.Workers), LastSuccess: time.Now()}
}

// accept hands a list on unless it is suddenly empty.
func (r *Roster) accept(list model.InstanceList) error {
	if len(list.Workers) == 0 && r.State().Workers > 0 {
		err := eris.New("the list has no workers, the last one is kept")
		return &Error{Op: "read list", Kind: KindEmpty, Err: err}
	}

	r.options.Scheduler.UpdateWorkers(list.Workers)
	r.options.OnEntries(list.Entries)
	return nil
}

// pollWorkers asks a quiet worker each period whether it is leaving, so that
// this is known without the list. A worker that is about to get a start after
// a quiet time is asked then.
func (r *Roster) pollWorkers(ctx context.Context) {
	for {
		period := max(r.options.Intervals().StatusPoll, minProbePeriod)
		select {
		case <-time.After(period):
		case <-ctx.Done():
			return
		}

		if p, ok := r.nextProbe(r.options.Scheduler.NoResponseSince(time.Now().Add(-period))); ok {
			r.probeOne(ctx, p)
		}
		r.options.Scheduler.CloseIdleConnections()
	}
}

// nextProbe returns the quiet worker that was asked the longest time ago.
func (r *Roster) nextProbe(quiet []ProbeTarget) (next ProbeTarget, ok bool) {
	probed := make(map[string]time.Time, len(quiet))
	for _, p := range quiet {
		probed[p.ID] = r.probed[p.ID]
		if !ok || probed[p.ID].Before(probed[next.ID]) {
			next, ok = p, true
		}
	}

	if ok {
		probed[next.ID] = time.Now()
	}
	r.probed = probed
	return next, ok
}

func (r *Roster) probeOne(ctx context.Context, p ProbeTarget) {
	status, err := p.Client.Status(ctx)
	r.options.OnProbeBytes(p.Client.TakeStatusBytes())
	if err == nil && status.Leaving {
		r.options.Scheduler.SetLeaving(p.ID)
	}
}

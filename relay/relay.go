package relay

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"

	"foxtailmux/kernel"
	"foxtailmux/model"
	"foxtailmux/queue"
)

const (
	// cancelTimeout is the timeout of the call that cancels a forwarded batch.
	cancelTimeout = time.Second

	// cancelGrace is how long the call of a cancelled batch stays open, so that
	// the peer can reply which tasks ran.
	cancelGrace = 500 * time.Millisecond
)

// Scheduler starts tasks on the workers of this instance.
type Scheduler interface {
	Submit(j *queue.Job) error
	NeverFits(pool string, needs model.Resources) bool
	Load() model.Load

	// PoolLoad returns the part of Load that concerns one pool. SlotsByOwner
	// returns the number of slots of a pool's workers by the ID of the entry
	// instance that owns the workers.
	PoolLoad(pool string) model.Load
	SlotsByOwner(pool string) map[string]int

	// TakeForwardable removes up to max waiting tasks of a pool that may be
	// forwarded, beginning with those that would wait longest. They are
	// returned in copies of their jobs.
	TakeForwardable(pool string, max int) []*queue.Job
}

// Peers gives access to the other entry instances: Alive returns those that tasks
// may be forwarded to, Call sends a request to one of them.
type Peers interface {
	Alive() []Peer
	Call(ctx context.Context, peerID, method string, params, result any) error
}

// Observer counts forwards by their outcome ("answered", "notSent" or "unknown") and
// messages by their purpose ("needed" or "wasted") and kind, for metrics.
type Observer interface {
	Forwarded(outcome string)
	Message(purpose, kind string)
}

// Relay submits the tasks of a job to the local scheduler or forwards them to
// peers. SpillOver reports whether the configuration allows forwarding jobs to
// other data centres.
type Relay struct {
	DataCentre string
	Local      Scheduler
	Peers      Peers
	Observer   Observer
	SpillOver  func() bool

	peerLoads peerLoads

	mu        sync.Mutex
	cancels   map[string]map[int]context.CancelFunc // of the batches from peers, by job ID and batch number
	lastBatch int

	forwards conc.WaitGroup
}

// NeverFits reports whether the pool has workers and all of them, in all data
// centres, are too small for the needs even when idle.
func (r *Relay) NeverFits(pool string, needs model.Resources) bool {
	return r.Local.NeverFits(pool, needs)
}

// Submit distributes the items of a job. If it returns nil, Deliver of every item
// is called exactly once; if it returns an error, the job was refused and Deliver
// is never called.
func (r *Relay) Submit(j *queue.Job) error {
	self, peers := r.targets(j.Pool)
	distribute(j.Items, self, peers)

	// The local part is submitted first: if it is refused, the whole job is,
	// and then no task may have been forwarded.
	if err := r.submitLocally(j, self); err != nil {
		return r.spillOver(j, err)
	}
	for _, p := range peers {
		if len(p.items) > 0 {
			r.forward(j, p.id, p.items)
		}
	}
	r.rebalance(j.Pool)
	return nil
}

// rebalance forwards waiting tasks of a pool to the peers with free slots. It
// covers the case that slots of a peer became free after the tasks were queued
// here.
func (r *Relay) rebalance(pool string) {
	if r.Local.PoolLoad(pool).QueuedTasks == 0 {
		return
	}

	self, peers := r.targets(pool)
	for best := leastLoaded(peers); best != nil && best.hasFreeSlot() && self.queued > 0; best = leastLoaded(peers) {
		taken := r.Local.TakeForwardable(pool, min(self.queued, best.slots-best.tasks))
		if len(taken) == 0 {
			return
		}
		for _, j := range taken {
			self.queued -= len(j.Items)
			best.tasks += len(j.Items)
			r.forward(j, best.id, j.Items)
		}
	}
}

func (r *Relay) submitLocally(j *queue.Job, self *target) error {
	if len(self.items) == 0 {
		return nil
	}
	localJob := *j
	localJob.Items = self.items
	return r.Local.Submit(&localJob)
}

// spillOver forwards a whole job that the local scheduler refused to the least
// loaded instance of the other data centres. It returns the refusal if the
// configuration doesn't allow that or no instance has a free slot for each task.
func (r *Relay) spillOver(j *queue.Job, refusal error) error {
	if !r.SpillOver() {
		return refusal
	}

	best := leastLoaded(r.remoteTargets())
	if best == nil || best.tasks+len(j.Items) > best.slots {
		return refusal
	}
	r.forward(j, best.id, j.Items)
	return nil
}

func (r *Relay) targets(pool string) (self *target, peers []*target) {
	self = newTarget("", r.Local.PoolLoad(pool), 0)

	slotsByOwner := r.Local.SlotsByOwner(pool)
	peers = r.peerTargets(func(p Peer, load model.Load) model.Load {
		if p.DataCentre != r.DataCentre {
			return model.Load{}
		}
		return scaleToPool(load, slotsByOwner[p.ID])
	})
	return self, peers
}

// remoteTargets returns the instances of other data centres. Their load covers all
// pools, as the slots of a pool are known for this data centre only.
func (r *Relay) remoteTargets() []*target {
	return r.peerTargets(func(p Peer, load model.Load) model.Load {
		if p.DataCentre == r.DataCentre {
			return model.Load{}
		}
		load.Slots = max(load.Slots, load.FreeSlots)
		return load
	})
}

// peerTargets returns the peers for which poolLoad, called with the peer and its
// last reported load, returns a load with slots.
func (r *Relay) peerTargets(poolLoad func(Peer, model.Load) model.Load) []*target {
	peers := r.Peers.Alive()
	r.peerLoads.retain(peers)

	var targets []*target
	for _, p := range peers {
		load, since := r.peerLoads.get(p)
		if usable := poolLoad(p, load); usable.Slots > 0 {
			targets = append(targets, newTarget(p.ID, usable, since))
		}
	}
	return targets
}

// forward sends items of a job to a peer in one call and delivers the outcomes
// from its reply. It doesn't wait for the reply.
func (r *Relay) forward(j *queue.Job, peerID string, items []*queue.Item) {
	r.peerLoads.addForwarded(peerID, len(items))
	r.forwards.Go(func() {
		ctx, cancel := r.contextWithGrace(j, peerID)
		defer cancel()

		var reply BatchReply
		err := r.Peers.Call(ctx, peerID, MethodRun, newBatch(j, items), &reply)
		if reply.Load != nil {
			r.peerLoads.record(peerID, *reply.Load)
		}
		r.handleReply(j, items, reply, err)
		r.rebalance(j.Pool)
	})
}

// contextWithGrace returns the context for the call of a batch, which ends
// cancelGrace after the job's context. When the job's context ends, the peer is
// requested to stop the job's tasks; the grace lets it reply which of them had run.
func (r *Relay) contextWithGrace(j *queue.Job, peerID string) (context.Context, func()) {
	ctx, cancel := context.WithCancel(context.WithoutCancel(j.Context))
	release := context.AfterFunc(j.Context, func() {
		time.AfterFunc(cancelGrace, cancel)
		r.cancelAtPeer(peerID, j.ID)
	})
	return ctx, func() {
		release()
		cancel()
	}
}

func (r *Relay) handleReply(j *queue.Job, items []*queue.Item, reply BatchReply, err error) {
	switch {
	case err == nil && len(reply.Outcomes) == len(items):
		r.Observer.Forwarded("answered")
		r.Observer.Message("needed", "forward")
		r.deliverOutcomes(j, items, reply.Outcomes)
	case err != nil && !mayHaveArrived(err):
		r.Observer.Forwarded("notSent")
		r.runLocally(j, items)
	default:
		r.Observer.Forwarded("unknown")
		r.Observer.Message("wasted", "forward")
		deliverUnconfirmed(items, err)
	}
}

// mayHaveArrived reports whether the request of a failed call may have reached the
// peer.
func mayHaveArrived(err error) bool {
	var e interface{ Sent() bool }
	return !errors.As(err, &e) || e.Sent()
}

// deliverOutcomes delivers the outcomes of forwarded items. Items that the peer did
// not run are submitted to the local scheduler and not forwarded again.
func (r *Relay) deliverOutcomes(j *queue.Job, items []*queue.Item, outcomes []TaskOutcome) {
	var notRun []*queue.Item
	for i, o := range outcomes {
		switch {
		case o.NotRun:
			notRun = append(notRun, items[i])
		case o.Unconfirmed != "":
			items[i].Deliver(unconfirmed(eris.New(o.Unconfirmed)))
		default:
			items[i].Deliver(queue.Outcome{Reply: o.Reply})
		}
	}
	r.runLocally(j, notRun)
}

func (r *Relay) runLocally(j *queue.Job, items []*queue.Item) {
	if len(items) == 0 {
		return
	}

	localJob := *j
	localJob.Items = items
	localJob.Pinned = true
	if err := r.Local.Submit(&localJob); err != nil {
		r.deliverNotRun(j.Pool, items, err)
	}
}

// deliverNotRun delivers items that the local scheduler refused as not run. If this
// instance has slots of the pool, the reason is a lack of capacity. Otherwise
// another instance may own workers of the pool, so that the runner may submit the
// items again.
func (r *Relay) deliverNotRun(pool string, items []*queue.Item, cause error) {
	err := &Error{Op: "forward", Kind: KindNotRun, Err: cause}
	noCapacity := r.Local.PoolLoad(pool).Slots > 0
	for _, it := range items {
		it.Deliver(queue.Outcome{Err: err, NotRun: true, NoCapacity: noCapacity})
	}
}

func deliverUnconfirmed(items []*queue.Item, cause error) {
	if cause == nil {
		cause = eris.New("the peer's reply does not match the batch")
	}
	for _, it := range items {
		it.Deliver(unconfirmed(cause))
	}
}

func unconfirmed(cause error) queue.Outcome {
	return queue.Outcome{Err: &Error{Op: "forward", Kind: KindUnconfirmed, Err: cause}}
}

// cancelAtPeer requests a peer to stop the tasks of a job. Errors are ignored: if
// the request is lost, the peer only runs tasks whose results are not used.
func (r *Relay) cancelAtPeer(peerID, jobID string) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()

	_ = r.Peers.Call(ctx, peerID, MethodCancel, Cancellation{JobID: jobID}, nil)
}

// Wait returns nil when every forward has ended, or an *Error of KindUnconfirmed
// when the context is done first.
func (r *Relay) Wait(ctx context.Context) error {
	if err := kernel.Await(ctx, r.forwards.Wait); err != nil {
		return &Error{Op: "wait for forwards", Kind: KindUnconfirmed, Err: err}
	}
	return nil
}

func decode(params json.RawMessage, value any) error {
	if err := json.Unmarshal(params, value); err != nil {
		return &Error{Op: "decode params", Kind: KindBadCall, Err: err}
	}
	return nil
}

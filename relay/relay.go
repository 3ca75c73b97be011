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
	// cancelTimeout bounds the call that cancels a forwarded batch.
	cancelTimeout = time.Second

	// cancelGrace is how long a cancelled batch may still tell what ran.
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

// Observer counts forwards and their messages.
type Observer interface {
	Forwarded(outcome string)
	Message(purpose, kind string)
}

// Relay submits the tasks of a job here or to peers.
type Relay struct {
	DataCentre string
	Local      Scheduler
	Peers      Peers
	Observer   Observer
	SpillOver  func() bool

	loads loads

	mu      sync.Mutex
	running map[string]map[int]context.CancelFunc
	batches int

	forwards conc.WaitGroup
}

// NeverFits reports whether no worker of the pool could hold the needs.
func (r *Relay) NeverFits(pool string, needs model.Resources) bool {
	return r.Local.NeverFits(pool, needs)
}

// Submit spreads the items of a job. Until it returns an error every item's
// Deliver is called exactly once, after an error none is.
func (r *Relay) Submit(j *queue.Job) error {
	here, peers := r.shares(j.Pool)
	split(j.Items, here, peers)

	// What stays here is submitted first: its refusal must leave nothing sent.
	if err := r.submitHere(j, here); err != nil {
		return r.spill(j, err)
	}
	for _, p := range peers {
		if len(p.items) > 0 {
			r.forward(j, p.id, p.items)
		}
	}
	r.rebalance(j.Pool)
	return nil
}

// rebalance forwards tasks of a pool that wait here to the peers with free
// slots. What is known of a peer may be newer than the tasks.
func (r *Relay) rebalance(pool string) {
	if r.Local.PoolLoad(pool).QueuedTasks == 0 {
		return
	}

	here, peers := r.shares(pool)
	for best := emptiest(peers); best != nil && best.free() && here.waiting > 0; best = emptiest(peers) {
		taken := r.Local.TakeForwardable(pool, min(here.waiting, best.slots-best.busy))
		if len(taken) == 0 {
			return
		}
		for _, j := range taken {
			here.waiting -= len(j.Items)
			best.busy += len(j.Items)
			r.forward(j, best.id, j.Items)
		}
	}
}

func (r *Relay) submitHere(j *queue.Job, here *share) error {
	if len(here.items) == 0 {
		return nil
	}
	local := *j
	local.Items = here.items
	return r.Local.Submit(&local)
}

// spill forwards a whole job that this data centre has no room for to the
// instance with the most room elsewhere.
func (r *Relay) spill(j *queue.Job, refusal error) error {
	if !r.SpillOver() {
		return refusal
	}

	best := emptiest(r.elsewhere())
	if best == nil || best.busy+len(j.Items) > best.slots {
		return refusal
	}
	r.forward(j, best.id, j.Items)
	return nil
}

func (r *Relay) shares(pool string) (here *share, peers []*share) {
	here = newShare("", r.Local.PoolLoad(pool), 0)

	homes := r.Local.SlotsByOwner(pool)
	peers = r.peerShares(func(m Peer, load model.Load) model.Load {
		if m.DataCentre != r.DataCentre {
			return model.Load{}
		}
		return narrow(load, homes[m.ID])
	})
	return here, peers
}

// elsewhere returns the instances of other data centres, of which only the
// total of all pools is known.
func (r *Relay) elsewhere() []*share {
	return r.peerShares(func(m Peer, load model.Load) model.Load {
		if m.DataCentre == r.DataCentre {
			return model.Load{}
		}
		load.Slots = max(load.Slots, load.FreeSlots)
		return load
	})
}

// peerShares returns the peers that have slots by their load as seen by view.
func (r *Relay) peerShares(view func(Peer, model.Load) model.Load) []*share {
	members := r.Peers.Alive()
	r.loads.keep(members)

	var shares []*share
	for _, m := range members {
		load, since := r.loads.of(m)
		if seen := view(m, load); seen.Slots > 0 {
			shares = append(shares, newShare(m.ID, seen, since))
		}
	}
	return shares
}

// forward sends items to a peer in one call and delivers what comes back.
func (r *Relay) forward(j *queue.Job, peerID string, items []*queue.Item) {
	r.loads.forwarded(peerID, len(items))
	r.forwards.Go(func() {
		ctx, cancel := r.outlive(j, peerID)
		defer cancel()

		var reply BatchReply
		err := r.Peers.Call(ctx, peerID, MethodRun, batchOf(j, items), &reply)
		if reply.Load != nil {
			r.loads.tell(peerID, *reply.Load)
		}
		r.settle(j, items, reply, err)
		r.rebalance(j.Pool)
	})
}

// outlive returns a context that ends a while after the job's, so that the
// peer can tell what became of the tasks that it is then asked to stop.
func (r *Relay) outlive(j *queue.Job, peerID string) (context.Context, func()) {
	ctx, cancel := context.WithCancel(context.WithoutCancel(j.Context))
	release := context.AfterFunc(j.Context, func() {
		time.AfterFunc(cancelGrace, cancel)
		r.cancelThere(peerID, j.ID)
	})
	return ctx, func() {
		release()
		cancel()
	}
}

func (r *Relay) settle(j *queue.Job, items []*queue.Item, reply BatchReply, err error) {
	switch {
	case err == nil && len(reply.Outcomes) == len(items):
		r.Observer.Forwarded("answered")
		r.Observer.Message("needed", "forward")
		r.deliver(j, items, reply.Outcomes)
	case err != nil && !sent(err):
		r.Observer.Forwarded("notSent")
		r.runHere(j, items)
	default:
		r.Observer.Forwarded("unknown")
		r.Observer.Message("wasted", "forward")
		deliverUnknown(items, err)
	}
}

// sent reports whether a failed call may have reached the peer.
func sent(err error) bool {
	var e interface{ Sent() bool }
	return !errors.As(err, &e) || e.Sent()
}

// deliver hands on the outcomes. Tasks that the peer did not run are run here
// and nowhere else.
func (r *Relay) deliver(j *queue.Job, items []*queue.Item, outcomes []TaskOutcome) {
	var back []*queue.Item
	for i, o := range outcomes {
		switch {
		case o.NotRun:
			back = append(back, items[i])
		case o.Unconfirmed != "":
			items[i].Deliver(unknown(eris.New(o.Unconfirmed)))
		default:
			items[i].Deliver(queue.Outcome{Reply: o.Reply})
		}
	}
	r.runHere(j, back)
}

func (r *Relay) runHere(j *queue.Job, items []*queue.Item) {
	if len(items) == 0 {
		return
	}

	local := *j
	local.Items = items
	local.Pinned = true
	if err := r.Local.Submit(&local); err != nil {
		r.deliverNotRun(j.Pool, items, err)
	}
}

// deliverNotRun gives tasks back. Where this instance has slots they were
// refused for want of room, else they may find a worker elsewhere.
func (r *Relay) deliverNotRun(pool string, items []*queue.Item, cause error) {
	err := &Error{Op: "forward", Kind: KindNotRun, Err: cause}
	refused := r.Local.PoolLoad(pool).Slots > 0
	for _, it := range items {
		it.Deliver(queue.Outcome{Err: err, NotRun: true, NoCapacity: refused})
	}
}

func deliverUnknown(items []*queue.Item, cause error) {
	if cause == nil {
		cause = eris.New("the peer's reply does not match the batch")
	}
	for _, it := range items {
		it.Deliver(unknown(cause))
	}
}

func unknown(cause error) queue.Outcome {
	return queue.Outcome{Err: &Error{Op: "forward", Kind: KindUnconfirmed, Err: cause}}
}

// cancelThere stops a batch whose outcome nobody waits for. Its loss only
// costs the peer time.
func (r *Relay) cancelThere(peerID, jobID string) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()

	_ = r.Peers.Call(ctx, peerID, MethodCancel, Cancellation{JobID: jobID}, nil)
}

// Wait returns when every forward has ended or the context is done.
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

package relay

import (
	"time"

	"foxtailmux/model"
	"foxtailmux/queue"
)

// peerMargin is how much fuller, in tasks for each slot, this instance must
// be than a peer without a free slot before a task is forwarded.
const peerMargin = 0.25

// Peer is an entry instance that tasks may be forwarded to. Load is the load that
// its last heartbeat reported.
type Peer struct {
	ID            string
	DataCentre    string
	Load          model.Load
	LastHeartbeat time.Time
}

// share is what one instance takes of a job. The ID of this instance is
// empty.
type share struct {
	id      string
	slots   int
	busy    int
	waiting int
	items   []*queue.Item
}

func newShare(id string, load model.Load, extra int) *share {
	return &share{
		id:      id,
		slots:   load.Slots,
		busy:    load.Slots - load.FreeSlots + load.QueuedTasks + extra,
		waiting: load.QueuedTasks,
	}
}

// narrow scales a peer's load over all pools down to the slots that it has of
// one pool. A load that tells of no slots is older than the peer's workers.
func narrow(load model.Load, slots int) model.Load {
	if load.Slots == 0 {
		return model.Load{Slots: slots, FreeSlots: slots}
	}
	return model.Load{
		Slots:       slots,
		FreeSlots:   load.FreeSlots * slots / load.Slots,
		QueuedTasks: load.QueuedTasks * slots / load.Slots,
	}
}

// fullness returns the tasks for each slot after one more task.
func (s *share) fullness() float64 {
	return float64(s.busy+1) / float64(s.slots)
}

func (s *share) free() bool { return s.busy < s.slots }

func (s *share) take(it *queue.Item) {
	s.items = append(s.items, it)
	s.busy++
}

// split spreads items over this instance and its peers: here while a slot is
// free, then wherever the fewest tasks wait for a slot.
func split(items []*queue.Item, here *share, peers []*share) {
	for _, it := range items {
		pick(here, peers).take(it)
	}
}

func pick(here *share, peers []*share) *share {
	if here.free() {
		return here
	}

	best := emptiest(peers)
	if best == nil {
		return here
	}
	if best.free() || here.slots == 0 || here.fullness() > best.fullness()+peerMargin {
		return best
	}
	return here
}

func emptiest(peers []*share) *share {
	var best *share
	for _, p := range peers {
		if p.slots == 0 {
			continue
		}
		if best == nil || p.fullness() < best.fullness() {
			best = p
		}
	}
	return best
}

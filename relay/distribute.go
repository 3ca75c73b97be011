package relay

import (
	"time"

	"foxtailmux/model"
	"foxtailmux/queue"
)

// forwardMargin is by how many tasks per slot the load of this instance must
// exceed that of a peer without a free slot before a task is forwarded to it.
const forwardMargin = 0.25

// Peer is an entry instance that tasks may be forwarded to. Load is the load that
// its last heartbeat reported.
type Peer struct {
	ID            string
	DataCentre    string
	Load          model.Load
	LastHeartbeat time.Time
}

// target is an entry instance with its load and the items of a job that are
// assigned to it. The ID of this instance is empty. Tasks counts the running,
// waiting, forwarded and assigned tasks.
type target struct {
	id     string
	slots  int
	tasks  int
	queued int
	items  []*queue.Item
}

func newTarget(id string, load model.Load, forwarded int) *target {
	return &target{
		id:     id,
		slots:  load.Slots,
		tasks:  load.Slots - load.FreeSlots + load.QueuedTasks + forwarded,
		queued: load.QueuedTasks,
	}
}

// scaleToPool scales the load of a peer, which covers all pools, to the slots that
// the peer owns of one pool. A load without slots was reported before the peer
// owned its workers, so that all of them are assumed to be free.
func scaleToPool(load model.Load, slots int) model.Load {
	if load.Slots == 0 {
		return model.Load{Slots: slots, FreeSlots: slots}
	}
	return model.Load{
		Slots:       slots,
		FreeSlots:   load.FreeSlots * slots / load.Slots,
		QueuedTasks: load.QueuedTasks * slots / load.Slots,
	}
}

// tasksPerSlot returns the number of tasks per slot after one more task.
func (t *target) tasksPerSlot() float64 {
	return float64(t.tasks+1) / float64(t.slots)
}

func (t *target) hasFreeSlot() bool { return t.tasks < t.slots }

func (t *target) assign(it *queue.Item) {
	t.items = append(t.items, it)
	t.tasks++
}

// distribute assigns items to this instance while it has a free slot, then to the
// instance with the fewest tasks per slot. Without a free slot on any instance,
// this instance is preferred by forwardMargin.
func distribute(items []*queue.Item, self *target, peers []*target) {
	for _, it := range items {
		chooseTarget(self, peers).assign(it)
	}
}

func chooseTarget(self *target, peers []*target) *target {
	if self.hasFreeSlot() {
		return self
	}

	best := leastLoaded(peers)
	if best == nil {
		return self
	}
	if best.hasFreeSlot() || self.slots == 0 || self.tasksPerSlot() > best.tasksPerSlot()+forwardMargin {
		return best
	}
	return self
}

// leastLoaded returns the target with the fewest tasks per slot, or nil if none has
// slots.
func leastLoaded(peers []*target) *target {
	var best *target
	for _, p := range peers {
		if p.slots == 0 {
			continue
		}
		if best == nil || p.tasksPerSlot() < best.tasksPerSlot() {
			best = p
		}
	}
	return best
}

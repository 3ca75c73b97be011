package sched

import (
	"github.com/rotisserie/eris"

	"foxtailmux/queue"
)

// giveBackStranded delivers the waiting tasks of pools that this instance has
// no worker of any more as not run, so that they can go elsewhere. The lock is
// held.
func (s *Scheduler) giveBackStranded() {
	for _, pool := range s.queue.Pools() {
		if s.slots(pool) > 0 {
			continue
		}
		items := s.queue.RemovePool(pool)
		s.attempts.Go(func() { deliverStranded(pool, items) })
	}
}

func deliverStranded(pool string, items []*queue.Item) {
	cause := eris.Errorf("no worker of pool %q any more", pool)
	err := &Error{Op: "wait for a slot", Kind: KindNoWorker, Err: cause}
	for _, it := range items {
		it.Deliver(queue.Outcome{Err: err, NotRun: true})
	}
}

package sched

import (
	"github.com/rotisserie/eris"

	"foxtailmux/queue"
)

// returnUnservable delivers the waiting tasks of pools without an owned worker
// that accepts new tasks as not run, so that they can be submitted to another
// instance instead of waiting here until the deadline. The lock is held.
func (s *Scheduler) returnUnservable() {
	for _, pool := range s.queue.Pools() {
		if s.acceptingSlots(pool) > 0 {
			continue
		}
		items := s.queue.RemovePool(pool)
		s.attempts.Go(func() { deliverNoWorker(pool, items) })
	}
}

func deliverNoWorker(pool string, items []*queue.Item) {
	cause := eris.Errorf("no worker of pool %q any more", pool)
	err := &Error{Op: "wait for a slot", Kind: KindNoWorker, Err: cause}
	for _, it := range items {
		it.Deliver(queue.Outcome{Err: err, NotRun: true})
	}
}

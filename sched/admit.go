package sched

import (
	"time"

	"github.com/rotisserie/eris"

	"foxtailmux/queue"
)

// admit refuses a job that the queue has no room for or that could not end in
// time behind what waits already. The lock is held.
func (s *Scheduler) admit(j *queue.Job) error {
	slots := s.slots(j.Pool)
	if slots == 0 {
		err := eris.Errorf("no worker of pool %q", j.Pool)
		return &Error{Op: "submit", Kind: KindNoWorker, Err: err}
	}

	if s.maxQueued > 0 && s.queue.Len()+len(j.Items) > s.maxQueued {
		err := eris.Errorf("%d tasks wait on this instance, the limit is %d", s.queue.Len(), s.maxQueued)
		return &Error{Op: "submit", Kind: KindQueueFull, Err: err}
	}

	limit := slots * s.document.Placement.MaxQueuePerSlot
	waiting := s.queue.Waiting(j.Pool)
	if waiting.Tasks+len(j.Items) > limit+slots {
		err := eris.Errorf("%d tasks wait, the limit is %d", waiting.Tasks, limit)
		return &Error{Op: "submit", Kind: KindQueueFull, Err: err}
	}
	if s.document.Placement.EarlyRefusal {
		return s.admitInTime(j, slots, waiting.ExpectedRun)
	}
	return nil
}

// admitInTime compares the work that waits, shared by the slots, with the
// time that the job has left.
func (s *Scheduler) admitInTime(j *queue.Job, slots int, waiting time.Duration) error {
	var longest, own time.Duration
	for _, it := range j.Items {
		longest = max(longest, it.ExpectedRun)
		own += it.ExpectedRun
	}

	// On average half of each attempt in progress is done.
	ahead := waiting + s.running[j.Pool]/2
	needed := max((ahead+own)/time.Duration(slots), ahead/time.Duration(slots)+longest)
	if left := time.Until(j.Deadline); needed > left {
		err := eris.Errorf("the job would take %v and has %v left", needed.Round(time.Millisecond), left.Round(time.Millisecond))
		return &Error{Op: "submit", Kind: KindTooLate, Err: err}
	}
	return nil
}

package sched

import (
	"time"

	"github.com/rotisserie/eris"

	"foxtailmux/queue"
)

// admit returns an *Error if no owned worker of the job's pool accepts new tasks,
// if too many tasks wait already or, with early refusal configured, if the job
// can't end before its deadline. The lock is held.
func (s *Scheduler) admit(j *queue.Job) error {
	slots := s.acceptingSlots(j.Pool)
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
		return s.checkDeadline(j, slots, waiting.ExpectedRun)
	}
	return nil
}

// checkDeadline returns an error if the job can't meet its deadline. It
// estimates when the job would end if the waiting tasks, the attempts in
// progress and the job itself were spread evenly over the slots, but not before
// the end of the job's longest task if that starts after all work ahead of the job.
func (s *Scheduler) checkDeadline(j *queue.Job, slots int, waiting time.Duration) error {
	var longest, total time.Duration
	for _, it := range j.Items {
		longest = max(longest, it.ExpectedRun)
		total += it.ExpectedRun
	}

	// An attempt in progress is half done on average.
	ahead := waiting + s.inFlight[j.Pool]/2
	needed := max((ahead+total)/time.Duration(slots), ahead/time.Duration(slots)+longest)
	if left := time.Until(j.Deadline); needed > left {
		err := eris.Errorf("the job would take %v and has %v left", needed.Round(time.Millisecond), left.Round(time.Millisecond))
		return &Error{Op: "submit", Kind: KindTooLate, Err: err}
	}
	return nil
}

package runner

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"foxtailmux/model"
	"foxtailmux/queue"
)

// The deadline may pass right after the last result arrived; that must not fail
// the job.
func TestCompleteJobStaysCompleteAfterItsDeadline(t *testing.T) {
	c := newCollector("j", 1)
	c.add(0, queue.Outcome{Reply: model.TaskReply{Outcome: model.OutcomeDone}})
	c.failIfPending(model.Failure{Kind: model.FailDeadline})

	if diff := cmp.Diff(model.Complete, c.answer().Result); diff != "" {
		t.Errorf("result (-want +got):\n%s", diff)
	}
}

func TestTaskWithoutFreeCapacityFailsAsOverloaded(t *testing.T) {
	for want, o := range map[model.FailureKind]queue.Outcome{
		model.FailOverloaded: {NotRun: true, NoCapacity: true},
		model.FailDeadline:   {NotRun: true},
	} {
		c := newCollector("j", 1)
		c.add(0, o)

		a := c.answer()
		if a.Ran != model.RanNo || a.Error.Kind != want {
			t.Errorf("ran %q, kind %q, want no and %q", a.Ran, a.Error.Kind, want)
		}
	}
}

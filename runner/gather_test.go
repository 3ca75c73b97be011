package runner

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"foxtailmux/model"
	"foxtailmux/queue"
)

// The deadline and the last result may come at the same moment.
func TestCompleteJobStaysCompleteAfterItsDeadline(t *testing.T) {
	g := newGather("j", 1)
	g.add(0, queue.Outcome{Reply: model.TaskReply{Outcome: model.OutcomeDone}})
	g.refuse(model.Failure{Kind: model.FailDeadline})

	if diff := cmp.Diff(model.Complete, g.answer().Result); diff != "" {
		t.Errorf("result (-want +got):\n%s", diff)
	}
}

func TestTaskWithoutRoomAnywhereIsAnOverloadNotADeadline(t *testing.T) {
	for want, o := range map[model.FailureKind]queue.Outcome{
		model.FailOverloaded: {NotRun: true, NoCapacity: true},
		model.FailDeadline:   {NotRun: true},
	} {
		g := newGather("j", 1)
		g.add(0, o)

		a := g.answer()
		if a.Ran != model.RanNo || a.Error.Kind != want {
			t.Errorf("ran %q, kind %q, want no and %q", a.Ran, a.Error.Kind, want)
		}
	}
}

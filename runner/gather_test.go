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

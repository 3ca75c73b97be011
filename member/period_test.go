package member

import (
	"testing"
	"testing/synctest"
	"time"
)

func TestLongerMinPeriodAppliesWhileRunning(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodes := newNetwork(t).startMany(2, "kochi")
		defer killAll(nodes)
		advance(joinTime)

		bytesPerMinute := func() int64 {
			before := nodes[0].Group.ControlBytes()
			advance(time.Minute)
			return nodes[0].Group.ControlBytes() - before
		}
		fast := bytesPerMinute()
		for _, n := range nodes {
			n.Group.SetMinPeriod(5 * time.Second)
		}
		advance(10 * time.Second)
		if slow := bytesPerMinute(); slow > fast/4 {
			t.Errorf("%d bytes a minute with a period of 5s, %d with 0.5s", slow, fast)
		}
		wantStates(t, nodes[0], statesOf(StateAlive, nodes...))
	})
}

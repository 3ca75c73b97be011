package member

import (
	"context"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
)

func TestUnreachedMemberIsSuspectUntilItShowsLife(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodes := newNetwork(t).startMany(5, "kochi")
		defer killAll(nodes)
		settle(time.Minute)
		var changes atomic.Int64
		nodes[0].Subscribe(func() { changes.Add(1) })

		nodes[0].RecordReachability("entry03", false)
		nodes[0].RecordReachability("entry03", false)
		nodes[0].RecordReachability("nobody", false)
		want := statesOf(StateAlive, nodes...)
		want["entry03"] = StateSuspect
		wantStates(t, nodes[0], want)
		wantStates(t, nodes[1], statesOf(StateAlive, nodes...))
		if diff := cmp.Diff(int64(1), changes.Load()); diff != "" {
			t.Errorf("changes told (-want +got)\n%s", diff)
		}

		settle(retryAfter + time.Second)
		wantStates(t, nodes[0], statesOf(StateAlive, nodes...))

		nodes[0].RecordReachability("entry03", false)
		nodes[0].RecordReachability("entry03", true)
		wantStates(t, nodes[0], statesOf(StateAlive, nodes...))
	})
}

func TestHearsayEndsNoSuspicion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newNetwork(t)
		nodes := w.startMany(4, "kochi")
		defer killAll(nodes)
		settle(joinTime)
		w.setCut(func(a, b *node) bool {
			pair := []*node{a, b}
			return slices.Contains(pair, nodes[0]) && slices.Contains(pair, nodes[3])
		})

		nodes[0].RecordReachability("entry03", false)
		for range 20 {
			settle(time.Second)
			nodes[0].receive(&heartbeat{
				ID: "entry01", Incarnation: entry(1, "", 0).Incarnation,
				Hints: []hint{nodes[1].hintOf("entry03")},
			}, time.Now(), true)
			if diff := cmp.Diff(StateSuspect, nodes[0].states()["entry03"]); diff != "" {
				t.Fatalf("state (-want +got)\n%s", diff)
			}
		}
		w.setCut(nil)
		settle(joinTime)
		wantStates(t, nodes[0], statesOf(StateAlive, nodes...))
	})
}

func (n *node) hintOf(id string) hint {
	n.mu.Lock()
	defer n.mu.Unlock()
	return hintOf(n.records[id], time.Now())
}

func TestSuspicionDelaysNoDeath(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodes := newNetwork(t).startMany(4, "kochi")
		defer killAll(nodes[:3])
		settle(joinTime)
		nodes[3].kill()
		nodes[0].RecordReachability("entry03", false)
		settle(deathTime)
		want := statesOf(StateAlive, nodes...)
		want["entry03"] = StateDead
		wantStates(t, nodes[0], want)
	})
}

// TestMissedLeaveIsPassedOn cuts one member off from the leaving one. It must
// hear of the leave from the others within a period and the retry, long
// before it could suspect anybody by silence.
func TestMissedLeaveIsPassedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newNetwork(t)
		nodes := w.startMany(30, "kochi")
		defer killAll(nodes)
		settle(2 * time.Minute)
		w.setCut(func(a, b *node) bool {
			pair := []*node{a, b}
			return slices.Contains(pair, nodes[7]) && slices.Contains(pair, nodes[21])
		})

		if err := nodes[7].Leave(context.Background()); err == nil {
			t.Error("the cut member was told")
		}
		if diff := cmp.Diff(StateLeaving, nodes[20].states()["entry07"]); diff != "" {
			t.Errorf("a member that was told (-want +got)\n%s", diff)
		}
		waited := time.Duration(0)
		for nodes[21].states()["entry07"] != StateLeaving && waited < time.Minute {
			settle(100 * time.Millisecond)
			waited += 100 * time.Millisecond
		}
		t.Logf("passed on after %v at a period of %v", waited, nodes[21].currentPeriod())
		if limit := nodes[21].currentPeriod() / 2; waited > limit {
			t.Errorf("passed on after %v, want at most %v", waited, limit)
		}
	})
}

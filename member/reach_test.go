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

func TestUnreachableMemberIsSuspectUntilItsNextHeartbeat(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodes := newNetwork(t).startMany(5, "kochi")
		defer killAll(nodes)
		advance(time.Minute)
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
			t.Errorf("notifications (-want +got)\n%s", diff)
		}

		advance(retryUnreachableAfter + time.Second)
		wantStates(t, nodes[0], statesOf(StateAlive, nodes...))

		nodes[0].RecordReachability("entry03", false)
		nodes[0].RecordReachability("entry03", true)
		wantStates(t, nodes[0], statesOf(StateAlive, nodes...))
	})
}

func TestHintsDoNotEndSuspicion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newNetwork(t)
		nodes := w.startMany(4, "kochi")
		defer killAll(nodes)
		advance(joinTime)
		w.setBlocked(func(a, b *node) bool {
			pair := []*node{a, b}
			return slices.Contains(pair, nodes[0]) && slices.Contains(pair, nodes[3])
		})

		nodes[0].RecordReachability("entry03", false)
		for range 20 {
			advance(time.Second)
			nodes[0].receive(&heartbeat{
				ID: "entry01", Incarnation: entry(1, "", 0).Incarnation,
				Hints: []hint{nodes[1].hintOf("entry03")},
			}, time.Now(), true)
			if diff := cmp.Diff(StateSuspect, nodes[0].states()["entry03"]); diff != "" {
				t.Fatalf("state (-want +got)\n%s", diff)
			}
		}
		w.setBlocked(nil)
		advance(joinTime)
		wantStates(t, nodes[0], statesOf(StateAlive, nodes...))
	})
}

func (n *node) hintOf(id string) hint {
	n.mu.Lock()
	defer n.mu.Unlock()
	return hintOf(n.records[id], time.Now())
}

func TestSuspicionDoesNotDelayDeath(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodes := newNetwork(t).startMany(4, "kochi")
		defer killAll(nodes[:3])
		advance(joinTime)
		nodes[3].kill()
		nodes[0].RecordReachability("entry03", false)
		advance(deathTime)
		want := statesOf(StateAlive, nodes...)
		want["entry03"] = StateDead
		wantStates(t, nodes[0], want)
	})
}

// One member can't be reached by the leaving one and misses its announcement. It
// has to learn of the leave from the hints of the others within half a period, long
// before missed heartbeats could make the leaving member suspect.
func TestMissedLeaveArrivesThroughHints(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newNetwork(t)
		nodes := w.startMany(30, "kochi")
		defer killAll(nodes)
		advance(2 * time.Minute)
		w.setBlocked(func(a, b *node) bool {
			pair := []*node{a, b}
			return slices.Contains(pair, nodes[7]) && slices.Contains(pair, nodes[21])
		})

		if err := nodes[7].Leave(context.Background()); err == nil {
			t.Error("no error although a member is unreachable")
		}
		if diff := cmp.Diff(StateLeaving, nodes[20].states()["entry07"]); diff != "" {
			t.Errorf("state at a reachable member (-want +got)\n%s", diff)
		}
		waited := time.Duration(0)
		for nodes[21].states()["entry07"] != StateLeaving && waited < time.Minute {
			advance(100 * time.Millisecond)
			waited += 100 * time.Millisecond
		}
		t.Logf("leave reported in a hint after %v with a period of %v", waited, nodes[21].currentPeriod())
		if limit := nodes[21].currentPeriod() / 2; waited > limit {
			t.Errorf("leave reported in a hint after %v, want at most %v", waited, limit)
		}
	})
}

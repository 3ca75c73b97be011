package member

import (
	"context"
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"foxtailmux/model"

	"github.com/google/go-cmp/cmp"
)

// Times within which small groups detect a change.
const (
	joinTime  = 10 * time.Second
	deathTime = 30 * time.Second
)

func wantStates(t *testing.T, n *node, want map[string]State) {
	t.Helper()
	if diff := cmp.Diff(want, n.states()); diff != "" {
		t.Errorf("%s sees (-want +got)\n%s", n.entry.ID, diff)
	}
}

func TestMembersJoinThroughOneSeed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodes := newNetwork(t).startMany(6, "kochi", "thrissur")
		defer killAll(nodes)
		advance(joinTime)

		for _, n := range nodes {
			wantStates(t, n, statesOf(StateAlive, nodes...))
		}
		var ids []string
		for _, m := range nodes[5].Alive("kochi") {
			ids = append(ids, m.Entry.ID)
		}
		if diff := cmp.Diff([]string{"entry00", "entry02", "entry04"}, ids); diff != "" {
			t.Errorf("alive in kochi (-want +got)\n%s", diff)
		}
	})
}

func TestHeartbeatsCarryEntryLoadAndConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodes := newNetwork(t).startMany(3, "kochi")
		defer killAll(nodes)
		advance(joinTime)

		for step := range 3 {
			n := nodes[1]
			n.mu.Lock()
			n.load = model.Load{FreeSlots: step + 1, Slots: 8, QueuedTasks: 5}
			n.number, n.digest = int64(step+2), "fedcba9876543210-"+string(rune('a'+step))
			n.mu.Unlock()
			advance(5 * time.Second)

			want := n.Members()[1]
			got := nodes[2].Members()[1]
			want.LastHeartbeat, got.LastHeartbeat = time.Time{}, time.Time{}
			if diff := cmp.Diff(want, got); diff != "" {
				t.Errorf("step %d (-want +got)\n%s", step, diff)
			}
			if diff := cmp.Diff(n.digest, got.ConfigDigest); diff != "" {
				t.Errorf("digest (-want +got)\n%s", diff)
			}
		}
	})
}

func TestConfigDigestUpdatesWithoutNewNumber(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodes := newNetwork(t).startMany(2, "kochi")
		defer killAll(nodes)
		advance(joinTime)
		nodes[1].mu.Lock()
		nodes[1].digest = "0123456789abcdef, of another document"
		nodes[1].mu.Unlock()
		advance(5 * time.Second)
		if diff := cmp.Diff("0123456789abcdef, of another document", nodes[0].Members()[1].ConfigDigest); diff != "" {
			t.Error(diff)
		}
	})
}

func TestDeadMemberIsDetectedAndForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodes := newNetwork(t).startMany(4, "kochi")
		defer killAll(nodes[:3])
		advance(joinTime)

		nodes[3].kill()
		advance(deathTime)
		want := statesOf(StateAlive, nodes...)
		want["entry03"] = StateDead
		for _, n := range nodes[:3] {
			wantStates(t, n, want)
		}

		advance(forgetAfter)
		for _, n := range nodes[:3] {
			wantStates(t, n, statesOf(StateAlive, nodes[:3]...))
		}
	})
}

func TestLeaveIsAnnouncedAtOnceAndIrrevocable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodes := newNetwork(t).startMany(5, "kochi", "thrissur")
		defer killAll(nodes)
		advance(joinTime)

		if err := nodes[4].Leave(context.Background()); err != nil {
			t.Error(err)
		}
		want := statesOf(StateAlive, nodes...)
		want["entry04"] = StateLeaving
		for _, n := range nodes {
			wantStates(t, n, want)
		}

		live := nodes[4].entry
		live.State = model.Live
		nodes[0].MergeInstanceList([]model.Entry{live})
		nodes[0].receive(&heartbeat{ID: live.ID, Incarnation: live.Incarnation, Entry: &live}, time.Now(), true)
		wantStates(t, nodes[0], want)
		advance(3 * time.Second)
		wantStates(t, nodes[0], want)
	})
}

func TestLeaveIsBoundedWhenAMemberIsUnreachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newNetwork(t)
		nodes := w.startMany(3, "kochi")
		defer killAll(nodes)
		advance(joinTime)

		w.setBlocked(func(a, b *node) bool { return a == nodes[2] || b == nodes[2] })
		before := time.Now()
		if err := nodes[0].Leave(context.Background()); err == nil {
			t.Error("no error although a member is unreachable")
		}
		if took := time.Since(before); took > leaveTimeout {
			t.Errorf("leave took %v", took)
		}
		if diff := cmp.Diff(StateLeaving, nodes[1].states()["entry00"]); diff != "" {
			t.Error(diff)
		}
	})
}

func TestPausedMemberDoesNotDeclareTheOthersDead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodes := newNetwork(t).startMany(5, "kochi")
		defer killAll(nodes)
		advance(joinTime)

		var seen []State
		nodes[0].Subscribe(func() {
			seen = append(seen, slices.Collect(maps.Values(nodes[0].states()))...)
		})
		nodes[0].pause()
		advance(2 * time.Minute)
		want := statesOf(StateAlive, nodes...)
		want["entry00"] = StateDead
		wantStates(t, nodes[1], want)

		nodes[0].resume()
		advance(joinTime)
		for _, n := range nodes {
			wantStates(t, n, statesOf(StateAlive, nodes...))
		}
		if slices.Contains(seen, StateDead) || slices.Contains(seen, StateSuspect) {
			t.Errorf("the paused member changed the states of others: %v", seen)
		}
	})
}

func TestMemberThatDiesDuringAPauseIsDetected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodes := newNetwork(t).startMany(3, "kochi")
		defer killAll(nodes[:2])
		advance(joinTime)
		nodes[0].pause()
		advance(time.Second)
		nodes[2].kill()
		advance(time.Minute)
		nodes[0].resume()
		advance(deathTime)
		if diff := cmp.Diff(StateDead, nodes[0].states()["entry02"]); diff != "" {
			t.Error(diff)
		}
	})
}

func TestTwoPartitionsHealOneAfterTheOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newNetwork(t)
		nodes := w.startMany(6, "kochi", "thrissur", "kozhikode")
		defer killAll(nodes)
		advance(joinTime)

		blockBetween := func(centres ...string) func(a, b *node) bool {
			return func(a, b *node) bool {
				from, to := a.entry.DataCentre, b.entry.DataCentre
				return from != to && (slices.Contains(centres, from) || slices.Contains(centres, to))
			}
		}
		expect := func(isolated ...string) {
			t.Helper()
			for _, n := range nodes {
				want := statesOf(StateAlive, nodes...)
				for _, other := range nodes {
					own := n.entry.DataCentre == other.entry.DataCentre
					cut := slices.Contains(isolated, other.entry.DataCentre) || slices.Contains(isolated, n.entry.DataCentre)
					if !own && cut {
						want[other.entry.ID] = StateDead
					}
				}
				wantStates(t, n, want)
			}
		}

		w.setBlocked(blockBetween("kochi", "thrissur"))
		advance(remoteDeadAfter + time.Minute)
		expect("kochi", "thrissur")
		w.setBlocked(blockBetween("kochi"))
		advance(time.Minute)
		expect("kochi")
		w.setBlocked(nil)
		advance(time.Minute)
		expect()
	})
}

func TestLinkFailureBetweenTwoMembersDoesNotAffectOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newNetwork(t)
		nodes := w.startMany(4, "kochi")
		defer killAll(nodes)
		advance(joinTime)
		w.setBlocked(func(a, b *node) bool {
			pair := []*node{a, b}
			return slices.Contains(pair, nodes[0]) && slices.Contains(pair, nodes[3])
		})
		advance(20 * time.Second)
		wantStates(t, nodes[1], statesOf(StateAlive, nodes...))
		wantStates(t, nodes[2], statesOf(StateAlive, nodes...))
	})
}

func TestNewIncarnationPermanentlyReplacesTheOld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newNetwork(t)
		nodes := w.startMany(3, "kochi")
		advance(joinTime)
		old := nodes[2]
		old.kill()
		restarted := w.start(entry(2, "kochi", 1), nodes[0].entry.PeerAddr)
		defer killAll([]*node{nodes[0], nodes[1], restarted})
		advance(joinTime)

		stale := []model.Entry{old.entry}
		for _, n := range []*node{nodes[0], nodes[1], restarted} {
			n.MergeInstanceList(stale)
			late := &heartbeat{ID: old.entry.ID, Incarnation: old.entry.Incarnation, Entry: &old.entry, Leaving: true}
			n.receive(late, time.Now(), true)
			if _, found := n.Find(old.entry.Incarnation); found {
				t.Errorf("%s accepted a late heartbeat of the old incarnation", n.entry.ID)
			}
		}
		advance(joinTime)
		for _, n := range []*node{nodes[0], nodes[1], restarted} {
			wantStates(t, n, statesOf(StateAlive, nodes...))
			id, ok := n.Find(restarted.entry.Incarnation)
			_, oldFound := n.Find(old.entry.Incarnation)
			if diff := cmp.Diff([]any{"entry02", true, false}, []any{id, ok, oldFound}); diff != "" {
				t.Errorf("%s finds (-want +got)\n%s", n.entry.ID, diff)
			}
		}
	})
}

func TestEmptyOrStaleInstanceListIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newNetwork(t)
		first, second := w.start(entry(0, "kochi", 0)), w.start(entry(1, "kochi", 0))
		defer killAll([]*node{first, second})
		advance(joinTime)
		wantStates(t, first, statesOf(StateAlive, first))

		first.MergeInstanceList([]model.Entry{first.entry, second.entry})
		first.MergeInstanceList(nil)
		advance(joinTime)
		want := statesOf(StateAlive, first, second)
		wantStates(t, first, want)
		wantStates(t, second, want)

		absent := entry(9, "kochi", 0)
		first.MergeInstanceList([]model.Entry{absent})
		advance(deathTime)
		wantStates(t, first, want)

		leaving := second.entry
		leaving.State = model.Leaving
		first.MergeInstanceList([]model.Entry{leaving})
		if diff := cmp.Diff(StateLeaving, first.states()["entry01"]); diff != "" {
			t.Error(diff)
		}
	})
}

func TestCloseEndsEveryGoroutine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newNetwork(t)
		n := w.start(entry(0, "kochi", 0), "10.0.0.9:7000")
		advance(time.Second)
		n.kill()
		select {
		case <-n.Done():
		default:
			t.Error("Done is not closed after Close")
		}
	})
}

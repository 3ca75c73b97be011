package lease_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"foxtailmux/lease"
	"foxtailmux/model"
)

var (
	start    = time.Unix(1000, 0)
	capacity = model.Resources{MilliCores: 64_000, MemoryMB: 1000}
	needs    = model.Resources{MilliCores: 27_000, MemoryMB: 64}
)

func at(millis int) time.Time { return start.Add(time.Duration(millis) * time.Millisecond) }

// newTracker returns a tracker whose worker's clock was at 5000 at the start.
func newTracker() *lease.Tracker {
	tr := lease.NewTracker(capacity, time.Second)
	tr.RecordResponse(5000, start)
	return tr
}

func report(clock int64, active []lease.Active, ended ...lease.EndedRun) lease.Report {
	return lease.Report{Reply: lease.Reply{Clock: clock}, Incarnation: 1, Active: active, Ended: ended}
}

func recordStart(tr *lease.Tracker, task string, run int64, now time.Time) {
	tr.RecordStart(lease.Run{Task: task, Number: run, Needs: needs}, tr.GrantLease(now, now.Add(time.Hour)), now)
}

func TestRunReservesItsNeedsUntilItsEndIsReported(t *testing.T) {
	tr := newTracker()
	recordStart(tr, "a", 1, at(0))
	tr.ConfirmStart("a", 1, at(1))
	free := capacity.Minus(needs)
	if diff := cmp.Diff(free, tr.Free()); diff != "" {
		t.Error(diff)
	}

	tr.MarkStopping("a", 1, at(10))
	if diff := cmp.Diff(free, tr.Free()); diff != "" {
		t.Errorf("a run that is being stopped keeps its resources: %s", diff)
	}

	end := lease.EndedRun{Sequence: 1, Task: "a", Run: 1, Reason: lease.Stopped}
	ended := tr.ApplyReport(lease.Renewal{}, report(5040, nil, end), at(39), at(40))
	if diff := cmp.Diff([]lease.EndedRun{end}, ended); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff(capacity, tr.Free()); diff != "" {
		t.Error(diff)
	}
}

func TestEndIsProcessedOnce(t *testing.T) {
	tr := newTracker()
	recordStart(tr, "a", 1, at(0))
	tr.ConfirmStart("a", 1, at(1))
	r := report(5040, nil, lease.EndedRun{Sequence: 3, Task: "a", Run: 1, Reason: lease.Done})
	first, second := tr.ApplyReport(lease.Renewal{}, r, at(39), at(40)), tr.ApplyReport(lease.Renewal{}, r, at(41), at(42))
	if len(first) != 1 || len(second) != 0 {
		t.Errorf("ended %v, then %v", first, second)
	}
	if !tr.HasUnackedEnds() {
		t.Error("an end that is not acknowledged counts as acknowledged")
	}
	tr.ApplyReport(lease.Renewal{LastEndSeen: tr.LastEndSeen()}, report(5050, nil), at(49), at(50))
	if tr.HasUnackedEnds() {
		t.Error("an acknowledged end counts as not acknowledged")
	}
}

// A report may be older than a start that was confirmed before the report arrived.
func TestReportFromBeforeTheStartEndsNoRun(t *testing.T) {
	tr := newTracker()
	recordStart(tr, "a", 1, at(10))
	tr.ConfirmStart("a", 1, at(11))
	if ended := tr.ApplyReport(lease.Renewal{}, report(5012, nil), at(5), at(12)); len(ended) != 0 {
		t.Errorf("ended %v", ended)
	}
	ended := tr.ApplyReport(lease.Renewal{}, report(5264, nil), at(263), at(264))
	if diff := cmp.Diff([]lease.EndedRun{{Task: "a", Run: 1, Reason: lease.Lost}}, ended); diff != "" {
		t.Error(diff)
	}
}

// Guards against a second run on the same worker: a second response to an earlier request, made in the
// millisecond in which a start was sent, was taken for the one to the start, and the next report, made
// before the start arrived, for the loss of its run.
func TestRunIsNotLostWhileItsStartMayBeUnderWay(t *testing.T) {
	tr := newTracker()
	recordStart(tr, "a", 1, at(10))
	if tr.IsOutdated(5010, at(10)) {
		t.Error("a response of the same millisecond is outdated")
	}
	tr.ConfirmStart("a", 1, at(11))
	for _, clock := range []int{14, 100, 250} {
		if ended := tr.ApplyReport(lease.Renewal{}, report(int64(5000+clock), nil), at(clock-1), at(clock)); len(ended) != 0 {
			t.Errorf("%d ms: ended %v", clock, ended)
		}
	}
	tr.ApplyReport(lease.Renewal{}, report(5255, []lease.Active{{Task: "a", Run: 1}}), at(254), at(255))
	want := []lease.EndedRun{{Task: "a", Run: 1, Reason: lease.Lost}}
	if diff := cmp.Diff(want, tr.ApplyReport(lease.Renewal{}, report(5257, nil), at(256), at(257))); diff != "" {
		t.Errorf("after it was listed (-want +got):\n%s", diff)
	}
}

// Reports on different connections overtake each other: the older one lists a run that ended
// according to the newer one.
func TestOutdatedReportBringsNoRunBack(t *testing.T) {
	tr := newTracker()
	recordStart(tr, "a", 1, at(0))
	tr.ConfirmStart("a", 1, at(1))
	end := lease.EndedRun{Sequence: 1, Task: "a", Run: 1, Reason: lease.Done}
	tr.ApplyReport(lease.Renewal{}, report(5060, nil, end), at(20), at(62))
	for _, clock := range []int64{5058, 5060} {
		if ended := tr.ApplyReport(lease.Renewal{}, report(clock, []lease.Active{{Task: "a", Run: 1}}), at(57), at(63)); len(ended) != 0 || tr.Len() != 0 {
			t.Errorf("clock %d: ended %v, runs %v", clock, ended, tr.Runs())
		}
	}
	recordStart(tr, "b", 2, at(64))
	tr.ConfirmStart("b", 2, at(65))
	if ended := tr.ApplyReport(lease.Renewal{}, report(5059, nil), at(66), at(67)); len(ended) != 0 {
		t.Errorf("a report from before the start ends runs: %v", ended)
	}
}

// A start without a response may be carried out until its lease is over on the worker's clock,
// and then the run lasts as long as any renewal allows.
func TestUnconfirmedStart(t *testing.T) {
	tr := newTracker()
	recordStart(tr, "a", 1, at(0)) // until 6000 on the worker's clock
	tr.MarkUnconfirmed("a", 1, at(1))
	if ended := tr.ApplyReport(lease.Renewal{}, report(5900, nil), at(899), at(900)); len(ended) != 0 {
		t.Errorf("runs end while their start may still be carried out: %v", ended)
	}
	if stops, more := tr.Unconfirmed(at(900)); len(stops) != 1 || !more {
		t.Errorf("stops %v, more %v", stops, more)
	}
	if ended := tr.ApplyReport(lease.Renewal{}, report(6001, nil), at(1001), at(1002)); len(ended) != 1 {
		t.Errorf("ended %v, want the run whose start can no longer be carried out", ended)
	}

	recordStart(tr, "b", 2, at(1002))
	tr.MarkUnconfirmed("b", 2, at(1003))
	tr.ApplyReport(lease.Renewal{}, report(6005, []lease.Active{{Task: "b", Run: 2}}), at(1004), at(1005))
	if _, more := tr.Unconfirmed(at(1005)); more {
		t.Error("a run that is listed stays unconfirmed")
	}
}

func TestRunsOfAnUnreachableWorkerExpireWithTheLastLease(t *testing.T) {
	tr := newTracker()
	recordStart(tr, "a", 1, at(0))
	tr.ConfirmStart("a", 1, at(1))
	tr.GrantLease(at(500), at(500).Add(time.Hour)) // a renewal without a response
	if ended := tr.ExpireRuns(at(1540)); len(ended) != 0 {
		t.Errorf("runs end although the renewal may have been carried out: %v", ended)
	}
	if ended := tr.ExpireRuns(at(1700)); len(ended) != 1 {
		t.Errorf("ended %v, want the run with the expired lease", ended)
	}
	if ended := tr.ExpireRuns(at(1800)); len(ended) != 0 {
		t.Errorf("runs end twice: %v", ended)
	}
}

func TestInheritedRunReservesAllCapacityUntilItIsAdopted(t *testing.T) {
	tr := newTracker()
	tr.ApplyReport(lease.Renewal{}, report(5001, []lease.Active{{Task: "a", Run: 7}}), at(0), at(1))
	if diff := cmp.Diff(model.Resources{}, tr.Free()); diff != "" {
		t.Error(diff)
	}
	run, ok := tr.Adopt("a", needs, at(2))
	if !ok || run != 7 {
		t.Errorf("run %d, %v", run, ok)
	}
	if diff := cmp.Diff(capacity.Minus(needs), tr.Free()); diff != "" {
		t.Error(diff)
	}
	if _, ok := tr.Adopt("a", needs, at(3)); ok {
		t.Error("adopted twice")
	}
}

func TestRestartedWorkerHasNoRuns(t *testing.T) {
	tr := newTracker()
	tr.ApplyReport(lease.Renewal{}, report(5001, nil), at(0), at(1))
	recordStart(tr, "a", 1, at(2))
	tr.ConfirmStart("a", 1, at(3))
	r := report(10, nil, lease.EndedRun{Sequence: 1, Task: "z", Run: 9, Reason: lease.Done})
	r.Incarnation = 2
	ended := tr.ApplyReport(lease.Renewal{}, r, at(10), at(11))
	if diff := cmp.Diff([]lease.EndedRun{{Task: "a", Run: 1, Reason: lease.Lost}}, ended); diff != "" {
		t.Error(diff)
	}
	if tr.LastEndSeen() != 1 {
		t.Errorf("last end %d, want 1 since the sequence starts anew", tr.LastEndSeen())
	}
	if got := tr.GrantLease(at(11), at(11).Add(time.Hour)); got != 1010 {
		t.Errorf("lease until %d on the new clock", got)
	}
}

// Guards against a second run of a task: a start that was in flight when the worker crashed is
// carried out by its next incarnation, and must not be taken as lost.
func TestStartCarriedOutByTheNextIncarnationIsKept(t *testing.T) {
	tr := newTracker()
	tr.ApplyReport(lease.Renewal{}, report(5001, nil), at(0), at(1))
	recordStart(tr, "listed", 1, at(2))
	tr.ConfirmStart("listed", 1, at(5))
	recordStart(tr, "inFlight", 2, at(3))
	r := report(10, []lease.Active{{Task: "listed", Run: 1}})
	r.Incarnation = 2
	if ended := tr.ApplyReport(lease.Renewal{}, r, at(6), at(7)); len(ended) != 0 {
		t.Errorf("ended %v", ended)
	}
	tr.MarkUnconfirmed("inFlight", 2, at(8))
	if ended := tr.ExpireRuns(at(1500)); len(ended) != 0 {
		t.Errorf("runs end although their start may be carried out late: %v", ended)
	}
}

// Guards against a second run of a task: a start that the next incarnation of a worker confirmed
// before its first report is under a lease of that incarnation.
func TestRunConfirmedBeforeTheFirstReportOfAnIncarnationIsKept(t *testing.T) {
	tr := newTracker()
	tr.ApplyReport(lease.Renewal{}, report(5001, nil), at(0), at(1))
	recordStart(tr, "a", 1, at(2))
	tr.RecordResponse(10, at(5))
	tr.ConfirmStart("a", 1, at(5))
	r := report(12, []lease.Active{{Task: "a", Run: 1}})
	r.Incarnation = 2
	tr.ApplyReport(lease.Renewal{}, r, at(6), at(7))
	if diff := cmp.Diff([]lease.EndedRun(nil), tr.ExpireRuns(at(900))); diff != "" {
		t.Errorf("ended within the lease (-want +got):\n%s", diff)
	}
	want := []lease.EndedRun{{Task: "a", Run: 1, Reason: lease.Lost}}
	if diff := cmp.Diff(want, tr.ExpireRuns(at(1200))); diff != "" {
		t.Errorf("ended after the lease (-want +got):\n%s", diff)
	}
}

// A start that was sent twice may be carried out late by the next incarnation of the worker,
// which does not remember that the run was already there.
func TestLateStartsAreStoppedAfterARestart(t *testing.T) {
	tr := newTracker()
	tr.ApplyReport(lease.Renewal{}, report(5001, nil), at(0), at(1))
	recordStart(tr, "ended", 1, at(2))
	recordStart(tr, "runs", 2, at(2))
	for task, run := range map[string]int64{"ended": 1, "runs": 2} {
		if until, ok := tr.RecordResend(task, run, at(32), at(1_000_000)); !ok || until != 6032 {
			t.Errorf("%s is sent again until %d, %v", task, until, ok)
		}
		tr.ConfirmStart(task, run, at(33))
	}
	tr.ApplyReport(lease.Renewal{}, report(5060, []lease.Active{{Task: "runs", Run: 2}}, lease.EndedRun{Sequence: 1, Task: "ended", Run: 1, Reason: lease.Done}), at(59), at(60))
	if tr.HasUnconfirmed() {
		t.Error("runs of this incarnation stay unconfirmed")
	}

	r := report(10, nil)
	r.Incarnation = 2
	if ended := tr.ApplyReport(lease.Renewal{}, r, at(100), at(101)); len(ended) != 0 {
		t.Errorf("runs end although a late start may still arrive: %v", ended)
	}
	stops, _ := tr.Unconfirmed(at(102))
	slices.SortFunc(stops, func(a, tr lease.Run) int { return strings.Compare(a.Task, tr.Task) })
	want := []lease.Run{{Task: "ended", Number: 1, Needs: needs}, {Task: "runs", Number: 2, Needs: needs}}
	if diff := cmp.Diff(want, stops); diff != "" {
		t.Error(diff)
	}

	for _, s := range stops {
		tr.MarkStopping(s.Task, s.Number, at(103))
	}
	r = report(14, nil)
	r.Incarnation = 2
	if ended := tr.ApplyReport(lease.Renewal{}, r, at(104), at(105)); len(ended) != 2 || tr.Len() != 0 {
		t.Errorf("ended %v, want both runs whose stops are confirmed", ended)
	}
}

func TestLateStartsAreForgotten(t *testing.T) {
	tr := newTracker()
	tr.ApplyReport(lease.Renewal{}, report(5001, nil), at(0), at(1))
	recordStart(tr, "a", 1, at(2))
	tr.MarkUnconfirmed("a", 1, at(32))
	tr.Remove("a", 1)
	r := report(10, nil)
	r.Incarnation = 2
	tr.ApplyReport(lease.Renewal{}, r, at(13_000), at(13_001))
	if tr.Len() != 0 {
		t.Errorf("runs %v", tr.Runs())
	}
}

// The stop of a run got no response, and a report lists the run.
func TestUnwantedRunIsStoppedAgain(t *testing.T) {
	tr := newTracker()
	recordStart(tr, "a", 1, at(0))
	tr.ConfirmStart("a", 1, at(1))
	tr.MarkUnwanted("a", 1)
	tr.MarkUnconfirmed("a", 1, at(60))
	tr.ApplyReport(lease.Renewal{}, report(5062, []lease.Active{{Task: "a", Run: 1}}), at(61), at(62))
	stops, more := tr.Unconfirmed(at(62))
	if diff := cmp.Diff([]lease.Run{{Task: "a", Number: 1, Needs: needs}}, stops); diff != "" || !more {
		t.Errorf("more %v, %s", more, diff)
	}
}

// The reserved resources are the sum over the tracked runs after any sequence of events.
func TestReservationsMatchTheTrackedRuns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tr := newTracker()
		now := 0
		for run := int64(1); run < 60; run++ {
			now += rapid.IntRange(0, 300).Draw(t, "pass")
			task := fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "task"))
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0:
				if !tr.Has(task) {
					recordStart(tr, task, run, at(now))
				}
			case 1:
				tr.ConfirmStart(task, run-1, at(now))
			case 2:
				tr.MarkUnconfirmed(task, run-1, at(now))
			case 3:
				tr.MarkStopping(task, run-1, at(now))
			case 4:
				tr.Remove(task, run-1)
			case 5:
				tr.ExpireRuns(at(now))
			case 7:
				tr.RecordResend(task, run-1, at(now), at(1_000_000))
			case 8:
				tr.MarkUnwanted(task, run-1)
			case 9:
				r := report(int64(now), []lease.Active{{Task: task, Run: run}})
				r.Incarnation = run
				tr.ApplyReport(lease.Renewal{}, r, at(now-1), at(now))
				tr.Adopt(task, needs, at(now))
			case 6:
				tr.ApplyReport(lease.Renewal{}, report(int64(5000+now), nil, lease.EndedRun{Sequence: run, Task: task, Run: run - 1, Reason: lease.Done}), at(now-1), at(now))
			}
			var used model.Resources
			for _, h := range tr.Runs() {
				used = used.Plus(h.Needs)
			}
			if diff := cmp.Diff(capacity.Minus(used), tr.Free()); diff != "" {
				t.Fatal(diff)
			}
		}
	})
}

func ExampleClock() {
	var c lease.Clock
	received := time.Unix(1000, 0)
	c.Set(482_113, received)
	fmt.Println(c.At(received.Add(time.Second)))
	fmt.Println(c.PassedAt(483_113).Sub(received)) // a clock may be 2% slow
	// Output:
	// 483113
	// 1.02s
}

// Guards against a worker that is unused since the start of a cancelled run got no response: its stop was
// confirmed.
func TestStartWithoutAResponseIsNoMissedStop(t *testing.T) {
	tr := newTracker()
	recordStart(tr, "a", 1, at(0))
	tr.MarkUnwanted("a", 1)
	var got []bool
	record := func(change func()) {
		change()
		got = append(got, tr.HasMissedStop())
	}
	record(func() { tr.MarkStopping("a", 1, at(1)) })
	record(func() { tr.MarkUnconfirmed("a", 1, at(30)) })
	record(func() { tr.MarkStopMissed("a", 1) })
	record(func() { tr.MarkStopping("a", 1, at(40)) })
	record(func() { tr.MarkStopMissed("a", 1) })
	record(func() { tr.Remove("a", 1) })
	if diff := cmp.Diff([]bool{false, false, true, false, true, false}, got); diff != "" {
		t.Errorf("missed stop (-want +got):\n%s", diff)
	}
}

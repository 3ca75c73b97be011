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

// known returns a book whose worker's clock was 5000 at the start.
func known() *lease.Tracker {
	b := lease.NewTracker(capacity, time.Second)
	b.RecordResponse(5000, start)
	return b
}

func report(clock int64, active []lease.Active, ended ...lease.EndedRun) lease.Report {
	return lease.Report{Reply: lease.Reply{Clock: clock}, Incarnation: 1, Active: active, Ended: ended}
}

func order(b *lease.Tracker, task string, run int64, now time.Time) {
	b.RecordStart(lease.Run{Task: task, Number: run, Needs: needs}, b.GrantLease(now), now)
}

func TestRunClaimsItsNeedsUntilItsEndIsListed(t *testing.T) {
	b := known()
	order(b, "a", 1, at(0))
	b.ConfirmStart("a", 1, at(1))
	free := capacity.Minus(needs)
	if diff := cmp.Diff(free, b.Free()); diff != "" {
		t.Error(diff)
	}

	b.MarkStopping("a", 1, at(10))
	if diff := cmp.Diff(free, b.Free()); diff != "" {
		t.Errorf("what is being stopped still counts: %s", diff)
	}

	end := lease.EndedRun{Sequence: 1, Task: "a", Run: 1, Reason: lease.Stopped}
	over := b.ApplyReport(lease.Renewal{}, report(5040, nil, end), at(39), at(40))
	if diff := cmp.Diff([]lease.EndedRun{end}, over); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff(capacity, b.Free()); diff != "" {
		t.Error(diff)
	}
}

func TestEndIsTakenOnce(t *testing.T) {
	b := known()
	order(b, "a", 1, at(0))
	b.ConfirmStart("a", 1, at(1))
	r := report(5040, nil, lease.EndedRun{Sequence: 3, Task: "a", Run: 1, Reason: lease.Done})
	first, second := b.ApplyReport(lease.Renewal{}, r, at(39), at(40)), b.ApplyReport(lease.Renewal{}, r, at(41), at(42))
	if len(first) != 1 || len(second) != 0 {
		t.Errorf("%v, then %v", first, second)
	}
	if !b.HasUnackedEnds() {
		t.Error("the worker still lists the end")
	}
	b.ApplyReport(lease.Renewal{LastEndSeen: b.LastEndSeen()}, report(5050, nil), at(49), at(50))
	if b.HasUnackedEnds() {
		t.Error("the end was acknowledged")
	}
}

// A report may have been made before a start that was answered meanwhile.
func TestReportThatIsOlderThanTheStartProvesNothing(t *testing.T) {
	b := known()
	order(b, "a", 1, at(10))
	b.ConfirmStart("a", 1, at(11))
	if over := b.ApplyReport(lease.Renewal{}, report(5012, nil), at(5), at(12)); len(over) != 0 {
		t.Errorf("%v", over)
	}
	over := b.ApplyReport(lease.Renewal{}, report(5014, nil), at(13), at(14))
	if diff := cmp.Diff([]lease.EndedRun{{Task: "a", Run: 1, Reason: lease.Lost}}, over); diff != "" {
		t.Error(diff)
	}
}

// Reports on different connections overtake each other: the older one lists a run
// that the newer one told to have ended.
func TestReportThatWasOvertakenBringsNoRunBack(t *testing.T) {
	b := known()
	order(b, "a", 1, at(0))
	b.ConfirmStart("a", 1, at(1))
	end := lease.EndedRun{Sequence: 1, Task: "a", Run: 1, Reason: lease.Done}
	b.ApplyReport(lease.Renewal{}, report(5060, nil, end), at(20), at(62))
	for _, clock := range []int64{5058, 5060} {
		if over := b.ApplyReport(lease.Renewal{}, report(clock, []lease.Active{{Task: "a", Run: 1}}), at(57), at(63)); len(over) != 0 || b.Len() != 0 {
			t.Errorf("clock %d: over %v, held %v", clock, over, b.Runs())
		}
	}
	order(b, "b", 2, at(64))
	b.ConfirmStart("b", 2, at(65))
	if over := b.ApplyReport(lease.Renewal{}, report(5059, nil), at(66), at(67)); len(over) != 0 {
		t.Errorf("a report from before the start: %v", over)
	}
}

// A start without an answer may be carried out until its lease is over on the
// worker's clock, and what was carried out lives as long as any renewal.
func TestUnansweredStart(t *testing.T) {
	b := known()
	order(b, "a", 1, at(0)) // until 6000 on the worker's clock
	b.MarkUnconfirmed("a", 1, at(1))
	if over := b.ApplyReport(lease.Renewal{}, report(5900, nil), at(899), at(900)); len(over) != 0 {
		t.Errorf("it could still be carried out, and is over: %v", over)
	}
	if stops, more := b.Unconfirmed(at(900)); len(stops) != 1 || !more {
		t.Errorf("stops %v, more %v", stops, more)
	}
	if over := b.ApplyReport(lease.Renewal{}, report(6001, nil), at(1001), at(1002)); len(over) != 1 {
		t.Errorf("it can't be carried out any more: %v", over)
	}

	order(b, "b", 2, at(1002))
	b.MarkUnconfirmed("b", 2, at(1003))
	b.ApplyReport(lease.Renewal{}, report(6005, []lease.Active{{Task: "b", Run: 2}}), at(1004), at(1005))
	if _, more := b.Unconfirmed(at(1005)); more {
		t.Error("a run that is listed is settled")
	}
}

func TestUnreachableWorkersRunsAreOverWithTheLastLease(t *testing.T) {
	b := known()
	order(b, "a", 1, at(0))
	b.ConfirmStart("a", 1, at(1))
	b.GrantLease(at(500)) // a renewal without an answer
	if over := b.ExpireRuns(at(1540)); len(over) != 0 {
		t.Errorf("the renewal may have been carried out: %v", over)
	}
	if over := b.ExpireRuns(at(1700)); len(over) != 1 {
		t.Errorf("the lease is over: %v", over)
	}
	if over := b.ExpireRuns(at(1800)); len(over) != 0 {
		t.Errorf("again: %v", over)
	}
}

func TestRunsOfAnEarlierHomeClaimAllUntilTheyAreClaimed(t *testing.T) {
	b := known()
	b.ApplyReport(lease.Renewal{}, report(5001, []lease.Active{{Task: "a", Run: 7}}), at(0), at(1))
	if diff := cmp.Diff(model.Resources{}, b.Free()); diff != "" {
		t.Error(diff)
	}
	run, ok := b.Adopt("a", needs, at(2))
	if !ok || run != 7 {
		t.Errorf("run %d, %v", run, ok)
	}
	if diff := cmp.Diff(capacity.Minus(needs), b.Free()); diff != "" {
		t.Error(diff)
	}
	if _, ok := b.Adopt("a", needs, at(3)); ok {
		t.Error("claimed twice")
	}
}

func TestNewLifeOfAWorkerKnowsNothing(t *testing.T) {
	b := known()
	b.ApplyReport(lease.Renewal{}, report(5001, nil), at(0), at(1))
	order(b, "a", 1, at(2))
	b.ConfirmStart("a", 1, at(3))
	r := report(10, nil, lease.EndedRun{Sequence: 1, Task: "z", Run: 9, Reason: lease.Done})
	r.Incarnation = 2
	over := b.ApplyReport(lease.Renewal{}, r, at(10), at(11))
	if diff := cmp.Diff([]lease.EndedRun{{Task: "a", Run: 1, Reason: lease.Lost}}, over); diff != "" {
		t.Error(diff)
	}
	if b.LastEndSeen() != 1 {
		t.Errorf("seen %d: the numbers start anew", b.LastEndSeen())
	}
	if got := b.GrantLease(at(11)); got != 1010 {
		t.Errorf("lease until %d on the new clock", got)
	}
}

// A start that was on its way when the worker crashed is carried out by its new
// life: the run must not be taken as lost, or it starts a second time.
func TestStartThatTheNewLifeCarriedOutIsKept(t *testing.T) {
	b := known()
	b.ApplyReport(lease.Renewal{}, report(5001, nil), at(0), at(1))
	order(b, "listed", 1, at(2))
	b.ConfirmStart("listed", 1, at(5))
	order(b, "onItsWay", 2, at(3))
	r := report(10, []lease.Active{{Task: "listed", Run: 1}})
	r.Incarnation = 2
	if over := b.ApplyReport(lease.Renewal{}, r, at(6), at(7)); len(over) != 0 {
		t.Errorf("%v", over)
	}
	b.MarkUnconfirmed("onItsWay", 2, at(8))
	if over := b.ExpireRuns(at(1500)); len(over) != 0 {
		t.Errorf("an order may be carried out late: %v", over)
	}
}

// A start that was sent twice may be carried out late by a new life of the worker,
// which does not know that the run was there already.
func TestNewLifeIsToldToStopLateStarts(t *testing.T) {
	b := known()
	b.ApplyReport(lease.Renewal{}, report(5001, nil), at(0), at(1))
	order(b, "ended", 1, at(2))
	order(b, "runs", 2, at(2))
	for task, run := range map[string]int64{"ended": 1, "runs": 2} {
		if until, ok := b.RecordResend(task, run, at(32)); !ok || until != 6032 {
			t.Errorf("%s is sent again until %d, %v", task, until, ok)
		}
		b.ConfirmStart(task, run, at(33))
	}
	b.ApplyReport(lease.Renewal{}, report(5060, []lease.Active{{Task: "runs", Run: 2}}, lease.EndedRun{Sequence: 1, Task: "ended", Run: 1, Reason: lease.Done}), at(59), at(60))
	if b.HasUnconfirmed() {
		t.Error("both runs are settled in this life")
	}

	r := report(10, nil)
	r.Incarnation = 2
	if over := b.ApplyReport(lease.Renewal{}, r, at(100), at(101)); len(over) != 0 {
		t.Errorf("a late start may still come: %v", over)
	}
	stops, _ := b.Unconfirmed(at(102))
	slices.SortFunc(stops, func(a, b lease.Run) int { return strings.Compare(a.Task, b.Task) })
	want := []lease.Run{{Task: "ended", Number: 1, Needs: needs}, {Task: "runs", Number: 2, Needs: needs}}
	if diff := cmp.Diff(want, stops); diff != "" {
		t.Error(diff)
	}

	for _, s := range stops {
		b.MarkStopping(s.Task, s.Number, at(103))
	}
	r = report(14, nil)
	r.Incarnation = 2
	if over := b.ApplyReport(lease.Renewal{}, r, at(104), at(105)); len(over) != 2 || b.Len() != 0 {
		t.Errorf("the stops are confirmed: %v", over)
	}
}

func TestStartsOfLongAgoAreNotLate(t *testing.T) {
	b := known()
	b.ApplyReport(lease.Renewal{}, report(5001, nil), at(0), at(1))
	order(b, "a", 1, at(2))
	b.MarkUnconfirmed("a", 1, at(32))
	b.Remove("a", 1)
	r := report(10, nil)
	r.Incarnation = 2
	b.ApplyReport(lease.Renewal{}, r, at(13_000), at(13_001))
	if b.Len() != 0 {
		t.Errorf("%v", b.Runs())
	}
}

// The stop of a run got no answer, and a report lists the run.
func TestUnwantedRunIsStoppedAgain(t *testing.T) {
	b := known()
	order(b, "a", 1, at(0))
	b.ConfirmStart("a", 1, at(1))
	b.MarkUnwanted("a", 1)
	b.MarkUnconfirmed("a", 1, at(60))
	b.ApplyReport(lease.Renewal{}, report(5062, []lease.Active{{Task: "a", Run: 1}}), at(61), at(62))
	stops, more := b.Unconfirmed(at(62))
	if diff := cmp.Diff([]lease.Run{{Task: "a", Number: 1, Needs: needs}}, stops); diff != "" || !more {
		t.Errorf("more %v, %s", more, diff)
	}
}

// Whatever comes in whatever order, the claims of the book are those of its
// runs, and end with them.
func TestClaimsNeverDrift(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := known()
		now := 0
		for run := int64(1); run < 60; run++ {
			now += rapid.IntRange(0, 300).Draw(t, "pass")
			task := fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "task"))
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0:
				if !b.Has(task) {
					order(b, task, run, at(now))
				}
			case 1:
				b.ConfirmStart(task, run-1, at(now))
			case 2:
				b.MarkUnconfirmed(task, run-1, at(now))
			case 3:
				b.MarkStopping(task, run-1, at(now))
			case 4:
				b.Remove(task, run-1)
			case 5:
				b.ExpireRuns(at(now))
			case 7:
				b.RecordResend(task, run-1, at(now))
			case 8:
				b.MarkUnwanted(task, run-1)
			case 9:
				r := report(int64(now), []lease.Active{{Task: task, Run: run}})
				r.Incarnation = run
				b.ApplyReport(lease.Renewal{}, r, at(now-1), at(now))
				b.Adopt(task, needs, at(now))
			case 6:
				b.ApplyReport(lease.Renewal{}, report(int64(5000+now), nil, lease.EndedRun{Sequence: run, Task: task, Run: run - 1, Reason: lease.Done}), at(now-1), at(now))
			}
			var used model.Resources
			for _, h := range b.Runs() {
				used = used.Plus(h.Needs)
			}
			if diff := cmp.Diff(capacity.Minus(used), b.Free()); diff != "" {
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

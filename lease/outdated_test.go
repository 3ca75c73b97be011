package lease_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"foxtailmux/lease"
)

// Guards against runs that count as lost, or starts as confirmed, by a second response to an earlier
// request.
func TestResponsesFromBeforeTheirRequestAreOutdated(t *testing.T) {
	cases := map[string]struct {
		clock int64
		sent  int // milliseconds after the worker's clock was at 5000
		want  bool
	}{
		"made after the request":               {5301, 300, false},
		"in the same millisecond":              {5300, 300, false},
		"by a clock that is 2% slow":           {5294, 300, false},
		"copy of the last response":            {5000, 300, true},
		"made shortly before the request":      {5290, 300, true},
		"of a request before the last reading": {4980, -20, false},
		"long before the last reading":         {4900, -20, true},
		"without the clock":                    {0, 300, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if diff := cmp.Diff(c.want, newTracker().IsOutdated(c.clock, at(c.sent))); diff != "" {
				t.Errorf("outdated (-want +got):\n%s", diff)
			}
		})
	}
}

// A worker whose clock went back without a new incarnation must not stay unused for good.
func TestClockIsCorrectedAfterOutdatedResponsesInARow(t *testing.T) {
	tr := newTracker()
	var got []bool
	for i := range 6 {
		clock, now := int64(1000+10*i), at(10*i)
		outdated := tr.IsOutdated(clock, now)
		if !outdated {
			tr.RecordResponse(clock, now)
		}
		got = append(got, outdated)
	}
	if diff := cmp.Diff([]bool{true, true, true, false, false, false}, got); diff != "" {
		t.Errorf("outdated (-want +got):\n%s", diff)
	}
}

// Guards against a task that runs twice: a lease that was granted before the corrected clock was known ended in
// 292 million years, which counted as over.
func TestNoLeaseIsGrantedByAnUnknownClock(t *testing.T) {
	tr := newTracker()
	tr.RecordStart(lease.Run{Task: "a", Number: 1}, tr.GrantLease(at(0), at(0).Add(time.Hour)), at(0))
	for i := range 4 {
		tr.IsOutdated(int64(1000+10*i), at(10*i))
	}
	until := tr.GrantLease(at(35), at(35).Add(time.Hour))
	tr.RecordResponse(1030, at(40))
	ended := tr.ExpireRuns(at(40))
	if until > 1035+1000 || len(ended) > 0 {
		t.Errorf("lease until %d of a clock at 1035, ended runs %v", until, ended)
	}
}

// The clock of another incarnation starts anew. A report of the earlier one that is read after it
// must not bring the earlier one back.
func TestReportsOfAnotherIncarnation(t *testing.T) {
	tr := newTracker()
	tr.ApplyReport(lease.Renewal{}, report(5010, nil), at(9), at(10))
	next := lease.Report{Reply: lease.Reply{Clock: 20}, Incarnation: 2}
	if tr.IsOutdatedReport(next, at(99)) {
		t.Error("the first report of the next incarnation is outdated")
	}
	tr.ApplyReport(lease.Renewal{}, next, at(99), at(100))
	if !tr.IsOutdatedReport(report(5090, nil), at(90)) {
		t.Error("a report of the earlier incarnation is not outdated")
	}
	if diff := cmp.Diff(int64(20), tr.Clock.At(at(100))); diff != "" {
		t.Errorf("clock (-want +got):\n%s", diff)
	}
}

// A reading that was under way for long does not set the clock back, so that leases keep their length.
func TestDelayedReadingDoesNotSetTheClockBack(t *testing.T) {
	var c lease.Clock
	c.Set(5000, start)
	c.Set(5100, start.Add(400*time.Millisecond))
	if diff := cmp.Diff(int64(5400), c.At(at(400))); diff != "" {
		t.Errorf("clock (-want +got):\n%s", diff)
	}
}

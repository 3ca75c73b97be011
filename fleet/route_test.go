package fleet

import (
	"io"
	"testing"

	"github.com/google/go-cmp/cmp"

	"foxtailmux/home"
	"foxtailmux/peer"
)

// step is one attempt of a job at a home and the expected decision.
type step struct {
	dataCentre string
	outcome    home.Outcome
	err        error
	want       decision
	target     string
}

var (
	notSent     = &peer.Error{Kind: peer.NotSent, Err: errNotHome}
	unconfirmed = &peer.Error{Kind: peer.Unconfirmed, Err: io.ErrUnexpectedEOF}
)

func outcomeOf(r home.Result) home.Outcome { return home.Outcome{Result: r} }

func TestForwarding(t *testing.T) {
	redirected := home.Outcome{Result: home.Redirected, DataCentre: "tvm"}
	cases := map[string]struct {
		steps   []step
		failure home.Result
	}{
		"answered": {[]step{{dataCentre: "kochi", outcome: outcomeOf(home.Succeeded), want: returnOutcome, target: "kochi"}}, home.Refused},
		"sent elsewhere and back": {[]step{
			{dataCentre: "kochi", outcome: redirected, want: tryTarget, target: "tvm"},
			{dataCentre: "tvm", outcome: outcomeOf(home.Busy), want: tryTarget, target: "kochi"},
		}, home.Refused},
		"home not reached": {[]step{
			{dataCentre: "kochi", err: notSent, want: tryTarget, target: "kochi"},
		}, home.Refused},
		"home lost": {[]step{
			{dataCentre: "kochi", err: unconfirmed, want: retryAtLaterHome, target: "kochi"},
		}, home.Lost},
		"moved while elsewhere stays there": {[]step{
			{dataCentre: "kochi", outcome: redirected, want: tryTarget, target: "tvm"},
			{dataCentre: "tvm", outcome: outcomeOf(home.Moved), want: retryAtLaterHome, target: "tvm"},
			{dataCentre: "tvm", err: notSent, want: tryTarget, target: "tvm"},
		}, home.Lost},
		"no home here after a move stays there": {[]step{
			{dataCentre: "kochi", outcome: outcomeOf(home.Moved), want: retryAtLaterHome, target: "kochi"},
			{dataCentre: "kochi", err: errNotHome, want: tryTarget, target: "kochi"},
		}, home.Lost},
	}
	for name, c := range cases {
		j := newForwarding("kochi")
		for i, s := range c.steps {
			if got := j.decide(s.dataCentre, s.outcome, s.err); got != s.want || j.target != s.target {
				t.Errorf("%s, step %d: decision %d for %s, want %d to %s", name, i, got, j.target, s.want, s.target)
			}
		}
		if got := j.failure().Result; got != c.failure {
			t.Errorf("%s: final outcome is %q, want %q", name, got, c.failure)
		}
	}
}

func TestLaterHomeReceivesDoneAndBegunTasks(t *testing.T) {
	j := newForwarding("kochi")
	j.decide("kochi", home.Outcome{Result: home.Moved, Done: []string{"a"}, MaybeRunning: []string{"b", "c"}}, nil)
	var s home.Submission
	j.annotate(&s)
	want := home.Submission{Resumed: true, TasksReported: true, Done: []string{"a"}, MaybeRunning: []string{"b", "c"}}
	if diff := cmp.Diff(want, s); diff != "" {
		t.Error(diff)
	}

	j.decide("kochi", home.Outcome{}, unconfirmed)
	s = home.Submission{}
	j.annotate(&s)
	want = home.Submission{Resumed: true, Done: []string{"a"}}
	if diff := cmp.Diff(want, s); diff != "" {
		t.Error(diff)
	}
}

// Guards against a task that runs twice: a submission that arrived at a home as that was closed made its origin
// forget what an earlier home had left running, and against a job that counts as begun without having been.
func TestHomeThatTakesNoSubmissionEndsNoReport(t *testing.T) {
	left := []home.LeftRun{{Task: "b", Worker: "w"}}
	notTaken := home.Outcome{Result: home.Moved, NotTaken: true}
	cases := map[string]struct {
		before []home.Outcome
		want   home.Submission
	}{
		"new":    {nil, home.Submission{}},
		"begun":  {[]home.Outcome{{Result: home.Moved, MaybeRunning: []string{"b"}, LeftRuns: left}}, home.Submission{Resumed: true, TasksReported: true, MaybeRunning: []string{"b"}, LeftRuns: left}},
		"handed": {[]home.Outcome{{Result: home.Drained, Begun: true}}, home.Submission{Resumed: true, TasksReported: true}},
	}
	for name, c := range cases {
		j := newForwarding("kochi")
		for _, o := range c.before {
			j.decide("kochi", o, nil)
		}
		if got := j.decide("kochi", notTaken, nil); got != retryAtLaterHome {
			t.Errorf("%s: decision %d", name, got)
		}
		var s home.Submission
		j.annotate(&s)
		if diff := cmp.Diff(c.want, s); diff != "" {
			t.Errorf("%s (-want +got):\n%s", name, diff)
		}
	}
	if mayHaveBegun(notTaken, nil) {
		t.Error("a submission that was not taken counts as begun")
	}
}

package fleet

import (
	"io"
	"testing"

	"github.com/google/go-cmp/cmp"

	"foxtailmux/home"
	"foxtailmux/peer"
)

// step is one try of a job and what is decided on it.
type step struct {
	at      string
	outcome home.Outcome
	err     error
	turn    nextStep
	target  string
}

var (
	notSent = &peer.Error{Kind: peer.NotSent, Err: errNoHome}
	unknown = &peer.Error{Kind: peer.Unconfirmed, Err: io.ErrUnexpectedEOF}
)

func verdict(v home.Result) home.Outcome { return home.Outcome{Result: v} }

func TestForwarding(t *testing.T) {
	redirected := home.Outcome{Result: home.Redirected, DataCentre: "tvm"}
	cases := map[string]struct {
		steps []step
		end   home.Result
	}{
		"answered": {[]step{{at: "kochi", outcome: verdict(home.Succeeded), turn: answered, target: "kochi"}}, home.Refused},
		"sent elsewhere and back": {[]step{
			{at: "kochi", outcome: redirected, turn: tryNext, target: "tvm"},
			{at: "tvm", outcome: verdict(home.Busy), turn: tryNext, target: "kochi"},
		}, home.Refused},
		"home not reached": {[]step{
			{at: "kochi", err: notSent, turn: tryNext, target: "kochi"},
		}, home.Refused},
		"home lost": {[]step{
			{at: "kochi", err: unknown, turn: awaitLater, target: "kochi"},
		}, home.Lost},
		"moved while elsewhere stays there": {[]step{
			{at: "kochi", outcome: redirected, turn: tryNext, target: "tvm"},
			{at: "tvm", outcome: verdict(home.Moved), turn: awaitLater, target: "tvm"},
			{at: "tvm", err: notSent, turn: tryNext, target: "tvm"},
		}, home.Lost},
		"no home here after a move stays there": {[]step{
			{at: "kochi", outcome: verdict(home.Moved), turn: awaitLater, target: "kochi"},
			{at: "kochi", err: errNoHome, turn: tryNext, target: "kochi"},
		}, home.Lost},
	}
	for name, c := range cases {
		j := newForwarding("kochi")
		for i, s := range c.steps {
			if got := j.take(s.at, s.outcome, s.err); got != s.turn || j.target != s.target {
				t.Errorf("%s, step %d: turn %d to %s, want %d to %s", name, i, got, j.target, s.turn, s.target)
			}
		}
		if got := j.end().Result; got != c.end {
			t.Errorf("%s: ends as %q, want %q", name, got, c.end)
		}
	}
}

func TestLaterHomeIsToldWhatRan(t *testing.T) {
	j := newForwarding("kochi")
	j.take("kochi", home.Outcome{Result: home.Moved, Done: []string{"a"}, MaybeRunning: []string{"b", "c"}}, nil)
	var s home.Submission
	j.mark(&s)
	want := home.Submission{Resumed: true, TasksReported: true, Done: []string{"a"}, MaybeRunning: []string{"b", "c"}}
	if diff := cmp.Diff(want, s); diff != "" {
		t.Error(diff)
	}

	j.take("kochi", home.Outcome{}, unknown)
	s = home.Submission{}
	j.mark(&s)
	want = home.Submission{Resumed: true, Done: []string{"a"}}
	if diff := cmp.Diff(want, s); diff != "" {
		t.Error(diff)
	}
}

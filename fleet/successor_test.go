package fleet

import (
	"testing"
	"time"

	"foxtailmux/beat"
)

func instance(name, dc string, cores float64, homeCount int) candidate {
	return candidate{peer: beat.Peer{Instance: name, DataCentre: dc, Cores: cores}, homeCount: homeCount}
}

func TestPickSuccessor(t *testing.T) {
	cases := []struct {
		name       string
		candidates []candidate
		want       string
	}{
		{"same data centre before more cores", []candidate{instance("far", "tvm", 2, 0), instance("near", "kochi", 0.2, 3)}, "near"},
		{"more cores before fewer homes", []candidate{instance("weak", "kochi", 0.19, 0), instance("strong", "kochi", 0.8, 1)}, "strong"},
		{"fewer homes among equals", []candidate{instance("busy", "kochi", 0.4, 1), instance("idle", "kochi", 0.4, 0)}, "idle"},
		{"another data centre if none is in this one", []candidate{instance("a", "tvm", 0.4, 1), instance("b", "tvm", 0.4, 0)}, "b"},
	}
	for _, c := range cases {
		if got := pickSuccessor("kochi", c.candidates); got != c.want {
			t.Errorf("%s: %q, want %q", c.name, got, c.want)
		}
	}
}

func TestNeedsSuccessor(t *testing.T) {
	owner := homeRow{Instance: "a", Incarnation: "2"}
	status := func(incarnation string, leaving bool) beat.Status {
		return beat.Status{Heartbeat: beat.Heartbeat{Instance: "a", Incarnation: incarnation, Leaving: leaving}}
	}
	slow := status("2", false)
	slow.Slow = true
	cases := []struct {
		name  string
		known ownership
		want  bool
	}{
		{"no owner", ownership{sinceChange: time.Hour}, true},
		{"alive", ownership{owner: owner, status: status("2", false), alive: true, sinceChange: time.Hour}, false},
		{"leaving", ownership{owner: owner, status: status("2", true), alive: true}, true},
		{"slow for a long time", ownership{owner: owner, status: slow, alive: true, sinceChange: time.Hour}, true},
		{"slow, and this instance is weaker", ownership{owner: owner, status: slow, alive: true, weaker: true, sinceChange: time.Hour}, false},
		{"slow, but just became the home", ownership{owner: owner, status: slow, alive: true, sinceChange: 3 * time.Second}, false},
		{"no heartbeats", ownership{owner: owner, sinceChange: time.Hour}, true},
		{"restarted since", ownership{owner: owner, status: status("3", false), alive: true, sinceChange: time.Hour}, true},
		{"just claimed, heartbeats of its old incarnation", ownership{owner: owner, status: status("1", false), alive: true, sinceChange: 20 * time.Millisecond}, false},
		{"just claimed, no heartbeats yet", ownership{owner: owner, sinceChange: 20 * time.Millisecond}, false},
		{"in another data centre", ownership{owner: owner, status: status("2", false), alive: true, canReturn: true, sinceChange: time.Hour}, true},
		{"in another data centre, even if this instance is weaker", ownership{owner: owner, status: status("2", false), alive: true, canReturn: true, weaker: true, sinceChange: time.Hour}, true},
		{"in another data centre, but just became the home", ownership{owner: owner, status: status("2", false), alive: true, canReturn: true, sinceChange: 3 * time.Second}, false},
	}
	for _, c := range cases {
		if got := c.known.needsSuccessor(); got != c.want {
			t.Errorf("%s: needs a successor: %v", c.name, got)
		}
	}
}

func TestHomeReturnsToAnInstanceThatIsUp(t *testing.T) {
	near, far := beat.Peer{Instance: "near", DataCentre: "kochi"}, beat.Peer{Instance: "far", DataCentre: "tvm"}
	for name, c := range map[string]struct {
		self, owner beat.Peer
		up          time.Duration
		want        bool
	}{
		"owner elsewhere":                {near, far, time.Minute, true},
		"just started":                   {near, far, time.Second, false},
		"owner in the data centre":       {near, beat.Peer{Instance: "other", DataCentre: "kochi"}, time.Minute, false},
		"this instance is elsewhere too": {far, beat.Peer{Instance: "other", DataCentre: "tvm"}, time.Minute, false},
		"owner that is not in the table": {near, beat.Peer{}, time.Minute, false},
	} {
		if got := canReturn(c.self, c.owner, "kochi", c.up); got != c.want {
			t.Errorf("%s: %v", name, got)
		}
	}
}

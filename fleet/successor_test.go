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
		name       string
		owner      homeRow
		status     beat.Status
		alive      bool
		weaker     bool
		sinceClaim time.Duration
		want       bool
	}{
		{"no owner", homeRow{}, beat.Status{}, false, false, time.Hour, true},
		{"alive", owner, status("2", false), true, false, time.Hour, false},
		{"leaving", owner, status("2", true), true, false, 0, true},
		{"slow for a long time", owner, slow, true, false, time.Hour, true},
		{"slow, and this instance is weaker", owner, slow, true, true, time.Hour, false},
		{"slow, but just became the home", owner, slow, true, false, 3 * time.Second, false},
		{"no heartbeats", owner, beat.Status{}, false, false, time.Hour, true},
		{"restarted since", owner, status("3", false), true, false, time.Hour, true},
		{"just claimed, heartbeats of its old incarnation", owner, status("1", false), true, false, 20 * time.Millisecond, false},
		{"just claimed, no heartbeats yet", owner, beat.Status{}, false, false, 20 * time.Millisecond, false},
	}
	for _, c := range cases {
		if got := needsSuccessor(c.owner, c.status, c.alive, c.weaker, c.sinceClaim); got != c.want {
			t.Errorf("%s: needs a successor: %v", c.name, got)
		}
	}
}

package fleet

import (
	"testing"
	"time"

	"foxtailmux/beat"
)

func instance(name, dc string, processor float64, homes int) candidate {
	return candidate{peer: beat.Peer{Instance: name, DataCentre: dc, Cores: processor}, homes: homes}
}

func TestSuccessor(t *testing.T) {
	cases := []struct {
		name string
		list []candidate
		want string
	}{
		{"near before strong", []candidate{instance("far", "tvm", 2, 0), instance("near", "kochi", 0.2, 3)}, "near"},
		{"strong before idle", []candidate{instance("weak", "kochi", 0.19, 0), instance("strong", "kochi", 0.8, 1)}, "strong"},
		{"idle of equals", []candidate{instance("busy", "kochi", 0.4, 1), instance("idle", "kochi", 0.4, 0)}, "idle"},
		{"far if none is near", []candidate{instance("a", "tvm", 0.4, 1), instance("b", "tvm", 0.4, 0)}, "b"},
	}
	for _, c := range cases {
		if got := pickSuccessor("kochi", c.list); got != c.want {
			t.Errorf("%s: %q, want %q", c.name, got, c.want)
		}
	}
}

func TestOwnersDoNotTakeTurns(t *testing.T) {
	owner := homeRow{Instance: "a", Incarnation: "2"}
	heard := func(incarnation string, leaving bool) beat.Status {
		return beat.Status{Heartbeat: beat.Heartbeat{Instance: "a", Incarnation: incarnation, Leaving: leaving}}
	}
	slow := heard("2", false)
	slow.Slow = true
	cases := []struct {
		name       string
		owner      homeRow
		member     beat.Status
		heard      bool
		weaker     bool
		sinceClaim time.Duration
		want       bool
	}{
		{"no owner", homeRow{}, beat.Status{}, false, false, time.Hour, true},
		{"alive", owner, heard("2", false), true, false, time.Hour, false},
		{"leaving", owner, heard("2", true), true, false, 0, true},
		{"slow", owner, slow, true, false, time.Hour, true},
		{"slow, and this one is weaker", owner, slow, true, true, time.Hour, false},
		{"slow and home for a moment", owner, slow, true, false, 3 * time.Second, false},
		{"silent", owner, beat.Status{}, false, false, time.Hour, true},
		{"restarted since", owner, heard("3", false), true, false, time.Hour, true},
		{"claimed a moment ago, heard under its old incarnation", owner, heard("1", false), true, false, 20 * time.Millisecond, false},
		{"claimed a moment ago, not heard yet", owner, beat.Status{}, false, false, 20 * time.Millisecond, false},
	}
	for _, c := range cases {
		if got := gone(c.owner, c.member, c.heard, c.weaker, c.sinceClaim); got != c.want {
			t.Errorf("%s: %v", c.name, got)
		}
	}
}

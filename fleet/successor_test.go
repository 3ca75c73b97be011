package fleet

import (
	"testing"

	"foxtailmux/beat"
)

func instance(name, dc string, processor float64, homes int) candidate {
	return candidate{peer: beat.Peer{Instance: name, DataCentre: dc, Processor: processor}, homes: homes}
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

package fleet

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"foxtailmux/home"
	"foxtailmux/model"
)

// A job of 20 tasks at a load at which each data centre has free capacity for a few of them.
func TestWideJobIsSplitByFreeCapacity(t *testing.T) {
	step := model.Step{Replicas: 20, Needs: model.Resources{MilliCores: 27_000}}
	cases := []struct {
		name       string
		capacities []centreCapacity
		want       []centrePart
	}{
		{"most capacity first", []centreCapacity{{"kochi", 4}, {"tvm", 12}, {"thrissur", 9}}, []centrePart{
			{"tvm", home.Part{First: 0, Count: 12}}, {"thrissur", home.Part{First: 12, Count: 8}},
		}},
		{"all data centres", []centreCapacity{{"kochi", 4}, {"tvm", 12}, {"thrissur", 4}}, []centrePart{
			{"tvm", home.Part{First: 0, Count: 12}}, {"kochi", home.Part{First: 12, Count: 4}}, {"thrissur", home.Part{First: 16, Count: 4}},
		}},
		{"too little capacity", []centreCapacity{{"kochi", 4}, {"tvm", 12}}, nil},
	}
	for _, c := range cases {
		if diff := cmp.Diff(c.want, splitTasks(step, c.capacities), cmp.AllowUnexported(centrePart{})); diff != "" {
			t.Errorf("%s: %s", c.name, diff)
		}
	}
}

func TestCombineOutcomes(t *testing.T) {
	cases := []struct {
		parts []home.Result
		want  home.Result
	}{
		{[]home.Result{home.Succeeded, home.Succeeded}, home.Succeeded},
		{[]home.Result{home.Refused, home.Refused}, home.Refused},
		{[]home.Result{home.Succeeded, home.Refused}, home.Lost}, // a part may have run, so the job is never reported as not run
		{[]home.Result{home.Cancelled, home.Refused}, home.Lost},
		{[]home.Result{home.Lost, home.Failed}, home.Failed},
		{[]home.Result{home.Cancelled, home.Lost}, home.Lost},
		{[]home.Result{home.Cancelled, home.Cancelled}, home.Cancelled},
	}
	for _, c := range cases {
		var outcomes []home.Outcome
		for _, v := range c.parts {
			outcomes = append(outcomes, home.Outcome{Result: v})
		}
		if got := combineOutcomes(outcomes).Result; got != c.want {
			t.Errorf("%v: %q, want %q", c.parts, got, c.want)
		}
	}
}

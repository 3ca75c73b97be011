package fleet

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"foxtailmux/home"
	"foxtailmux/model"
)

// Guards against a job that is answered as succeeded without all of its tasks (MIXED): the parts of a
// division leave a task out, or have it twice.
func TestDivisionHasEachTaskOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		step := model.Step{Replicas: rapid.IntRange(1, 40).Draw(t, "tasks")}
		var capacities []centreCapacity
		for _, dc := range []string{"osr-a", "osr-b", "osr-c"} {
			capacities = append(capacities, centreCapacity{dc, rapid.IntRange(-2, 40).Draw(t, dc)})
		}
		parts := splitTasks(step, capacities)
		if parts == nil {
			return
		}
		counts := make([]int, step.Replicas)
		want := make([]int, step.Replicas)
		for _, p := range parts {
			for i := range p.part.Count {
				counts[p.part.First+i]++
			}
		}
		for i := range want {
			want[i] = 1
		}
		if diff := cmp.Diff(want, counts); diff != "" {
			t.Errorf("parts %v (-want +got):\n%s", parts, diff)
		}
	})
}

// Guards against a job that is answered as succeeded (MIXED) or as not run (TWICE, since its caller may
// submit it elsewhere at once) while that holds for some of its parts only.
func TestOutcomeOfADivisionIsThatOfAllParts(t *testing.T) {
	results := []home.Result{
		home.Succeeded, home.Failed, home.Refused, home.Moved, home.Redirected, home.Busy, home.NoCapacity, home.Cancelled, home.Lost,
	}
	for _, a := range results {
		for _, b := range results {
			for _, c := range results {
				parts := []home.Outcome{{Result: a}, {Result: b}, {Result: c}}
				got := combineOutcomes(parts).Result
				for _, r := range []home.Result{home.Succeeded, home.Refused} {
					if want := a == r && b == r && c == r; want != (got == r) {
						t.Errorf("%q, %q, %q: %q", a, b, c, got)
					}
				}
			}
		}
	}
}

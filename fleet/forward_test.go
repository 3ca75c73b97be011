package fleet

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"foxtailmux/home"
	"foxtailmux/model"
)

// After a restart of all instances a job waits for a home only as long as it can still meet
// its objective, and is refused then.
func TestJobsWaitForAHomeOnlyWithinTheirObjective(t *testing.T) {
	const ms = time.Millisecond
	job := func(estimate time.Duration) home.Submission {
		return home.Submission{
			Route: model.Route{Stretch: 1.6, Allowance: 60 * ms},
			Batch: model.Batch{Steps: []model.Step{{Replicas: 8, Estimate: estimate}}},
		}
	}
	got := []time.Duration{
		homeWaitLimit(job(60*ms), false, 0), // the objective is 156 ms
		homeWaitLimit(job(60*ms), false, 100*ms),
		homeWaitLimit(job(60*ms), true, 0),
		homeWaitLimit(job(900*ms), false, 0),
	}
	want := []time.Duration{408 * ms, 308 * ms, homeTimeout, homeTimeout}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

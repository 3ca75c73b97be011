package fleet

import (
	"context"
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
		homeWaitLimit(job(60*ms), false, 0, 0), // the objective is 156 ms
		homeWaitLimit(job(60*ms), false, 100*ms, 0),
		homeWaitLimit(job(60*ms), true, 0, 0),
		homeWaitLimit(job(900*ms), false, 0, 0),
	}
	want := []time.Duration{408 * ms, 308 * ms, homeTimeout, homeTimeout}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// A data centre that is cut off without its home: once a takeover would have ended, its jobs are
// refused at once. A job that a home may have begun still waits.
func TestJobsDoNotWaitForAHomeThatHasBeenMissingForLong(t *testing.T) {
	s := home.Submission{
		Route: model.Route{Stretch: 1.6, Allowance: 60 * time.Millisecond},
		Batch: model.Batch{Steps: []model.Step{{Replicas: 8, Estimate: 900 * time.Millisecond}}},
	}
	got := []time.Duration{
		homeWaitLimit(s, false, 0, time.Second),
		max(homeWaitLimit(s, false, 0, homeTimeout), 0),
		max(homeWaitLimit(s, false, 0, time.Hour), 0),
		homeWaitLimit(s, true, 0, time.Hour),
	}
	want := []time.Duration{homeTimeout - time.Second, 0, 0, homeTimeout}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// Guards against a task that is started although its caller has left: after a pause of the origin the home
// that a job waits for is there, and its caller has left.
func TestJobWhoseCallerHasLeftGoesToNoHome(t *testing.T) {
	in := &Instance{changed: newNotifier()}
	left, cancel := context.WithCancel(t.Context())
	cancel()
	got := map[string]bool{}
	for name, ctx := range map[string]context.Context{"waits": t.Context(), "has left": left} {
		got[name] = in.await(ctx, time.Second, func() bool { return true })
	}
	if diff := cmp.Diff(map[string]bool{"waits": true, "has left": false}, got); diff != "" {
		t.Errorf("job goes to a home whose caller (-want +got):\n%s", diff)
	}
}

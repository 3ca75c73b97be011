package plan_test

import (
	"testing"
	"time"

	"foxtailmux/plan"
)

// Load above the capacity of all data centres, 300 jobs a second at one instance, none of which can
// be divided: few of them ask, also of those that arrive before the first answer. As soon as one
// can be divided, all may ask again.
func TestFewJobsAskForCapacityThatIsNotThere(t *testing.T) {
	var a plan.AskPause
	now, asked := start, 0
	a.Record(false, now)
	for range 400 {
		now = now.Add(10 * ms)
		before := asked
		for range 3 {
			if a.Take(now) {
				asked++
			}
		}
		if asked > before {
			a.Record(false, now)
		}
	}
	if asked > 20 {
		t.Errorf("%d of 1200 jobs asked", asked)
	}
	now = now.Add(time.Second)
	if a.Paused(now) {
		t.Error("no job may ask after the pause")
	}
	a.Record(true, now)
	for range 3 {
		if !a.Take(now) {
			t.Error("a job may not ask after an answer that was enough")
		}
	}
}

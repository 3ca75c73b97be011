package proof

import (
	"testing"
	"time"

	"foxtailmux/fakes"
	"foxtailmux/model"
)

// leaveLimit bounds the time during which a worker may still get new tasks after it
// or the list has announced that it leaves.
const leaveLimit = 3 * time.Second

// Guards against tasks that are sent to a leaving worker, however the instances
// learn of it: from the list, from the worker's status or from its refusals.
func TestLeavingWorkerGetsNoNewWork(t *testing.T) {
	for name, leave := range map[string]func(t *testing.T, c *testCentre, w *fakes.Worker){
		"announced by the list": func(_ *testing.T, c *testCentre, w *fakes.Worker) {
			info := w.Describe()
			info.State = model.Leaving
			c.platform.PutWorker(info)
		},
		"announced by the worker while the list is down": func(t *testing.T, c *testCentre, w *fakes.Worker) {
			c.platform.SetFaults(fakes.PlatformFaults{ListDown: true})
			setFaults(t, w, fakes.WorkerFaults{Leaving: true, LeavingAccepts: true})
		},
		"announced by the worker while the list lags": func(t *testing.T, c *testCentre, w *fakes.Worker) {
			c.platform.SetFaults(fakes.PlatformFaults{ListLagMillis: time.Hour.Milliseconds()})
			setFaults(t, w, fakes.WorkerFaults{Leaving: true, LeavingAccepts: true})
		},
		"refusing while the list is empty": func(t *testing.T, c *testCentre, w *fakes.Worker) {
			c.platform.SetFaults(fakes.PlatformFaults{EmptyList: true})
			setFaults(t, w, fakes.WorkerFaults{Leaving: true})
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := startCentre(t, 2, 4)
			tr := startTraffic(t, startBalancer(t, c.entries...), 6, 3, 20*time.Millisecond)
			leaving := c.fleet.Workers[0]
			waitFor(t, "the worker runs tasks", func() bool { return len(startEvents(leaving)) > 10 })

			left := time.Now()
			leave(t, c, leaving)
			waitFor(t, "the limit has passed", func() bool { return time.Since(left) > leaveLimit+time.Second })
			before := len(tr.answers())
			waitFor(t, "the other workers serve jobs", func() bool { return len(tr.answers()) > before+100 })
			tr.stop()

			for _, e := range startEvents(leaving) {
				if late := e.AtMillis - left.UnixMilli(); late > leaveLimit.Milliseconds() {
					t.Errorf("task %s was started %d ms after the worker announced that it leaves", e.TaskID, late)
				}
			}
			checkStartedOnce(t, c, tr)
		})
	}
}

func setFaults(t *testing.T, w *fakes.Worker, f fakes.WorkerFaults) {
	t.Helper()

	if err := w.SetFaults(f); err != nil {
		t.Fatal(err)
	}
}

func startEvents(w *fakes.Worker) []fakes.Event {
	var starts []fakes.Event
	for _, e := range w.Events().Events {
		if e.Event == fakes.EventStart {
			starts = append(starts, e)
		}
	}
	return starts
}

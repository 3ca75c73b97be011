package proof

import (
	"testing"
	"time"

	"foxtailmux/fakes"
	"foxtailmux/model"
)

// leaveLimit is how long after the announcement a leaving worker may still
// get new tasks.
const leaveLimit = 3 * time.Second

func TestLeavingWorkerGetsNoNewWork(t *testing.T) {
	for name, leave := range map[string]func(t *testing.T, c *cell, w *fakes.Worker){
		"said by the list": func(_ *testing.T, c *cell, w *fakes.Worker) {
			info := w.Describe()
			info.State = model.Leaving
			c.platform.PutWorker(info)
		},
		"said by the worker while the list is down": func(t *testing.T, c *cell, w *fakes.Worker) {
			c.platform.SetFaults(fakes.PlatformFaults{ListDown: true})
			setFaults(t, w, fakes.WorkerFaults{Leaving: true, LeavingAccepts: true})
		},
		"said by the worker while the list lags": func(t *testing.T, c *cell, w *fakes.Worker) {
			c.platform.SetFaults(fakes.PlatformFaults{ListLagMillis: time.Hour.Milliseconds()})
			setFaults(t, w, fakes.WorkerFaults{Leaving: true, LeavingAccepts: true})
		},
		"refusing while the list is empty": func(t *testing.T, c *cell, w *fakes.Worker) {
			c.platform.SetFaults(fakes.PlatformFaults{EmptyList: true})
			setFaults(t, w, fakes.WorkerFaults{Leaving: true})
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := startCell(t, 2, 4)
			tr := startTraffic(t, startBalancer(t, c.entries...), 6, 3, 20*time.Millisecond)
			leaving := c.fleet.Workers[0]
			waitFor(t, "the worker runs tasks", func() bool { return len(startsOn(leaving)) > 10 })

			left := time.Now()
			leave(t, c, leaving)
			waitFor(t, "the limit has passed", func() bool { return time.Since(left) > leaveLimit+time.Second })
			before := len(tr.answers())
			waitFor(t, "the others serve on", func() bool { return len(tr.answers()) > before+100 })
			tr.stop()

			for _, e := range startsOn(leaving) {
				if late := e.AtMillis - left.UnixMilli(); late > leaveLimit.Milliseconds() {
					t.Errorf("task %s was started %d ms after the worker began to leave", e.TaskID, late)
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

func startsOn(w *fakes.Worker) []fakes.Event {
	var starts []fakes.Event
	for _, e := range w.Events().Events {
		if e.Event == fakes.EventStart {
			starts = append(starts, e)
		}
	}
	return starts
}

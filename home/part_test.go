package home_test

import (
	"fmt"
	"testing"
	"time"

	"foxtailmux/home"
)

// Wide, short jobs at high load: no data centre has free capacity for all of their tasks at one
// moment, but many running tasks end before a waiting one would be late. A home that is asked
// counts those, and a part of a job waits for them instead of being declined.
func TestPartOfAWideJobWaitsForTasksThatEndInTime(t *testing.T) {
	withHome(t, 6, func(t *testing.T, dc *testCentre, h *home.Home) {
		results := make(chan home.Outcome, 6)
		for i := range 6 { // all workers are busy
			go func() { results <- submit(h, submission(fmt.Sprintf("before%d", i), 2)) }()
		}
		time.Sleep(5 * time.Millisecond) // until the starts are confirmed

		wide := submission("wide", 20)
		if got := h.StartableTasks(wide); got != 12 {
			t.Errorf("%d tasks could start in time, want 12", got)
		}
		wide.Batch.ID, wide.Part, wide.Immediate, wide.NoRedirect = "part", &home.Part{First: 0, Count: 10}, true, true
		began := time.Now()
		if got := resultOf(submit(h, wide)); got != home.Succeeded {
			t.Errorf("part: %s", got)
		}
		if took := time.Since(began); took > objective {
			t.Errorf("part took %v, the objective is %v", took, objective)
		}
		for range 6 {
			if got := resultOf(<-results); got != home.Succeeded {
				t.Errorf("earlier job: %s", got)
			}
		}
		dc.checkLedger()
	})
}

// Capacity counts as startable only as far as more urgent jobs leave it, and running tasks only
// if they end early enough.
func TestStartableTasksLeaveRoomForMoreUrgentJobs(t *testing.T) {
	withHome(t, 2, func(t *testing.T, dc *testCentre, h *home.Home) {
		results := make(chan home.Outcome, 2)
		submitAll := func(id string, tasks int) {
			go func() { results <- submit(h, submission(id, tasks)) }()
			time.Sleep(5 * time.Millisecond) // until the starts are confirmed
		}
		submitAll("first", 4)
		submitAll("waits", 3)
		if got := h.StartableTasks(submission("later", 20)); got != 1 {
			t.Errorf("%d tasks behind a waiting job, want 1", got)
		}
		short := submission("short", 20)
		short.Age = 100 * time.Millisecond // 56 ms are left of its objective, less than a task takes
		if got := h.StartableTasks(short); got != 0 {
			t.Errorf("%d tasks for a job that is late, want 0", got)
		}
		for range 2 {
			<-results
		}
		dc.checkLedger()
	})
}

// A caller that lost its connection submits its job again at another instance, while the parts that the
// first instance divided it into still run: their tasks were started a second time.
func TestTasksOfARunningPartAreNotStartedForTheWholeJob(t *testing.T) {
	withHome(t, 4, func(t *testing.T, dc *testCentre, h *home.Home) {
		part := submission("a", 4)
		part.Part, part.NoRedirect = &home.Part{First: 0, Count: 2}, true
		results := make(chan home.Result, 2)
		go func() { results <- resultOf(submit(h, part)) }()
		time.Sleep(5 * time.Millisecond) // until the starts are confirmed
		go func() { results <- resultOf(submit(h, submission("a", 4))) }()
		for range 2 {
			if got := <-results; got != home.Succeeded {
				t.Errorf("result %q", got)
			}
		}
		dc.checkLedger()
	})
}

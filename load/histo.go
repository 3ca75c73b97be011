package load

import (
	"sync"

	"github.com/rotisserie/eris"

	"foxtailmux/fakes"
	"foxtailmux/model"
)

// Violations that a History finds by comparing answers with start events.
const (
	ViolationDoubleStart Violation = "doubleStart" // a task that must not be repeated started twice
	ViolationRan         Violation = "ran"         // a job answered as not run has a start
	ViolationNeverRan    Violation = "neverRan"    // a complete answer for a task without a start
)

// History collects the answers of runs and compares them with the events of
// the workers. The zero value is ready for use.
type History struct {
	mu    sync.Mutex
	tasks map[string]*taskHistory // by nonce
}

type taskHistory struct {
	index      int
	repeatable bool
	notRun     bool // an answer said that the job did not run
	complete   bool
	starts     int
}

// Observe records one answer to a submission. A resubmission on a ticket is
// observed again.
func (h *History) Observe(s Submission, answer model.Answer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.tasks == nil {
		h.tasks = map[string]*taskHistory{}
	}
	for _, nonce := range s.Nonces {
		task := h.tasks[nonce]
		if task == nil {
			task = &taskHistory{index: s.Index, repeatable: s.Job.Repeatable}
			h.tasks[nonce] = task
		}
		task.notRun = task.notRun || answer.Result == model.Failed && answer.Ran == model.RanNo
		task.complete = task.complete || answer.Result == model.Complete
	}
}

// Verify compares the answers with the events of all workers and returns
// what contradicts them. Events of tasks that were not observed are ignored.
func (h *History) Verify(events []fakes.Event) []Finding {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, task := range h.tasks {
		task.starts = 0
	}
	for _, e := range events {
		if task := h.tasks[e.Nonce]; task != nil && e.Event == fakes.EventStart {
			task.starts++
		}
	}

	var findings []Finding
	for nonce, task := range h.tasks {
		if violation := task.violation(); violation != "" {
			detail := eris.Errorf("task %s has %d starts", nonce, task.starts).Error()
			findings = append(findings, Finding{Violation: violation, Index: task.index, Detail: detail})
		}
	}
	return findings
}

func (t *taskHistory) violation() Violation {
	switch {
	case t.notRun && t.starts > 0:
		return ViolationRan
	case t.starts > 1 && !t.repeatable:
		return ViolationDoubleStart
	case t.complete && t.starts == 0:
		return ViolationNeverRan
	default:
		return ""
	}
}

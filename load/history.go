package load

import (
	"sync"

	"github.com/rotisserie/eris"

	"foxtailmux/fakes"
	"foxtailmux/model"
)

// Violations that a History finds by comparing answers with start events.
const (
	ViolationDoubleStart          Violation = "doubleStart" // a task that is not repeatable was started twice
	ViolationNotRunButStarted     Violation = "ran"         // a task was started though an answer reports that the job did not run
	ViolationCompleteWithoutStart Violation = "neverRan"    // the answer is complete, but a task was never started
)

// History collects the answers of runs and compares them with the events of the
// workers. The zero value is ready for use, by several goroutines.
type History struct {
	mu    sync.Mutex
	tasks map[string]*taskHistory // by nonce
}

// taskHistory holds the answers and starts of one task.
type taskHistory struct {
	submissionIndex int
	repeatable      bool
	notRun          bool // an answer reports that the job did not run
	complete        bool // an answer is complete
	starts          int
}

// Observe records one answer to a submission. It is called once more for the
// answer to a second submission of the same job.
func (h *History) Observe(s Submission, answer model.Answer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.tasks == nil {
		h.tasks = map[string]*taskHistory{}
	}
	for _, nonce := range s.Nonces {
		task := h.tasks[nonce]
		if task == nil {
			task = &taskHistory{submissionIndex: s.Index, repeatable: s.Job.Repeatable}
			h.tasks[nonce] = task
		}
		task.notRun = task.notRun || answer.Result == model.Failed && answer.Ran == model.RanNo
		task.complete = task.complete || answer.Result == model.Complete
	}
}

// Verify compares the answers with the events of all workers and returns a
// finding for each task where they contradict each other. It ignores events of
// tasks without an observed answer.
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
			findings = append(findings, Finding{Violation: violation, Index: task.submissionIndex, Detail: detail})
		}
	}
	return findings
}

// violation returns how the answers and starts contradict each other, or "".
func (t *taskHistory) violation() Violation {
	switch {
	case t.notRun && t.starts > 0:
		return ViolationNotRunButStarted
	case t.starts > 1 && !t.repeatable:
		return ViolationDoubleStart
	case t.complete && t.starts == 0:
		return ViolationCompleteWithoutStart
	default:
		return ""
	}
}

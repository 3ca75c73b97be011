package demo

import (
	"fmt"
	"strings"

	"github.com/rotisserie/eris"

	"foxtailmux/fakes"
	"foxtailmux/load"
	"foxtailmux/model"
)

// maxShownProblems bounds the problems that an error names.
const maxShownProblems = 10

// check returns every way in which the answers and the workers' events break
// a rule.
func check(outcomes []outcome, events []fakes.Event) []string {
	starts := startsByJob(events)
	repeatable := map[string]bool{}

	var problems []string
	for _, o := range outcomes {
		problems = append(problems, checkAnswer(o)...)
		problems = append(problems, checkStarts(o, starts[o.answer.JobID])...)
		repeatable[o.answer.JobID] = o.submission.Job.Repeatable
	}
	for id, tasks := range starts {
		if !repeatable[id] {
			problems = append(problems, checkOnce(tasks)...)
		}
	}
	return problems
}

// startsByJob counts the starts of each task of each job.
func startsByJob(events []fakes.Event) map[string]map[string]int {
	jobs := map[string]map[string]int{}
	for _, e := range events {
		if e.Event != fakes.EventStart {
			continue
		}
		id := e.TaskID[:max(0, strings.LastIndexByte(e.TaskID, '-'))]
		if jobs[id] == nil {
			jobs[id] = map[string]int{}
		}
		jobs[id][e.TaskID]++
	}
	return jobs
}

// checkAnswer finds an answer that is missing, not whole, not the caller's
// own, or not the refusal that the job asked for.
func checkAnswer(o outcome) []string {
	name := fmt.Sprintf("job %d (%s)", o.submission.Index, o.submission.kind.name)
	if o.err != nil {
		return []string{fmt.Sprintf("%s got no answer: %v", name, o.err)}
	}
	if f := load.Check(o.submission.Submission, o.status, o.answer); f != nil {
		return []string{fmt.Sprintf("%s: %s answer: %s", name, f.Violation, f.Detail)}
	}

	wanted := o.submission.kind.wanted
	if wanted != "" && (o.answer.Error == nil || o.answer.Error.Kind != wanted) {
		return []string{fmt.Sprintf("%s was not refused as %s", name, wanted)}
	}
	return nil
}

// checkStarts compares what an answer says of its tasks with their starts.
func checkStarts(o outcome, tasks map[string]int) []string {
	name := fmt.Sprintf("job %d (%s)", o.submission.Index, o.submission.kind.name)
	switch {
	case o.err != nil:
		return nil
	case o.answer.Ran == model.RanNo && len(tasks) > 0:
		return []string{fmt.Sprintf("%s was answered as not run and %d tasks started", name, len(tasks))}
	case o.answer.Result == model.Complete && len(tasks) != len(o.submission.Job.Tasks):
		return []string{fmt.Sprintf("%s is complete and %d of %d tasks started", name, len(tasks), len(o.submission.Job.Tasks))}
	}
	return nil
}

// checkOnce finds tasks that started more than once.
func checkOnce(tasks map[string]int) []string {
	var problems []string
	for id, n := range tasks {
		if n > 1 {
			problems = append(problems, fmt.Sprintf("task %s started %d times", id, n))
		}
	}
	return problems
}

func verdict(problems []string) error {
	if len(problems) == 0 {
		return nil
	}
	shown := problems[:min(len(problems), maxShownProblems)]
	return &Error{Op: "check", Kind: KindCheck, Err: eris.Errorf("%d problems: %s", len(problems), strings.Join(shown, "; "))}
}

package demo

import (
	"fmt"
	"strings"

	"github.com/rotisserie/eris"

	"foxtailmux/fakes"
	"foxtailmux/load"
)

// maxShownProblems is the number of problems that an error message lists.
const maxShownProblems = 10

// check returns a description of each violation: an answer that breaks the
// contract with the caller, or one that contradicts the start events of the
// workers.
func check(outcomes []outcome, events []fakes.Event) []string {
	var history load.History
	var problems []string
	for _, o := range outcomes {
		history.Observe(o.submission.Submission, o.answer)
		problems = append(problems, checkAnswer(o)...)
		problems = append(problems, checkResubmission(o)...)
		if o.resubmission != nil {
			history.Observe(o.submission.Submission, o.resubmission.answer)
		}
	}

	for _, f := range history.Verify(events) {
		problems = append(problems, describe(f))
	}
	return problems
}

func describe(f load.Finding) string {
	return fmt.Sprintf("job %d: %s: %s", f.Index, f.Violation, f.Detail)
}

// checkAnswer reports an answer that is missing, partial, malformed or made of
// another job's results, or that isn't the refusal expected for this kind of
// job.
func checkAnswer(o outcome) []string {
	if o.err != nil {
		return []string{fmt.Sprintf("job %d: no answer: %v", o.submission.Index, o.err)}
	}
	if f := load.Check(o.submission.Submission, o.status, o.answer); f != nil {
		return []string{describe(*f)}
	}

	want := o.submission.kind.wantFailure
	if want != "" && (o.answer.Error == nil || o.answer.Error.Kind != want) {
		return []string{fmt.Sprintf("job %d: not refused as %s", o.submission.Index, want)}
	}
	return nil
}

// checkResubmission reports an answer to the second submission with the same
// key that is itself wrong or differs from the answer to the first.
func checkResubmission(o outcome) []string {
	if o.resubmission == nil {
		return nil
	}
	if problems := checkAnswer(*o.resubmission); problems != nil {
		return problems
	}
	if f := load.CheckResubmission(o.submission.Submission, o.answer, o.resubmission.answer); f != nil {
		return []string{describe(*f)}
	}
	return nil
}

// problemsError returns an error that lists the first problems, or nil if there
// are none.
func problemsError(problems []string) error {
	if len(problems) == 0 {
		return nil
	}
	shown := problems[:min(len(problems), maxShownProblems)]
	return &Error{Op: "check", Kind: KindCheck, Err: eris.Errorf("%d problems: %s", len(problems), strings.Join(shown, "; "))}
}

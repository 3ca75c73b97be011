package demo

import (
	"fmt"
	"strings"

	"github.com/rotisserie/eris"

	"foxtailmux/fakes"
	"foxtailmux/load"
)

// maxShownProblems bounds the problems that an error names.
const maxShownProblems = 10

// check returns every way in which the answers and the workers' events break
// a rule.
func check(outcomes []outcome, events []fakes.Event) []string {
	var history load.History
	var problems []string
	for _, o := range outcomes {
		history.Observe(o.submission.Submission, o.answer)
		problems = append(problems, checkAnswer(o)...)
		problems = append(problems, checkAgain(o)...)
		if o.again != nil {
			history.Observe(o.submission.Submission, o.again.answer)
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

// checkAnswer finds an answer that is missing, not whole, not the caller's
// own, or not the refusal that the job asked for.
func checkAnswer(o outcome) []string {
	if o.err != nil {
		return []string{fmt.Sprintf("job %d: no answer: %v", o.submission.Index, o.err)}
	}
	if f := load.Check(o.submission.Submission, o.status, o.answer); f != nil {
		return []string{describe(*f)}
	}

	wanted := o.submission.kind.wanted
	if wanted != "" && (o.answer.Error == nil || o.answer.Error.Kind != wanted) {
		return []string{fmt.Sprintf("job %d: not refused as %s", o.submission.Index, wanted)}
	}
	return nil
}

// checkAgain finds a second submission with the same key whose answer breaks
// a rule of its own or differs from the first.
func checkAgain(o outcome) []string {
	if o.again == nil {
		return nil
	}
	if problems := checkAnswer(*o.again); problems != nil {
		return problems
	}
	if f := load.CheckResubmission(o.submission.Submission, o.answer, o.again.answer); f != nil {
		return []string{describe(*f)}
	}
	return nil
}

func verdict(problems []string) error {
	if len(problems) == 0 {
		return nil
	}
	shown := problems[:min(len(problems), maxShownProblems)]
	return &Error{Op: "check", Kind: KindCheck, Err: eris.Errorf("%d problems: %s", len(problems), strings.Join(shown, "; "))}
}

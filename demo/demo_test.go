package demo

import (
	"bytes"
	"encoding/json"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"foxtailmux/fakes"
	"foxtailmux/model"
)

func TestDemoServesRefusesAndRestartsWithoutAProblem(t *testing.T) {
	var out, errs bytes.Buffer
	small := options{jobs: 60, interval: 20 * time.Millisecond, timeLimit: time.Minute}
	if err := run(t.Context(), small, &out, &errs); err != nil {
		t.Fatalf("%v\n%s\n%s", err, out.String(), errs.String())
	}

	text := out.String()
	for _, want := range []string{"neverFits 3", "badRequest 3", "\n60 jobs, ", "9 jobs were submitted twice", "twice): 0\n"} {
		if !strings.Contains(text, want) {
			t.Errorf("the table lacks %q:\n%s", want, text)
		}
	}
	if errs.Len() > 0 {
		t.Errorf("stderr: %s", errs.String())
	}
}

// completeOutcome returns the outcome of a keyed job that was submitted twice,
// started once and answered the same way twice, with the workers' events.
func completeOutcome() (outcome, []fakes.Event) {
	s := bookmark.submission("a", 0)
	o := outcome{submission: s, status: 200, answer: model.Answer{JobID: "j", Result: model.Complete, Ran: model.RanYes}}
	var events []fakes.Event
	for _, nonce := range s.Nonces {
		raw, _ := json.Marshal(fakes.TaskResult{Nonce: nonce})
		o.answer.Tasks = append(o.answer.Tasks, raw)
		events = append(events, fakes.Event{Event: fakes.EventStart, Nonce: nonce, Attempt: 1})
	}
	resubmission := o
	o.resubmission = &resubmission
	return o, events
}

func TestCheckFindsEachBrokenRule(t *testing.T) {
	for name, c := range map[string]struct {
		corrupt func(o *outcome, events *[]fakes.Event)
		want    []string
	}{
		"no violation": {func(*outcome, *[]fakes.Event) {}, nil},
		"no answer": {
			func(o *outcome, _ *[]fakes.Event) { o.err = errors.New("closed") },
			[]string{"job 0: no answer: closed"},
		},
		"a partial answer": {
			func(o *outcome, _ *[]fakes.Event) { o.answer.Tasks = nil },
			[]string{"job 0: partial: 0 results for 1 tasks"},
		},
		"another caller's result": {
			func(o *outcome, _ *[]fakes.Event) {
				o.resubmission.answer.Tasks = []json.RawMessage{[]byte(`{"nonce":"b/0"}`)}
			},
			[]string{"job 0: foreign: result 0 is that of b/0"},
		},
		"another answer to the second submission": {
			func(o *outcome, _ *[]fakes.Event) {
				o.resubmission.answer.Tasks = []json.RawMessage{[]byte(`{"nonce":"a/0","worker":"w"}`)}
			},
			[]string{"job 0: differs: result 0 differs"},
		},
		"a second start": {
			func(_ *outcome, e *[]fakes.Event) { *e = append(*e, (*e)[0]) },
			[]string{"job 0: doubleStart: task a/0 has 2 starts"},
		},
		"a start after not run": {
			func(o *outcome, _ *[]fakes.Event) {
				o.answer = model.Fail("j", model.RanNo, model.FailQuota, "")
				o.status = 429
			},
			[]string{"job 0: ran: task a/0 has 1 starts"},
		},
		"a result without a start": {
			func(_ *outcome, e *[]fakes.Event) { *e = nil },
			[]string{"job 0: neverRan: task a/0 has 0 starts"},
		},
		"a job served that should be refused": {
			func(o *outcome, _ *[]fakes.Event) { o.submission.kind.wantFailure = model.FailNeverFits },
			[]string{"job 0: not refused as neverFits"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			o, events := completeOutcome()
			c.corrupt(&o, &events)
			got := check([]outcome{o}, events)
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Error(diff)
			}
			if (problemsError(got) == nil) != (len(c.want) == 0) {
				t.Errorf("error is %v", problemsError(got))
			}
		})
	}
}

package demo

import (
	"bytes"
	"encoding/json"
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
	for _, want := range []string{"neverFits 3", "badRequest 3", "\n60 jobs, ", "twice): 0\n"} {
		if !strings.Contains(text, want) {
			t.Errorf("the table lacks %q:\n%s", want, text)
		}
	}
	if errs.Len() > 0 {
		t.Errorf("stderr: %s", errs.String())
	}
}

// whole is the outcome of a quote with each task started once.
func whole() (outcome, []fakes.Event) {
	s := quote.submission("a", 0)
	o := outcome{submission: s, status: 200, answer: model.Answer{JobID: "j", Result: model.Complete, Ran: model.RanYes}}
	var events []fakes.Event
	for i, nonce := range s.Nonces {
		raw, _ := json.Marshal(fakes.TaskResult{Nonce: nonce})
		o.answer.Tasks = append(o.answer.Tasks, raw)
		events = append(events, fakes.Event{Event: fakes.EventStart, TaskID: "j-" + string(rune('0'+i)), Attempt: 1})
	}
	return o, events
}

func TestCheckFindsEachBrokenRule(t *testing.T) {
	for name, c := range map[string]struct {
		spoil func(o *outcome, events *[]fakes.Event)
		want  []string
	}{
		"nothing": {func(*outcome, *[]fakes.Event) {}, nil},
		"a partial answer": {
			func(o *outcome, _ *[]fakes.Event) { o.answer.Tasks = o.answer.Tasks[:3] },
			[]string{"job 0 (quote): partial answer: 3 results for 4 tasks"},
		},
		"another caller's result": {
			func(o *outcome, _ *[]fakes.Event) { o.answer.Tasks[1] = json.RawMessage(`{"nonce":"b/1"}`) },
			[]string{"job 0 (quote): foreign answer: result 1 is that of b/1"},
		},
		"a second start": {
			func(_ *outcome, e *[]fakes.Event) { *e = append(*e, (*e)[2]) },
			[]string{"task j-2 started 2 times"},
		},
		"a start after not run": {
			func(o *outcome, _ *[]fakes.Event) {
				o.answer = model.Fail("j", model.RanNo, model.FailQuota, "")
				o.status = 429
			},
			[]string{"job 0 (quote) was answered as not run and 4 tasks started"},
		},
		"a result without a start": {
			func(_ *outcome, e *[]fakes.Event) { *e = (*e)[1:] },
			[]string{"job 0 (quote) is complete and 3 of 4 tasks started"},
		},
		"a job served that should be refused": {
			func(o *outcome, _ *[]fakes.Event) { o.submission.kind.wanted = model.FailNeverFits },
			[]string{"job 0 (quote) was not refused as neverFits"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			o, events := whole()
			c.spoil(&o, &events)
			got := check([]outcome{o}, events)
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Error(diff)
			}
			if (verdict(got) == nil) != (len(c.want) == 0) {
				t.Errorf("verdict is %v", verdict(got))
			}
		})
	}
}

package load

import (
	"testing"

	"foxtailmux/fakes"
	"foxtailmux/model"
)

func TestHistoryFindsContradictions(t *testing.T) {
	complete := model.Answer{Result: model.Complete, Ran: model.RanYes}
	notRun := model.Fail("", model.RanNo, model.FailOverloaded, "")
	maybe := model.Fail("", model.RanMaybe, model.FailWorkerLost, "")

	cases := map[string]struct {
		answers    []model.Answer
		repeatable bool
		starts     int
		want       Violation
	}{
		"complete once":          {[]model.Answer{complete}, false, 1, ""},
		"complete twice":         {[]model.Answer{complete}, false, 2, ViolationDoubleStart},
		"maybe twice":            {[]model.Answer{maybe}, false, 2, ViolationDoubleStart},
		"no answer, twice":       {[]model.Answer{{}}, false, 2, ViolationDoubleStart},
		"repeatable twice":       {[]model.Answer{complete}, true, 2, ""},
		"not run, no start":      {[]model.Answer{notRun}, false, 0, ""},
		"not run, started":       {[]model.Answer{notRun}, false, 1, ViolationNotRunButStarted},
		"complete, then not run": {[]model.Answer{complete, notRun}, false, 1, ViolationNotRunButStarted},
		"maybe, no start":        {[]model.Answer{maybe}, false, 0, ""},
		"complete, no start":     {[]model.Answer{complete}, false, 0, ViolationCompleteWithoutStart},
	}
	for name, c := range cases {
		var history History
		s := Submission{Nonces: []string{"n"}, Job: model.Job{Repeatable: c.repeatable}}
		for _, answer := range c.answers {
			history.Observe(s, answer)
		}
		events := []fakes.Event{{Event: fakes.EventEnd, Nonce: "n"}, {Event: fakes.EventStart, Nonce: "other"}}
		for range c.starts {
			events = append(events, fakes.Event{Event: fakes.EventStart, Nonce: "n"})
		}

		var got Violation
		if findings := history.Verify(events); len(findings) > 0 {
			got = findings[0].Violation
		}
		if got != c.want {
			t.Errorf("%s: violation %q, want %q", name, got, c.want)
		}
	}
}

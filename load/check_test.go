package load

import (
	"encoding/json"
	"testing"

	"foxtailmux/model"
)

func TestCheckFindsEachViolation(t *testing.T) {
	submission := Submission{Nonces: []string{"a", "b"}}
	result := func(nonce string) json.RawMessage { return json.RawMessage(`{"nonce":"` + nonce + `"}`) }
	complete := func(results ...json.RawMessage) model.Answer {
		return model.Answer{Result: model.Complete, Ran: model.RanYes, Tasks: results}
	}
	failed := model.Fail("id", model.RanNo, model.FailOverloaded, "full")
	failedWithResults := failed
	failedWithResults.Tasks = []json.RawMessage{result("a")}
	notRun := complete(result("a"), result("b"))
	notRun.Ran = model.RanNo

	cases := map[string]struct {
		status int
		answer model.Answer
		want   Violation
	}{
		"complete":            {200, complete(result("a"), result("b")), ""},
		"failed":              {503, failed, ""},
		"missing result":      {200, complete(result("a")), ViolationPartial},
		"null result":         {200, complete(result("a"), json.RawMessage("null")), ViolationPartial},
		"extra result":        {200, complete(result("a"), result("b"), result("b")), ViolationExtra},
		"swapped results":     {200, complete(result("b"), result("a")), ViolationSwapped},
		"duplicate":           {200, complete(result("a"), result("a")), ViolationSwapped},
		"other job":           {200, complete(result("a"), result("c")), ViolationOtherJob},
		"failed with results": {503, failedWithResults, ViolationPartial},
		"failed with 200":     {200, failed, ViolationMalformed},
		"complete with 503":   {503, complete(result("a"), result("b")), ViolationMalformed},
		"complete, not run":   {200, notRun, ViolationMalformed},
		"failed without kind": {503, model.Answer{Result: model.Failed, Ran: model.RanNo}, ViolationMalformed},
		"failed without ran":  {503, model.Fail("id", "", model.FailOverloaded, ""), ViolationMalformed},
		"empty answer":        {200, model.Answer{}, ViolationMalformed},
	}
	for name, c := range cases {
		var got Violation
		if f := Check(submission, c.status, c.answer); f != nil {
			got = f.Violation
		}
		if got != c.want {
			t.Errorf("%s: violation %q, want %q", name, got, c.want)
		}
	}

	other := complete(result("a"), json.RawMessage(`{"nonce":"b","worker":"w2"}`))
	if f := CheckResubmission(submission, complete(result("a"), result("b")), other); f == nil {
		t.Error("a resubmission with another result was not found")
	}
	if f := CheckResubmission(submission, other, other); f != nil {
		t.Errorf("equal answers: %+v", f)
	}
}

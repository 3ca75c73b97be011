package load

import (
	"encoding/json"
	"net/http"

	"github.com/rotisserie/eris"

	"foxtailmux/fakes"
	"foxtailmux/model"
)

// Violation names the way in which an answer breaks the contract with its
// caller.
type Violation string

// The violations that Check and CheckResubmission find.
const (
	ViolationPartial          Violation = "partial"   // results are missing or unreadable, or a failed answer has results
	ViolationExtra            Violation = "extra"     // more results than tasks
	ViolationSwapped          Violation = "swapped"   // the result of another task of the same job
	ViolationOtherJob         Violation = "foreign"   // the result of another job
	ViolationMalformed        Violation = "malformed" // fields or status contradict each other
	ViolationDifferentAnswers Violation = "differs"   // the second submission got a different complete answer
)

// Finding is a violation by the answer to one submission, with an explanation.
type Finding struct {
	Violation Violation `json:"violation"`
	Index     int       `json:"index"` // of the submission
	Detail    string    `json:"detail"`
}

// Check compares an answer and its HTTP status with the submission. It returns
// nil when the answer either is complete with the results of this submission's
// tasks in their order, or is a well-formed failure.
func Check(s Submission, status int, answer model.Answer) *Finding {
	violation, err := check(s, status, answer)
	if err == nil {
		return nil
	}
	return &Finding{Violation: violation, Index: s.Index, Detail: err.Error()}
}

func check(s Submission, status int, answer model.Answer) (Violation, error) {
	switch answer.Result {
	case model.Complete:
		return checkComplete(s, status, answer)
	case model.Failed:
		return checkFailed(status, answer)
	default:
		return ViolationMalformed, eris.Errorf("result is %q with status %d", answer.Result, status)
	}
}

func checkComplete(s Submission, status int, answer model.Answer) (Violation, error) {
	if status != http.StatusOK {
		return ViolationMalformed, eris.Errorf("complete with status %d", status)
	}
	if answer.Error != nil || answer.Ran != model.RanYes {
		return ViolationMalformed, eris.Errorf("complete with ran %q, error %v", answer.Ran, answer.Error)
	}
	if len(answer.Tasks) < len(s.Nonces) {
		return ViolationPartial, eris.Errorf("%d results for %d tasks", len(answer.Tasks), len(s.Nonces))
	}
	if len(answer.Tasks) > len(s.Nonces) {
		return ViolationExtra, eris.Errorf("%d results for %d tasks", len(answer.Tasks), len(s.Nonces))
	}
	return checkNonces(s.Nonces, answer.Tasks)
}

// checkNonces checks that the result of each task returns that task's nonce.
func checkNonces(nonces []string, results []json.RawMessage) (Violation, error) {
	own := make(map[string]bool, len(nonces))
	for _, n := range nonces {
		own[n] = true
	}

	for i, raw := range results {
		var result fakes.TaskResult
		if err := json.Unmarshal(raw, &result); err != nil {
			return ViolationPartial, eris.Wrapf(err, "result %d", i)
		}
		switch {
		case result.Nonce == nonces[i]:
		case result.Nonce == "":
			return ViolationPartial, eris.Errorf("result %d is empty", i)
		case own[result.Nonce]:
			return ViolationSwapped, eris.Errorf("result %d is that of %s", i, result.Nonce)
		default:
			return ViolationOtherJob, eris.Errorf("result %d is that of %s", i, result.Nonce)
		}
	}
	return "", nil
}

func checkFailed(status int, answer model.Answer) (Violation, error) {
	if len(answer.Tasks) > 0 {
		return ViolationPartial, eris.Errorf("failed with %d results", len(answer.Tasks))
	}
	if status < http.StatusBadRequest {
		return ViolationMalformed, eris.Errorf("failed with status %d", status)
	}
	if answer.Error == nil || answer.Error.Kind == "" {
		return ViolationMalformed, eris.New("failed without a kind")
	}
	switch answer.Ran {
	case model.RanNo, model.RanMaybe, model.RanYes:
		return "", nil
	default:
		return ViolationMalformed, eris.Errorf("failed with ran %q", answer.Ran)
	}
}

// CheckResubmission returns a finding when the answers to two submissions of one
// job, on one ticket or idempotency key, are both complete and differ.
func CheckResubmission(s Submission, first, second model.Answer) *Finding {
	if first.Result != model.Complete || second.Result != model.Complete {
		return nil
	}
	for i := range min(len(first.Tasks), len(second.Tasks)) {
		if string(first.Tasks[i]) != string(second.Tasks[i]) {
			detail := eris.Errorf("result %d differs", i).Error()
			return &Finding{Violation: ViolationDifferentAnswers, Index: s.Index, Detail: detail}
		}
	}
	return nil
}

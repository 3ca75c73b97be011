package proof

import (
	"bufio"
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/anishathalye/porcupine"
	"github.com/google/go-cmp/cmp"

	"foxtailmux/fakes"
	"foxtailmux/model"
)

// historyRecord is either a submission with its answer, nil if none arrived, or
// the start of a task on a worker. Job is the prefix of the job's nonces, which all
// submissions with the same ticket or idempotency key share.
type historyRecord struct {
	Job          string        `json:"job"`
	Client       int           `json:"client"`
	CallMicros   int64         `json:"callMicros"`
	ReturnMicros int64         `json:"returnMicros"`
	Tasks        int           `json:"tasks,omitempty"`
	Answer       *model.Answer `json:"answer,omitempty"`
	Start        bool          `json:"start,omitempty"`
	Task         int           `json:"task,omitempty"`
}

// invariant is the name of a property that holds for the history of each job. The
// recorded histories in testdata are named by it.
type invariant string

const (
	startsOnce    invariant = "startsOnce"    // no task was started twice
	notRunIsTrue  invariant = "notRunIsTrue"  // no task was started before an answer that the job has not run, nor ever if all answers are such
	completeWhole invariant = "completeWhole" // a complete answer has the results of all tasks of this job, and each was started
	sameAnswer    invariant = "sameAnswer"    // all complete answers are equal
)

var invariants = []invariant{startsOnce, notRunIsTrue, completeWhole, sameAnswer}

// jobState is the state of a job in a model: its started tasks and its latest
// complete answer as JSON.
type jobState struct {
	started uint64 // one bit for each task
	answer  string
}

// invariantModel returns a model of one job that accepts each step which keeps the
// invariant.
func invariantModel(p invariant) porcupine.Model {
	return porcupine.Model{
		Init: func() any { return jobState{} },
		Step: func(state, input, _ any) (bool, any) {
			s, r := state.(jobState), input.(historyRecord)
			if r.Start {
				return p != startsOnce || s.started&(1<<r.Task) == 0, jobState{s.started | 1<<r.Task, s.answer}
			}
			return s.applySubmission(p, r)
		},
	}
}

// applySubmission reports whether the answer to a submission keeps the invariant, and
// returns the next state.
func (s jobState) applySubmission(p invariant, r historyRecord) (bool, jobState) {
	a := r.Answer
	switch {
	case a == nil:
		return true, s
	case a.Ran == model.RanNo:
		return p != notRunIsTrue || s.started == 0, s
	case a.Result != model.Complete:
		return p != completeWhole || len(a.Tasks) == 0, s
	}

	text, err := json.Marshal(a)
	if err != nil {
		return false, s
	}
	complete := s.started == 1<<r.Tasks-1 && hasAllNonces(r)
	same := s.answer == "" || s.answer == string(text)
	s.answer = string(text)
	return (p != completeWhole || complete) && (p != sameAnswer || same), s
}

// hasAllNonces reports whether the answer has the nonce of every task, in order.
func hasAllNonces(r historyRecord) bool {
	if len(r.Answer.Tasks) != r.Tasks {
		return false
	}
	for i, raw := range r.Answer.Tasks {
		var result fakes.TaskResult
		if json.Unmarshal(raw, &result) != nil || result.Nonce != nonce(r.Job, i) {
			return false
		}
	}
	return true
}

// violatedInvariants returns the jobs of a history that violate an invariant, by
// the invariant.
func violatedInvariants(history []historyRecord) map[invariant][]string {
	byJob := map[string][]historyRecord{}
	for _, r := range history {
		byJob[r.Job] = append(byJob[r.Job], r)
	}

	violated := map[invariant][]string{}
	for _, job := range slices.Sorted(maps.Keys(byJob)) {
		for _, p := range invariants {
			if !holds(p, byJob[job]) {
				violated[p] = append(violated[p], job)
			}
		}
	}
	return violated
}

// holds reports whether the records of one job keep the invariant.
func holds(p invariant, records []historyRecord) bool {
	if p == notRunIsTrue && startedThoughAllNotRun(records) {
		return false
	}
	var operations []porcupine.Operation
	for _, r := range records {
		operations = append(operations, porcupine.Operation{ClientId: r.Client, Input: r, Call: r.CallMicros, Return: r.ReturnMicros})
	}
	return porcupine.CheckOperations(invariantModel(p), operations)
}

// startedThoughAllNotRun reports whether any task of a job was started although
// every submission was answered as not run.
func startedThoughAllNotRun(records []historyRecord) bool {
	started := false
	for _, r := range records {
		started = started || r.Start
		if !r.Start && (r.Answer == nil || r.Answer.Ran != model.RanNo) {
			return false
		}
	}
	return started
}

func writeHistory(path string, history []historyRecord) error {
	var text strings.Builder
	for _, r := range history {
		line, err := json.Marshal(r)
		if err != nil {
			return err
		}
		fmt.Fprintf(&text, "%s\n", line)
	}
	return os.WriteFile(path, []byte(text.String()), 0o644)
}

func readHistory(t *testing.T, path string) []historyRecord {
	t.Helper()

	file, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = file.Close() }()

	var history []historyRecord
	lines := bufio.NewScanner(file)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		var r historyRecord
		if err := json.Unmarshal(lines.Bytes(), &r); err != nil {
			t.Fatalf("%s: %v", path, err)
		}
		history = append(history, r)
	}
	if err := lines.Err(); err != nil {
		t.Fatal(err)
	}
	return history
}

// Guards against checks that find no violations: each file in testdata is a history
// recorded with a faulty build, and is named by the invariant that it violates.
// kept.jsonl violates none.
func TestRecordedHistoriesViolateTheirInvariants(t *testing.T) {
	files, err := filepath.Glob("testdata/*.jsonl")
	if err != nil || len(files) == 0 {
		t.Fatalf("no recorded history: %v", err)
	}
	for _, path := range files {
		t.Run(filepath.Base(path), func(t *testing.T) {
			name, _, _ := strings.Cut(filepath.Base(path), ".")
			violated := slices.Sorted(maps.Keys(violatedInvariants(readHistory(t, path))))
			if name == "kept" {
				if diff := cmp.Diff(0, len(violated)); diff != "" {
					t.Fatalf("violated invariants %v (-want +got):\n%s", violated, diff)
				}
				return
			}
			if !slices.Contains(violated, invariant(name)) {
				t.Fatalf("violated invariants are %v, want %s among them", violated, name)
			}
		})
	}
}

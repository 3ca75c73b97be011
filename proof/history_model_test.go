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

// historyRecord is a submission with its answer, nil if none arrived, or the
// start of a task at a worker. All records of a ticket, key or plain job
// carry the same job, which is the first part of its nonces.
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

// promise names what a model checks.
type promise string

const (
	startsOnce    promise = "startsOnce"    // no task has two starts
	notRunIsTrue  promise = "notRunIsTrue"  // nothing started before or for an answer that says so
	completeWhole promise = "completeWhole" // a complete answer has the caller's own result of every task, each started
	sameAnswer    promise = "sameAnswer"    // all complete answers are equal
)

var promises = []promise{startsOnce, notRunIsTrue, completeWhole, sameAnswer}

// jobState is what is known of a job: the tasks that started, and the complete
// answer.
type jobState struct {
	started uint64 // a bit for each task
	answer  string
}

// promiseModel is the model of one job that holds one promise.
func promiseModel(p promise) porcupine.Model {
	return porcupine.Model{
		Init: func() any { return jobState{} },
		Step: func(state, input, _ any) (bool, any) {
			s, r := state.(jobState), input.(historyRecord)
			if r.Start {
				return p != startsOnce || s.started&(1<<r.Task) == 0, jobState{s.started | 1<<r.Task, s.answer}
			}
			return s.submitted(p, r)
		},
	}
}

func (s jobState) submitted(p promise, r historyRecord) (bool, jobState) {
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
	whole := s.started == 1<<r.Tasks-1 && echoes(r)
	same := s.answer == "" || s.answer == string(text)
	s.answer = string(text)
	return (p != completeWhole || whole) && (p != sameAnswer || same), s
}

// echoes reports whether the answer has the nonce of every task in order.
func echoes(r historyRecord) bool {
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

// brokenPromises returns the jobs of a history that break each promise.
func brokenPromises(history []historyRecord) map[promise][]string {
	byJob := map[string][]historyRecord{}
	for _, r := range history {
		byJob[r.Job] = append(byJob[r.Job], r)
	}

	broken := map[promise][]string{}
	for _, job := range slices.Sorted(maps.Keys(byJob)) {
		for _, p := range promises {
			if !keeps(p, byJob[job]) {
				broken[p] = append(broken[p], job)
			}
		}
	}
	return broken
}

func keeps(p promise, records []historyRecord) bool {
	if p == notRunIsTrue && startedThoughAllSayNo(records) {
		return false
	}
	var operations []porcupine.Operation
	for _, r := range records {
		operations = append(operations, porcupine.Operation{ClientId: r.Client, Input: r, Call: r.CallMicros, Return: r.ReturnMicros})
	}
	return porcupine.CheckOperations(promiseModel(p), operations)
}

// startedThoughAllSayNo reports whether a task started, at any time, of a job
// whose every submission was answered as not run.
func startedThoughAllSayNo(records []historyRecord) bool {
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

// TestRecordedHistoriesBreakTheirPromises replays histories of builds with a
// rule broken. Each file is named by the promise that must be found broken.
func TestRecordedHistoriesBreakTheirPromises(t *testing.T) {
	files, err := filepath.Glob("testdata/*.jsonl")
	if err != nil || len(files) == 0 {
		t.Fatalf("no recorded history: %v", err)
	}
	for _, path := range files {
		t.Run(filepath.Base(path), func(t *testing.T) {
			name, _, _ := strings.Cut(filepath.Base(path), ".")
			broken := slices.Sorted(maps.Keys(brokenPromises(readHistory(t, path))))
			if name == "kept" {
				if diff := cmp.Diff(0, len(broken)); diff != "" {
					t.Fatalf("broken promises %v (-want +got):\n%s", broken, diff)
				}
				return
			}
			if !slices.Contains(broken, promise(name)) {
				t.Fatalf("broken promises are %v, want %s among them", broken, name)
			}
		})
	}
}

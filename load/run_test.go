package load

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"image/png"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"foxtailmux/fakes"
	"foxtailmux/model"
)

// echoEntry is an HTTP server in place of an entry instance. It answers each job
// at once, completely, with the nonces of its tasks as results; corrupt may
// change the n-th answer.
type echoEntry struct {
	server  *httptest.Server
	tickets atomic.Int64
	cancels atomic.Int64
	jobs    atomic.Int64
	corrupt func(n int64, answer *model.Answer)
}

func startEchoEntry(t *testing.T) *echoEntry {
	e := &echoEntry{corrupt: func(int64, *model.Answer) {}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/tickets", e.serveTickets)
	mux.HandleFunc("POST /v1/jobs", e.serveJob)
	mux.HandleFunc("DELETE /v1/jobs/{id}", func(w http.ResponseWriter, r *http.Request) {
		e.cancels.Add(1)
		fmt.Fprint(w, "{}")
	})
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprintf(w, "foxtailmux_messages_total{purpose=\"needed\"} %d\n", e.jobs.Load())
	})
	e.server = httptest.NewServer(mux)
	t.Cleanup(e.server.Close)
	return e
}

func (e *echoEntry) CallerAddr() string { return strings.TrimPrefix(e.server.URL, "http://") }
func (e *echoEntry) AdminAddr() string  { return e.CallerAddr() }
func (e *echoEntry) Close()             { e.server.Close() }

func (e *echoEntry) serveTickets(w http.ResponseWriter, r *http.Request) {
	var request ticketRequest
	json.NewDecoder(r.Body).Decode(&request)
	var batch model.TicketBatch
	for range request.Count {
		batch.Tickets = append(batch.Tickets, strconv.FormatInt(e.tickets.Add(1), 10))
	}
	json.NewEncoder(w).Encode(batch)
}

func (e *echoEntry) serveJob(w http.ResponseWriter, r *http.Request) {
	var job model.Job
	json.NewDecoder(r.Body).Decode(&job)
	answer := model.Answer{Result: model.Complete, Ran: model.RanYes}
	for _, task := range job.Tasks {
		if task.Needs.Cores == neverFitsCores {
			answer = model.Fail("", model.RanNo, model.FailNeverFits, "too large")
			w.WriteHeader(http.StatusUnprocessableEntity)
			break
		}
		var payload fakes.Payload
		json.Unmarshal(task.Payload, &payload)
		result, _ := json.Marshal(fakes.TaskResult{Nonce: payload.Nonce})
		answer.Tasks = append(answer.Tasks, result)
	}
	e.corrupt(e.jobs.Add(1), &answer)
	json.NewEncoder(w).Encode(answer)
}

// shortRunOptions returns the options of a run of one second, in which cancelled,
// resubmitted and never fitting jobs are frequent.
func shortRunOptions(t *testing.T, entries ...*echoEntry) RunOptions {
	preset, err := NewPreset("malabar")
	if err != nil {
		t.Fatal(err)
	}
	preset.Workers = 2
	preset.NeverFitsShare, preset.ResubmitShare = 0.1, 0.2
	preset.CancelWaves = CancelWaves{MeanInterval: 2 * time.Second, Window: time.Second, Share: 0.5}
	options := RunOptions{
		GeneratorOptions: GeneratorOptions{Preset: preset, Seed: 3, RunID: "r", TimeScale: 0.1, Utilisation: 0.9},
		Duration:         time.Second,
	}
	for _, e := range entries {
		options.Targets.Entries = append(options.Targets.Entries, e.CallerAddr())
		options.Targets.Admins = append(options.Targets.Admins, e.AdminAddr())
	}
	return options
}

func TestRunCountsEveryJobOnce(t *testing.T) {
	a, b := startEchoEntry(t), startEchoEntry(t)
	report, err := Run(context.Background(), shortRunOptions(t, a, b))
	if err != nil {
		t.Fatal(err)
	}

	answers := report.Results[string(model.Complete)] + report.Results[string(model.Failed)]
	got := []int{answers, report.Refusals[string(model.FailNeverFits)], report.NeverFitsNotRefused, len(report.Violations), len(report.TransportErrors)}
	if diff := cmp.Diff([]int{report.Jobs + report.Resubmissions, report.NeverFits, 0, 0, 0}, got); diff != "" {
		t.Errorf("answers, refusals, wrong, violations, errors (-want +got):\n%s", diff)
	}
	if report.NeverFits == 0 || report.Resubmissions == 0 || report.Cancellations == 0 {
		t.Errorf("the run has no never fitting, resubmitted or cancelled job: %+v", report)
	}
	if sent := a.cancels.Load() + b.cancels.Load(); sent != int64(report.Cancellations) {
		t.Errorf("%d cancellations arrived, %d reported", sent, report.Cancellations)
	}
	if want := float64(report.Jobs + report.Resubmissions); !report.MessagesKnown || report.Messages.Needed != want {
		t.Errorf("messages %+v, want %v needed", report.Messages, want)
	}
	if a.jobs.Load() == 0 || b.jobs.Load() == 0 {
		t.Error("an entry instance got no job")
	}
}

func TestRunReportsASwappedAnswer(t *testing.T) {
	e := startEchoEntry(t)
	e.corrupt = func(n int64, answer *model.Answer) {
		if last := len(answer.Tasks) - 1; last > 0 {
			answer.Tasks[0], answer.Tasks[last] = answer.Tasks[last], answer.Tasks[0]
		}
	}
	report, err := Run(context.Background(), shortRunOptions(t, e))
	if err != nil {
		t.Fatal(err)
	}
	var failure *Error
	if report.Violations[string(ViolationSwapped)] == 0 || !errors.As(report.Err(), &failure) || failure.Kind != KindViolation {
		t.Errorf("violations %v, error %v", report.Violations, report.Err())
	}
}

func TestRunCountsMissingAnswers(t *testing.T) {
	e := startEchoEntry(t)
	e.corrupt = func(n int64, answer *model.Answer) { panic(http.ErrAbortHandler) }
	report, err := Run(context.Background(), shortRunOptions(t, e))
	if err != nil {
		t.Fatal(err)
	}
	missing := sumCounts(report.TransportErrors)
	if missing != report.Jobs+report.Resubmissions || e.jobs.Load() != int64(missing) {
		t.Errorf("%d missing of %d jobs; the entry instance received %d", missing, report.Jobs+report.Resubmissions, e.jobs.Load())
	}
}

func TestRunRejectsBadOptions(t *testing.T) {
	var failure *Error
	if _, err := Run(context.Background(), RunOptions{}); !errors.As(err, &failure) || failure.Kind != KindOptions {
		t.Errorf("error is %v", err)
	}
}

func TestExperimentInterleavesVariantsOnACluster(t *testing.T) {
	options := shortRunOptions(t)
	var mu sync.Mutex
	var order []string
	cluster, err := StartCluster(ClusterOptions{Preset: options.Preset, Entries: 2, Start: func(o InstanceOptions) (Instance, error) {
		e := startEchoEntry(t)
		e.corrupt = func(int64, *model.Answer) {
			mu.Lock()
			defer mu.Unlock()
			if len(order) == 0 || order[len(order)-1] != o.ID {
				order = append(order, o.ID)
			}
		}
		return e, nil
	}})
	if err != nil {
		t.Fatal(err)
	}
	defer cluster.Close()

	addrs := cluster.Targets().Entries
	text := fmt.Sprintf("preset: tihiZvok\nrounds: 2\nduration: 300ms\ntimeScale: 0.1\nworkers: 2\n"+
		"variants:\n- name: a\n  entries: [%q]\n- name: b\n  entries: [%q]\n", addrs[0], addrs[1])
	experiment, err := ReadExperiment([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	comparison, err := RunExperiment(context.Background(), experiment, "x", nil)
	if err != nil {
		t.Fatal(err)
	}

	if diff := cmp.Diff([]string{"entry-1", "entry-2", "entry-1", "entry-2"}, order); diff != "" {
		t.Errorf("order of variants (-want +got):\n%s", diff)
	}
	for _, v := range comparison.Variants {
		if len(v.Runs) != 2 || v.Runs[0].Seed == v.Runs[1].Seed || v.Overhead.Count == 0 {
			t.Errorf("variant %s: %d runs, %+v", v.Name, len(v.Runs), v.Overhead)
		}
	}
	if comparison.Variants[0].Runs[1].Jobs != comparison.Variants[1].Runs[1].Jobs {
		t.Error("the variants of a round got different submissions")
	}

	var image, table bytes.Buffer
	if err := errors.Join(WritePlot(&image, "t", comparison.Curves()), comparison.WriteTable(&table)); err != nil {
		t.Fatal(err)
	}
	if _, err := png.Decode(&image); err != nil {
		t.Errorf("plot: %v", err)
	}
}

func TestReadExperimentRejectsUnknownFields(t *testing.T) {
	for _, text := range []string{"speed: 1\nvariants: [{name: a, entries: [x]}]", "variants: []", "variants: [{name: a}]"} {
		if _, err := ReadExperiment([]byte(text)); err == nil {
			t.Errorf("accepted %q", text)
		}
	}
}

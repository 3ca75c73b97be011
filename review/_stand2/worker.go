package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Run is one run of a task on a worker, as the worker saw it.
type Run struct {
	Task, Worker string
	Number       int64
	Token        int64
	From         string
	Began, Ended time.Time
	How          string
}

// Ledger records the runs on all workers, and the rules that they break.
type Ledger struct {
	mu     sync.Mutex
	runs   map[string][]*Run
	broken []string
	jobs   map[string]*Job
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{runs: map[string][]*Run{}, jobs: map[string]*Job{}} }

// Break records that a rule was broken.
func (l *Ledger) Break(rule, format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addBreak(rule, format, args...)
}

func (l *Ledger) addBreak(rule, format string, args ...any) {
	text := rule + " " + fmt.Sprintf(format, args...)
	l.broken = append(l.broken, text)
	Note("BROKEN %s", text)
}

// Broken returns the broken rules.
func (l *Ledger) Broken() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.broken)
}

// RunsOf returns copies of the runs of a task.
func (l *Ledger) RunsOf(task string) []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []Run
	for _, r := range l.runs[task] {
		list = append(list, *r)
	}
	return list
}

// Started returns the number of runs of the tasks of a job.
func (l *Ledger) Started(job string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for task, runs := range l.runs {
		if strings.HasPrefix(task, job+".") {
			n += len(runs)
		}
	}
	return n
}

// Running returns the number of runs of a job in progress.
func (l *Ledger) Running(job string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for task, runs := range l.runs {
		for _, r := range runs {
			if strings.HasPrefix(task, job+".") && r.Ended.IsZero() {
				n++
			}
		}
	}
	return n
}

type activeRun struct {
	record  *Run
	runTime time.Duration
	timer   *time.Timer
	stops   bool
}

// WorkerFaults are the faults of a worker.
type WorkerFaults struct {
	Lose   float64 // share of the requests that are carried out, and whose answers are lost
	Late   float64 // share of the requests that get no answer and are carried out 2 to 12 s later
	Fail   bool    // runs fail after 5 ms
	Refuse bool    // starts are refused with 503
}

// Worker is a stand-in for a worker of the platform.
type Worker struct {
	ID, Addr, Zone, Service string
	Labels                  []string
	MilliCores              int

	ledger   *Ledger
	store    *StoreRows
	listener net.Listener
	server   *http.Server

	busy atomic.Bool // a disruption is in progress

	mu       sync.Mutex
	faults   WorkerFaults
	down     bool
	state    string
	seq      int
	born     int64
	started  time.Time
	token    int64
	until    int64
	runs     map[string]*activeRun
	last     map[string]int64
	ended    [][]any
	sequence int64
	changed  chan struct{}
}

const maxLeaseMillis = 1000

func (w *Worker) clock() int64 { return 100_000 + time.Since(w.started).Milliseconds() }

// Boot starts a new life of the worker.
func (w *Worker) Boot() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.down, w.state = false, "ready"
	w.born = max(time.Now().UnixMilli(), w.born+1)
	w.started = time.Now()
	w.token, w.until, w.sequence = 0, 0, 0
	w.runs, w.last, w.ended = map[string]*activeRun{}, map[string]int64{}, nil
	w.changed = make(chan struct{})
}

// Crash ends all runs. The worker does not answer until Boot.
func (w *Worker) Crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.down = true
	for _, r := range w.runs {
		r.timer.Stop()
		w.ledger.end(r.record, "crash")
	}
	w.runs = map[string]*activeRun{}
	close(w.changed)
	w.changed = make(chan struct{})
}

// SetFaults replaces the faults.
func (w *Worker) SetFaults(f WorkerFaults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = f
}

// SetState replaces the state in the worker's row.
func (w *Worker) SetState(state string) {
	w.mu.Lock()
	w.state = state
	w.mu.Unlock()
	w.Report()
}

// Report writes the row of the worker.
func (w *Worker) Report() {
	w.mu.Lock()
	if w.down {
		w.mu.Unlock()
		return
	}
	w.seq++
	text := encode(map[string]any{
		"backend": w.Service, "address": w.Addr, "zone": w.Zone, "version": "1", "slots": 8, "state": w.state, "cold-ms": 0, "seq": w.seq,
		"capacity": map[string]int{"cpu": w.MilliCores, "mem-mb": 131072}, "labels": w.Labels, "born": w.born,
	})
	w.mu.Unlock()
	w.store.Put("servers/"+w.ID, text)
}

func encode(v any) string {
	text, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return string(text)
}

func (l *Ledger) end(r *Run, how string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.Ended, r.How = time.Now(), how
}

func (w *Worker) dropEnd(task string, r *activeRun, how string) {
	r.timer.Stop()
	delete(w.runs, task)
	w.ledger.end(r.record, how)
	w.last[task] = max(w.last[task], r.record.Number)
	w.sequence++
	w.ended = append(w.ended, []any{w.sequence, task, r.record.Number, how, ""})
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *Worker) extend(until int64) {
	until = min(until, w.clock()+maxLeaseMillis)
	if until <= w.until {
		return
	}
	w.until = until
	born := w.born
	time.AfterFunc(time.Duration(until-w.clock())*time.Millisecond, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.born != born || w.down || w.clock() < w.until {
			return
		}
		for task, r := range w.runs {
			w.dropEnd(task, r, "lapsed")
		}
	})
}

type workerRequest struct {
	Task  string `json:"task-id"`
	Run   int64  `json:"run-id"`
	Spec  string `json:"spec"`
	Until int64  `json:"due-by-ms"`
	Token int64  `json:"fence-token"`
	Seen  int64  `json:"last-seen"`
	Wait  int64  `json:"wait-ms"`
}

func (w *Worker) start(q workerRequest, from string) (int, string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if q.Token < w.token {
		return 409, "fence"
	}
	w.token = q.Token
	present := w.runs[q.Task]
	switch {
	case w.faults.Refuse:
		return 503, ""
	case present != nil && present.record.Number == q.Run:
		w.extend(q.Until)
		return 200, ""
	case q.Run <= w.last[q.Task], present != nil && q.Run < present.record.Number:
		w.extend(q.Until)
		return 409, "old"
	case q.Until <= w.clock():
		return 409, "late"
	}
	w.extend(q.Until)
	runTime, how := w.ledger.begin(w, q, from)
	if w.faults.Fail {
		runTime, how = 5*time.Millisecond, "failed"
	}
	record := &Run{Task: q.Task, Worker: w.ID, Number: q.Run, Token: q.Token, From: from, Began: time.Now()}
	r := &activeRun{record: record, runTime: runTime}
	w.ledger.add(record)
	if present != nil {
		w.dropEnd(q.Task, present, "stopped")
	}
	w.runs[q.Task] = r
	r.timer = time.AfterFunc(runTime, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.runs[q.Task] == r {
			w.dropEnd(q.Task, r, how)
		}
	})
	w.ledger.checkWorker(w)
	return 200, ""
}

func (w *Worker) stop(q workerRequest) (int, string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if q.Token < w.token {
		return 409, "fence"
	}
	w.token = q.Token
	w.last[q.Task] = max(w.last[q.Task], q.Run)
	if r := w.runs[q.Task]; r != nil && r.record.Number <= q.Run && !r.stops {
		r.stops = true
		time.AfterFunc(30*time.Millisecond, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if w.runs[q.Task] == r {
				w.dropEnd(q.Task, r, "stopped")
			}
		})
	}
	return 200, ""
}

func (w *Worker) hold(q workerRequest) (int, string, chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if q.Token < w.token {
		return 409, "fence", nil
	}
	w.token = q.Token
	if q.Until > 0 {
		w.extend(q.Until)
	}
	w.ended = slices.DeleteFunc(w.ended, func(e []any) bool { return e[0].(int64) <= q.Seen })
	if len(w.ended) == 0 && q.Wait > 0 {
		return 200, "", w.changed
	}
	return 200, "", nil
}

// ServeHTTP handles one request.
func (w *Worker) ServeHTTP(out http.ResponseWriter, in *http.Request) {
	w.mu.Lock()
	down, faults, born := w.down, w.faults, w.born
	w.mu.Unlock()
	if down {
		panic(http.ErrAbortHandler)
	}
	if in.Header.Get("X-Expect-Instance") != w.ID {
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var q workerRequest
	if json.NewDecoder(in.Body).Decode(&q) != nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	act := func() (int, string, chan struct{}) {
		switch in.URL.Path {
		case "/-/run-start":
			s, r := w.start(q, in.RemoteAddr)
			return s, r, nil
		case "/-/run-stop":
			s, r := w.stop(q)
			return s, r, nil
		case "/-/hold":
			return w.hold(q)
		}
		return 404, "", nil
	}
	if faults.Late > 0 && random.Float64() < faults.Late {
		time.AfterFunc(2*time.Second+time.Duration(random.Float64()*float64(10*time.Second)), func() {
			w.mu.Lock()
			same := w.born == born && !w.down
			w.mu.Unlock()
			if same {
				act()
			}
		})
		time.Sleep(3 * time.Second)
		panic(http.ErrAbortHandler)
	}
	status, reason, wait := act()
	if wait != nil {
		select {
		case <-wait:
		case <-time.After(time.Duration(q.Wait) * time.Millisecond):
		case <-in.Context().Done():
		}
	}
	if faults.Lose > 0 && random.Float64() < faults.Lose {
		time.Sleep(3 * time.Second)
		panic(http.ErrAbortHandler)
	}
	w.mu.Lock()
	if w.down || w.born != born {
		w.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	body := map[string]any{"clock-ms": w.clock(), "born": w.born}
	if reason != "" {
		body["reason"] = reason
	}
	if in.URL.Path == "/-/hold" && status == 200 {
		running := [][]any{}
		for task, r := range w.runs {
			percent := min(99, int(100*time.Since(r.record.Began)/r.runTime))
			running = append(running, []any{task, r.record.Number, "", percent, 0})
		}
		ended := w.ended
		if ended == nil {
			ended = [][]any{}
		}
		body["running"], body["ended-runs"] = running, ended[:min(len(ended), 500)]
	}
	text := encode(body)
	w.mu.Unlock()
	out.WriteHeader(status)
	_, _ = out.Write([]byte(text))
}

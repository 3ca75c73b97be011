package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	heartbeat = 1500 * time.Millisecond
	stopTime  = 20 * time.Millisecond // bounds.stop-ms is 50
	holdMax   = 1000                  // bounds.hold-max-ms
	service   = "desk1"
)

// kind is what a worker says about itself in its report.
type kind struct {
	cpu, mem int
	label    string
	rack     string
}

// taskRun is one run of a task on a worker.
type taskRun struct {
	task    string
	run     int64
	worker  string
	cpu     int
	began   time.Time
	done    float64 // milliseconds of work done
	length  float64 // milliseconds of work
	stopAt  time.Time
	ended   string
	endedAt time.Time
}

// worker is a stand-in for a worker of the platform.
type worker struct {
	id, zone, addr string
	store          *store
	rec            *record
	jobs           *jobBook

	mu       sync.Mutex
	kind     kind
	state    string
	boot     int
	down     bool // it has crashed and not started again
	born     time.Time
	began    time.Time
	fence    int64
	due      int64
	running  map[string]*taskRun
	ended    []endRow
	lastEnd  int64
	closed   map[string]int64 // highest run that was stopped or has ended, by task
	changed  chan struct{}
	hang     bool // tasks stand still
	seq      int
	listener net.Listener
	server   *http.Server
	stop     chan struct{}
	history  []*taskRun
	starts   []startNote
}

// startNote is a start that was carried out, with the CPU in use right after it.
type startNote struct {
	at            time.Time
	task          string
	boot          int
	inUse, limit  int
	sinceBornRead time.Duration // since the first list of runs of this boot was sent, 0 if none was
}

type endRow struct {
	n    int64
	task string
	run  int64
	how  string
}

// jobBook knows the jobs that the clients of a case send.
type jobBook struct {
	mu   sync.Mutex
	jobs map[string]*jobSpec
}

// lookup returns the CPU of a task and how long it works, in milliseconds.
func (b *jobBook) lookup(task string) (cpu int, length float64, ok bool) {
	p := strings.Split(task, ".")
	if len(p) != 4 {
		return 0, 0, false
	}
	step, _ := strconv.Atoi(p[2])
	index, _ := strconv.Atoi(p[3])
	b.mu.Lock()
	defer b.mu.Unlock()
	j := b.jobs[p[0]]
	if j == nil || step != 0 || index >= j.tasks {
		return 0, 0, false
	}
	return j.cpu, float64(j.work.Milliseconds()), true
}

func startWorker(e *env, id, zone string, k kind) *worker {
	w := &worker{id: id, zone: zone, store: e.store, rec: e.rec, jobs: e.jobs, kind: k}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		e.fail("listen: %v", err)
	}
	w.addr = l.Addr().String()
	w.start(l)
	e.workers = append(e.workers, w)
	return w
}

// start begins a boot of the worker.
func (w *worker) start(l net.Listener) {
	w.mu.Lock()
	w.boot++
	w.down = false
	w.state, w.born, w.began = "ready", time.Now(), time.Now()
	w.fence, w.due, w.lastEnd, w.ended, w.seq = 0, 0, 0, nil, 0
	w.running, w.closed, w.changed = map[string]*taskRun{}, map[string]int64{}, make(chan struct{})
	w.stop = make(chan struct{})
	w.listener, w.server = l, &http.Server{Handler: w.handler(w.boot)}
	stop, server := w.stop, w.server
	w.mu.Unlock()
	w.report() // before it takes the first order
	go func() { _ = server.Serve(l) }()
	go w.tick(stop)
}

// crash ends the process of the worker: its channels break and all that it held is gone.
func (w *worker) crash() {
	w.mu.Lock()
	close(w.stop)
	server := w.server
	now := time.Now()
	w.down = true
	for _, r := range w.running {
		r.ended, r.endedAt = "crash", now
	}
	w.running = map[string]*taskRun{}
	w.mu.Unlock()
	_ = server.Close()
	w.rec.note("worker %s crashes", w.id)
}

// restart begins a new boot at the same address with the same id.
func (w *worker) restart(k kind) error {
	var l net.Listener
	var err error
	for range 50 {
		if l, err = net.Listen("tcp", w.addr); err == nil {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	w.mu.Lock()
	w.kind = k
	w.mu.Unlock()
	w.rec.note("worker %s starts again at the same address under its id: capacity cpu=%d, kind %s", w.id, k.cpu, k.label)
	w.start(l)
	return nil
}

// report writes the row of the worker.
func (w *worker) report() {
	w.mu.Lock()
	w.seq++
	value := map[string]any{
		"backend": service, "address": w.addr, "zone": w.zone, "version": "v1", "slots": 8, "state": w.state,
		"cold-ms": 0, "capacity": map[string]int{"cpu": w.kind.cpu, "mem-mb": w.kind.mem, "gpus": 0},
		"labels": []string{w.kind.label, w.kind.rack}, "clock-ms": w.clock(), "seq": w.seq, "born": w.born.UnixMilli(),
	}
	if w.state == "draining" {
		value["remaining-ms"] = 2000
	}
	w.mu.Unlock()
	w.store.put("servers", w.id, value)
}

// drain reports that the worker leaves.
func (w *worker) drain() {
	w.mu.Lock()
	w.state = "draining"
	w.mu.Unlock()
	w.report()
	w.rec.note("worker %s: the store has accepted that it is draining", w.id)
}

func (w *worker) clock() int64 { return time.Since(w.began).Milliseconds() + 1 }

// tick lets the tasks work, ends them and lets the lease lapse.
func (w *worker) tick(stop chan struct{}) {
	t := time.NewTicker(2 * time.Millisecond)
	defer t.Stop()
	last, reported := time.Now(), time.Now()
	for {
		select {
		case <-stop:
			return
		case <-t.C:
		}
		now := time.Now()
		w.mu.Lock()
		passed := float64(now.Sub(last).Microseconds()) / 1000
		last = now
		for _, r := range w.running {
			if !w.hang {
				r.done += passed
			}
			switch {
			case !r.stopAt.IsZero() && now.After(r.stopAt):
				w.end(r, "stopped")
			case w.clock() > w.due:
				w.end(r, "lapsed")
			case r.done >= r.length:
				w.end(r, "done")
			}
		}
		w.mu.Unlock()
		if now.Sub(reported) > heartbeat {
			reported = now
			w.report()
		}
	}
}

func (w *worker) end(r *taskRun, how string) {
	delete(w.running, r.task)
	r.ended, r.endedAt = how, time.Now()
	w.closed[r.task] = max(w.closed[r.task], r.run)
	w.lastEnd++
	w.ended = append(w.ended, endRow{w.lastEnd, r.task, r.run, how})
	w.rec.note("worker %s: run %d of %s ends %s", w.id, r.run, r.task, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *worker) inUse() int {
	n := 0
	for _, r := range w.running {
		n += r.cpu
	}
	return n
}

type order struct {
	Task  string `json:"task-id"`
	Run   int64  `json:"run-id"`
	Spec  string `json:"spec"`
	Due   int64  `json:"due-by-ms"`
	Token int64  `json:"fence-token"`
	Seen  int64  `json:"last-seen"`
	Wait  int64  `json:"wait-ms"`
}

func (w *worker) handler(boot int) http.Handler {
	var listed time.Time // when this boot first sent a list of its runs
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			rw.Header().Set("X-Instance-Id", w.id)
			rw.WriteHeader(http.StatusOK)
			return
		}
		if x := r.Header.Get("X-Expect-Instance"); x != "" && x != w.id {
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		var o order
		if json.NewDecoder(r.Body).Decode(&o) != nil {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.boot != boot || w.down {
			panic(http.ErrAbortHandler) // a worker that crashes sends nothing
		}
		if o.Token < w.fence {
			w.answer(rw, http.StatusConflict, map[string]any{"reason": "fence"})
			return
		}
		w.fence = max(w.fence, o.Token)
		switch r.URL.Path {
		case "/-/run-start":
			w.runStart(rw, o, listed)
		case "/-/run-stop":
			if t := w.running[o.Task]; t != nil && t.run <= o.Run && t.stopAt.IsZero() {
				t.stopAt = time.Now().Add(stopTime)
			}
			w.closed[o.Task] = max(w.closed[o.Task], o.Run)
			w.rec.note("worker %s: stop of run %d of %s", w.id, o.Run, o.Task)
			w.answer(rw, http.StatusOK, nil)
		case "/-/hold":
			w.extend(o.Due)
			w.forget(o.Seen)
			w.await(time.Duration(min(o.Wait, 2000))*time.Millisecond, boot)
			if w.boot != boot || w.down {
				panic(http.ErrAbortHandler) // a worker that crashes sends nothing
			}
			if listed.IsZero() {
				listed = time.Now()
				w.rec.note("worker %s: first list of runs of boot %d sent, born %d", w.id, boot, w.born.UnixMilli())
			}
			w.answer(rw, http.StatusOK, w.lists())
		default:
			rw.WriteHeader(http.StatusNotFound)
		}
	})
}

// extend takes the time of a lease, which never shortens.
func (w *worker) extend(due int64) { w.due = max(w.due, min(due, w.clock()+holdMax)) }

func (w *worker) forget(seen int64) {
	for len(w.ended) > 0 && w.ended[0].n <= seen {
		w.ended = w.ended[1:]
	}
}

// await waits for an end. The caller holds the lock.
func (w *worker) await(d time.Duration, boot int) {
	if d <= 0 || len(w.ended) > 0 {
		return
	}
	changed, stop := w.changed, w.stop
	w.mu.Unlock()
	select {
	case <-changed:
	case <-stop:
	case <-time.After(d):
	}
	w.mu.Lock()
}

func (w *worker) runStart(rw http.ResponseWriter, o order, listed time.Time) {
	if o.Due < w.clock() {
		w.answer(rw, http.StatusConflict, map[string]any{"reason": "late"})
		return
	}
	w.extend(o.Due)
	present := w.running[o.Task]
	switch {
	case present != nil && present.run == o.Run:
		w.answer(rw, http.StatusOK, nil)
		return
	case o.Run <= w.closed[o.Task], present != nil:
		w.answer(rw, http.StatusConflict, map[string]any{"reason": "old"})
		return
	}
	cpu, length, ok := w.jobs.lookup(o.Task)
	if !ok {
		w.rec.note("worker %s: start of %s, which no client sent", w.id, o.Task)
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	t := &taskRun{task: o.Task, run: o.Run, worker: w.id, cpu: cpu, began: time.Now(), length: length}
	w.running[o.Task] = t
	w.history = append(w.history, t)
	n := startNote{at: t.began, task: o.Task, boot: w.boot, inUse: w.inUse(), limit: w.kind.cpu}
	if !listed.IsZero() {
		n.sinceBornRead = time.Since(listed)
	}
	w.starts = append(w.starts, n)
	w.rec.note("worker %s: run %d of %s starts (token %d), cpu in use %d of %d", w.id, o.Run, o.Task, o.Token, n.inUse, n.limit)
	w.answer(rw, http.StatusOK, nil)
}

func (w *worker) lists() map[string]any {
	running, ended := [][]any{}, [][]any{}
	for _, r := range w.running {
		running = append(running, []any{r.task, r.run, "", int(100 * r.done / r.length), r.cpu})
	}
	for _, e := range w.ended {
		if len(ended) < 500 {
			ended = append(ended, []any{e.n, e.task, e.run, e.how, ""})
		}
	}
	return map[string]any{"running": running, "ended-runs": ended, "born": w.born.UnixMilli()}
}

func (w *worker) answer(rw http.ResponseWriter, status int, body map[string]any) {
	if body == nil {
		body = map[string]any{}
	}
	body["clock-ms"] = w.clock()
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(body)
}

// runsOf returns the runs of a task on all workers.
func (e *env) runsOf(task string) []*taskRun {
	var list []*taskRun
	for _, w := range e.workers {
		w.mu.Lock()
		for _, r := range w.history {
			if r.task == task {
				c := *r
				list = append(list, &c)
			}
		}
		w.mu.Unlock()
	}
	return list
}

func taskName(job string, index int) string { return fmt.Sprintf("%s.0.0.%d", job, index) }

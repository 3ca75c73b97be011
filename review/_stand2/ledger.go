package main

import (
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"
)

type lockedRandom struct {
	mu sync.Mutex
	r  *rand.Rand
}

func (l *lockedRandom) Float64() float64 { l.mu.Lock(); defer l.mu.Unlock(); return l.r.Float64() }
func (l *lockedRandom) IntN(n int) int   { l.mu.Lock(); defer l.mu.Unlock(); return l.r.IntN(n) }

// Between returns a random duration in milliseconds.
func (l *lockedRandom) Between(a, b int) time.Duration {
	return time.Duration(a+l.IntN(b-a)) * time.Millisecond
}

var random = &lockedRandom{r: rand.New(rand.NewPCG(1, 1))}

// Step is a step of a job.
type Step struct {
	Replicas int           `json:"replicas"`
	CPU      int           `json:"cpu"`
	MemMB    int           `json:"mem-mb"`
	Estimate int           `json:"estimate-ms"`
	After    []int         `json:"after,omitempty"`
	Requires string        `json:"requires,omitempty"`
	Max      int           `json:"max-per-server,omitempty"`
	RunTime  time.Duration `json:"-"`
}

// Job is a job of a client.
type Job struct {
	ID, Host, Prefix, Service string
	Spec                      string
	Steps                     []Step
	Timeout                   time.Duration
	sentAt                    time.Time
	cancelledAt               time.Time
}

func (j *Job) body() string {
	return encode(map[string]any{"spec": j.Spec, "best-effort": true, "steps": j.Steps})
}

// Register makes a job known before it is sent.
func (l *Ledger) Register(j *Job) {
	l.mu.Lock()
	defer l.mu.Unlock()
	j.sentAt = time.Now()
	l.jobs[j.ID] = j
}

func splitTask(task string) (job string, step, index int) {
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return task, -1, -1
	}
	step, _ = strconv.Atoi(parts[2])
	index, _ = strconv.Atoi(parts[3])
	return parts[0], step, index
}

// begin checks a start against what was sent, and returns the run time of the task.
func (l *Ledger) begin(w *Worker, q workerRequest, from string) (time.Duration, string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	id, step, index := splitTask(q.Task)
	j := l.jobs[id]
	if j == nil || step < 0 || step >= len(j.Steps) || index < 0 || index >= j.Steps[step].Replicas {
		l.addBreak("UNASKED", "%s on %s: no client sent it", q.Task, w.ID)
		return 50 * time.Millisecond, "done"
	}
	if q.Spec != j.Spec {
		l.addBreak("UNASKED", "%s on %s: spec %.60q, sent was %.60q", q.Task, w.ID, q.Spec, j.Spec)
	}
	s := j.Steps[step]
	for _, r := range l.runs[q.Task] {
		if r.Ended.IsZero() {
			l.addBreak("TWICE", "%s run %d token %d starts on %s while run %d token %d runs on %s since %v", q.Task, q.Run, q.Token, w.ID, r.Number, r.Token, r.Worker, time.Since(r.Began))
		}
	}
	for _, earlier := range s.After {
		for k := range j.Steps[earlier].Replicas {
			done := false
			for _, r := range l.runs[id+".0."+strconv.Itoa(earlier)+"."+strconv.Itoa(k)] {
				done = done || r.How == "done"
			}
			if !done {
				l.addBreak("ORDER", "%s starts on %s before step %d task %d is done", q.Task, w.ID, earlier, k)
			}
		}
	}
	if w.Service != j.Service {
		l.addBreak("ROUTE", "%s starts on %s of service %s", q.Task, w.ID, w.Service)
	}
	if s.Requires != "" && w.Labels[0] != s.Requires {
		l.addBreak("ROUTE", "%s starts on %s without label %s", q.Task, w.ID, s.Requires)
	}
	if s.Max > 0 {
		n := 0
		for task := range w.runs {
			if other, st, _ := splitTask(task); other == id && st == step && task != q.Task {
				n++
			}
		}
		if n >= s.Max {
			l.addBreak("ROUTE", "%s starts on %s beside %d tasks of its step, allowed are %d", q.Task, w.ID, n, s.Max)
		}
	}
	return s.RunTime, "done"
}

func (l *Ledger) add(r *Run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[r.Task] = append(l.runs[r.Task], r)
	Note("start %s run %d token %d on %s", r.Task, r.Number, r.Token, r.Worker)
}

// checkWorker checks the capacity of a worker, whose lock is held.
func (l *Ledger) checkWorker(w *Worker) {
	l.mu.Lock()
	defer l.mu.Unlock()
	used := 0
	for task := range w.runs {
		id, step, _ := splitTask(task)
		if j := l.jobs[id]; j != nil && step >= 0 && step < len(j.Steps) {
			used += j.Steps[step].CPU
		}
	}
	if used > w.MilliCores {
		l.addBreak("LIMIT", "%s runs %d of %d", w.ID, used, w.MilliCores)
	}
}

// AllDone reports whether each task of a job has a run that ended done.
func (l *Ledger) AllDone(j *Job) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, s := range j.Steps {
		for k := range s.Replicas {
			done := false
			for _, r := range l.runs[j.ID+".0."+strconv.Itoa(i)+"."+strconv.Itoa(k)] {
				done = done || r.How == "done"
			}
			if !done {
				return false
			}
		}
	}
	return true
}

package fakes

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"foxtailmux/lease"
	"foxtailmux/model"
)

// Run is a run of a task on a leased worker. Token is that of the home that requested it.
type Run struct {
	Task, Worker  string
	Number, Token int64
	Late          bool      // the worker carried out the start request late
	Began, Ended  time.Time // Ended is zero while the run is in progress
	Reason        lease.EndReason
}

// timeLayout is that of the programs' logs.
const timeLayout = "2006-01-02T15:04:05.000Z"

// String describes the run in a line.
func (r Run) String() string {
	end := "in progress"
	if !r.Ended.IsZero() {
		end = fmt.Sprintf("%s at %s", r.Reason, r.Ended.UTC().Format(timeLayout))
	}
	return fmt.Sprintf("%s run %d token %d on %s late %t began %s, %s",
		r.Task, r.Number, r.Token, r.Worker, r.Late, r.Began.UTC().Format(timeLayout), end)
}

// Ledger records the runs on all leased workers of a test. It also records
// violations: two concurrent runs of one task, and a worker whose runs need more
// than its capacity.
type Ledger struct {
	mu         sync.Mutex
	runs       map[string][]*Run // by task, in the order of their starts
	overlaps   [][2]*Run
	violations []string
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{runs: map[string][]*Run{}} }

// Violations returns a description of each violation.
func (l *Ledger) Violations() []string {
	overlaps := l.Overlaps()
	l.mu.Lock()
	defer l.mu.Unlock()
	list := slices.Clone(l.violations)
	for _, o := range overlaps {
		list = append(list, fmt.Sprintf("two runs at once: [%v] while [%v]", o[1], o[0]))
	}
	return list
}

// Overlaps returns each pair of concurrent runs of one task, the earlier one first.
func (l *Ledger) Overlaps() [][2]Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list [][2]Run
	for _, o := range l.overlaps {
		list = append(list, [2]Run{*o[0], *o[1]})
	}
	return list
}

// Runs returns the runs of a task in the order of their starts.
func (l *Ledger) Runs(task string) []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []Run
	for _, r := range l.runs[task] {
		list = append(list, *r)
	}
	return list
}

// Starts returns the number of runs of a task that were started.
func (l *Ledger) Starts(task string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.runs[task])
}

// Done returns the number of runs of a task that ended as done.
func (l *Ledger) Done(task string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, r := range l.runs[task] {
		if r.Reason == lease.Done {
			n++
		}
	}
	return n
}

// WorkerOf returns the id of the worker that runs a task, or "" if none does.
func (l *Ledger) WorkerOf(task string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.runs[task] {
		if r.Ended.IsZero() {
			return r.Worker
		}
	}
	return ""
}

// RunningTasks returns the number of running tasks.
func (l *Ledger) RunningTasks() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, runs := range l.runs {
		if slices.ContainsFunc(runs, func(r *Run) bool { return r.Ended.IsZero() }) {
			n++
		}
	}
	return n
}

func (l *Ledger) recordStart(r *Run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.Began = time.Now()
	for _, other := range l.runs[r.Task] {
		if other.Ended.IsZero() {
			l.overlaps = append(l.overlaps, [2]*Run{other, r})
		}
	}
	l.runs[r.Task] = append(l.runs[r.Task], r)
}

// recordEnd records the end of a run. The reason is empty for the end of its worker.
func (l *Ledger) recordEnd(r *Run, reason lease.EndReason) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.Ended, r.Reason = time.Now(), reason
}

func (l *Ledger) addViolation(text string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.violations = append(l.violations, text)
}

// LeasedWorkerFaults are the fault switches of a leased worker. The zero value
// is a healthy worker. A request is a start request, a stop request or a lease
// renewal.
type LeasedWorkerFaults struct {
	Unresponsive   bool          // requests are neither executed nor responded to
	LoseResponses  bool          // requests are executed, but get no response
	StartDelay     time.Duration // start requests get no response and are executed after this time
	LateShare      float64       // share of requests that get no response and are executed 2 to 12 s later
	FailEverything bool          // every run fails after 5 ms
	Stalled        bool          // new runs make no progress
	Unhealthy      bool          // start requests are refused
	Slowdown       float64       // factor on the run times; 0 means 1
}

const (
	maxLeaseTime       = time.Second
	leasedStopTime     = 30 * time.Millisecond
	leasedResponseTime = time.Millisecond
	leasedFailureTime  = 5 * time.Millisecond
	initialClockMillis = 100_000 // of a worker's clock at its start
	clockRounding      = 2       // in milliseconds of the clock, by which a timer for the end of a lease may be early

	minLateDelay = 2 * time.Second
	maxLateDelay = 12 * time.Second
)

// ErrNoResponse is returned for a request that got no response.
var ErrNoResponse = errors.New("no response")

// LeasedWorker is a stand-in for a worker whose runs are covered by a lease. It
// also starts runs that exceed its capacity, and records them in the ledger as
// violations.
type LeasedWorker struct {
	ID       string
	Capacity model.Resources
	Needs    func(task string) model.Resources
	RunTime  func(task string) time.Duration
	Fails    func(task string) bool

	ClockRate float64 // of the worker's clock, in seconds by it a second

	ledger    *Ledger
	startedAt time.Time

	mu           sync.Mutex
	random       *rand.Rand
	faults       LeasedWorkerFaults
	incarnation  int64
	token        int64
	leaseUntil   int64
	runs         map[string]*leasedRun
	lastRun      map[string]int64 // highest number of a run that ended or was stopped, by task
	endedRuns    []lease.EndedRun
	lastSequence int64
	runEnded     chan struct{}
	renewals     int
}

// leasedRun is a run in progress. Its number comes from the start request.
type leasedRun struct {
	number    int64
	record    *Run
	startedAt time.Time
	runTime   time.Duration
	timer     *time.Timer
	stopping  bool
}

// NewLeasedWorker returns a worker without runs. By default, tasks need no
// resources, take 50 ms and succeed.
func NewLeasedWorker(id string, capacity model.Resources, ledger *Ledger) *LeasedWorker {
	return &LeasedWorker{
		ID: id, Capacity: capacity, ledger: ledger, startedAt: time.Now(), incarnation: time.Now().UnixMilli(),
		Needs:   func(string) model.Resources { return model.Resources{} },
		RunTime: func(string) time.Duration { return 50 * time.Millisecond },
		Fails:   func(string) bool { return false }, ClockRate: 1,
		random: rand.New(rand.NewPCG(xxhash.Sum64String(id), 0)),
		runs:   map[string]*leasedRun{}, lastRun: map[string]int64{}, runEnded: make(chan struct{}),
	}
}

// SetFaults replaces the fault switches.
func (w *LeasedWorker) SetFaults(f LeasedWorkerFaults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = f
}

// SetCapacity replaces the capacity, which is that of the next incarnation if Crash follows.
func (w *LeasedWorker) SetCapacity(capacity model.Resources) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.Capacity = capacity
}

// SetRunTime replaces the run times of tasks that begin from now on.
func (w *LeasedWorker) SetRunTime(of func(task string) time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.RunTime = of
}

// Incarnation returns the present incarnation.
func (w *LeasedWorker) Incarnation() int64 { return w.currentIncarnation() }

// Renewals returns the number of lease renewals that were executed or refused as
// fenced.
func (w *LeasedWorker) Renewals() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.renewals
}

// Crash ends all runs and restarts the worker at once, as a new incarnation. Requests that the
// old one has received and not executed yet are lost with its memory.
func (w *LeasedWorker) Crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.runs {
		r.timer.Stop()
		w.ledger.recordEnd(r.record, "")
	}
	w.runs, w.lastRun, w.endedRuns = map[string]*leasedRun{}, map[string]int64{}, nil
	w.token, w.leaseUntil, w.lastSequence = 0, 0, 0
	w.incarnation++
	w.startedAt = time.Now()
	w.notifyRunEnded()
}

// clock returns the worker's clock in milliseconds.
func (w *LeasedWorker) clock() int64 {
	return initialClockMillis + int64(float64(time.Since(w.startedAt).Milliseconds())*w.ClockRate)
}

// receive simulates the arrival of a request and returns the fault switches. It
// reports false, after the timeout, if the request must not be executed now. It
// draws a share LateShare of the requests, for which it calls execute later.
func (w *LeasedWorker) receive(timeout time.Duration, execute func()) (LeasedWorkerFaults, bool) {
	w.mu.Lock()
	f, incarnation := w.faults, w.incarnation
	late := f.LateShare > 0 && w.random.Float64() < f.LateShare
	delay := minLateDelay + time.Duration(w.random.Float64()*float64(maxLateDelay-minLateDelay))
	w.mu.Unlock()
	if late {
		w.executeAfter(delay, execute)
	}
	if f.Unresponsive || late {
		time.Sleep(timeout)
		return f, false
	}
	time.Sleep(leasedResponseTime)
	return f, w.currentIncarnation() == incarnation
}

// executeAfter executes a request after a delay, unless the worker has crashed by then.
func (w *LeasedWorker) executeAfter(delay time.Duration, execute func()) {
	incarnation := w.currentIncarnation()
	time.AfterFunc(delay, func() {
		if w.currentIncarnation() == incarnation {
			execute()
		}
	})
}

func (w *LeasedWorker) currentIncarnation() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.incarnation
}

// waitIfResponseLost waits for the timeout and returns ErrNoResponse if responses are to be
// lost, else nil.
func (w *LeasedWorker) waitIfResponseLost(f LeasedWorkerFaults, timeout time.Duration) error {
	if !f.LoseResponses {
		return nil
	}
	time.Sleep(timeout)
	return ErrNoResponse
}

// Start handles a start request. If the fault switches suppress the response, it
// returns ErrNoResponse after the timeout.
func (w *LeasedWorker) Start(s lease.Start, timeout time.Duration) (lease.Reply, error) {
	if s.Incarnation != w.currentIncarnation() {
		return lease.Reply{Refusal: lease.OtherIncarnation}, nil
	}
	f, ok := w.receive(timeout, func() { w.applyStart(s, true) })
	if !ok {
		return lease.Reply{}, ErrNoResponse
	}
	if f.StartDelay > 0 {
		w.executeAfter(f.StartDelay, func() { w.applyStart(s, true) })
		time.Sleep(timeout)
		return lease.Reply{}, ErrNoResponse
	}
	reply := w.applyStart(s, false)
	return reply, w.waitIfResponseLost(f, timeout)
}

// applyStart starts the run or refuses it. A run that already runs is not started
// again, and the response is the same.
func (w *LeasedWorker) applyStart(s lease.Start, late bool) lease.Reply {
	w.mu.Lock()
	defer w.mu.Unlock()
	reply := lease.Reply{Clock: w.clock()}
	switch r := w.runs[s.Task]; {
	case s.Token < w.token:
		reply.Refusal = lease.Fenced
	case w.faults.Unhealthy:
		reply.Refusal = lease.Unhealthy
	case r != nil && r.number == s.Run:
	case s.Run <= w.lastRun[s.Task], r != nil && s.Run < r.number:
		reply.Refusal = lease.Outdated
	case s.Until <= reply.Clock:
		reply.Refusal = lease.Late
	default:
		w.beginRun(s, late)
	}
	w.token = max(w.token, s.Token)
	return reply
}

// beginRun extends the lease and starts the run, even above the capacity or beside an earlier run.
func (w *LeasedWorker) beginRun(s lease.Start, late bool) {
	w.extendLease(s.Until)
	record := &Run{Task: s.Task, Worker: w.ID, Number: s.Run, Token: s.Token, Late: late}
	r := &leasedRun{number: s.Run, record: record, startedAt: time.Now(), runTime: w.RunTime(s.Task)}
	reason := lease.Done
	if w.faults.FailEverything || w.Fails(s.Task) {
		r.runTime, reason = leasedFailureTime, lease.Failed
	}
	if w.faults.Slowdown > 0 {
		r.runTime = time.Duration(float64(r.runTime) * w.faults.Slowdown)
	}
	if w.faults.Stalled {
		r.runTime = time.Hour
	}
	w.ledger.recordStart(record)
	if earlier := w.runs[s.Task]; earlier != nil {
		earlier.timer.Stop()
		w.ledger.recordEnd(earlier.record, lease.Stopped)
	}
	w.runs[s.Task] = r
	r.timer = time.AfterFunc(r.runTime, func() { w.endRun(s.Task, s.Run, reason) })

	var used model.Resources
	for task := range w.runs {
		used = used.Plus(w.Needs(task))
	}
	if !used.Within(w.Capacity) {
		w.ledger.addViolation(fmt.Sprintf("%s is above its capacity: %+v", w.ID, used))
	}
}

// extendLease extends the lease of all runs until the given time of the worker's
// clock, in milliseconds, but at most by maxLeaseTime from now.
func (w *LeasedWorker) extendLease(until int64) {
	until = min(until, w.clock()+maxLeaseTime.Milliseconds())
	if until <= w.leaseUntil {
		return
	}
	w.leaseUntil = until
	left := float64(until-w.clock()) / w.ClockRate // rounded up: at the end of the lease the clock has to show it
	time.AfterFunc(time.Duration(math.Ceil(left))*time.Millisecond, w.expireLease)
}

// expireLease ends all runs if the lease has not been extended since.
func (w *LeasedWorker) expireLease() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if left := w.leaseUntil - w.clock(); left > 0 {
		if left <= clockRounding {
			time.AfterFunc(time.Millisecond, w.expireLease)
		}
		return
	}
	for task, r := range w.runs {
		w.recordEnd(task, r, lease.Expired)
	}
}

// endRun ends the given run of a task unless it has ended before.
func (w *LeasedWorker) endRun(task string, run int64, reason lease.EndReason) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if r := w.runs[task]; r != nil && r.number == run {
		w.recordEnd(task, r, reason)
	}
}

// recordEnd removes a run, records it as ended and notifies waiting renewals.
func (w *LeasedWorker) recordEnd(task string, r *leasedRun, reason lease.EndReason) {
	r.timer.Stop()
	delete(w.runs, task)
	w.ledger.recordEnd(r.record, reason)
	w.lastRun[task] = max(w.lastRun[task], r.number)
	w.lastSequence++
	w.endedRuns = append(w.endedRuns, lease.EndedRun{Sequence: w.lastSequence, Task: task, Run: r.number, Reason: reason})
	w.notifyRunEnded()
}

// notifyRunEnded wakes up the waiting renewals.
func (w *LeasedWorker) notifyRunEnded() {
	close(w.runEnded)
	w.runEnded = make(chan struct{})
}

// Stop handles a stop request. If the fault switches suppress the response, it
// returns ErrNoResponse after the timeout.
func (w *LeasedWorker) Stop(s lease.Stop, timeout time.Duration) (lease.Reply, error) {
	f, ok := w.receive(timeout, func() { w.applyStop(s) })
	if !ok {
		return lease.Reply{}, ErrNoResponse
	}
	reply := w.applyStop(s)
	return reply, w.waitIfResponseLost(f, timeout)
}

// applyStop stops the task's run up to the given number, and makes later start
// requests of these runs outdated.
func (w *LeasedWorker) applyStop(s lease.Stop) lease.Reply {
	w.mu.Lock()
	defer w.mu.Unlock()
	reply := lease.Reply{Clock: w.clock()}
	if s.Token < w.token {
		reply.Refusal = lease.Fenced
		return reply
	}
	w.token = s.Token
	w.lastRun[s.Task] = max(w.lastRun[s.Task], s.Run)
	if r := w.runs[s.Task]; r != nil && r.number <= s.Run && !r.stopping {
		r.stopping = true
		time.AfterFunc(leasedStopTime, func() { w.endRun(s.Task, r.number, lease.Stopped) })
	}
	return reply
}

// Renew handles a lease renewal. If the fault switches suppress the response, it
// returns ErrNoResponse after the timeout.
func (w *LeasedWorker) Renew(h lease.Renewal, timeout time.Duration) (lease.Report, error) {
	f, ok := w.receive(timeout, func() { w.applyRenewal(h) })
	if !ok {
		return lease.Report{}, ErrNoResponse
	}
	incarnation := w.currentIncarnation()
	runEnded, accepted := w.applyRenewal(h)
	if !accepted {
		w.mu.Lock()
		report := lease.Report{Reply: lease.Reply{Clock: w.clock(), Refusal: lease.Fenced}}
		w.mu.Unlock()
		return report, w.waitIfResponseLost(f, timeout)
	}
	if runEnded != nil {
		select {
		case <-runEnded:
		case <-time.After(time.Duration(h.WaitMillis) * time.Millisecond):
		}
	}
	if w.currentIncarnation() != incarnation {
		return lease.Report{}, ErrNoResponse // the connections of the crashed process are closed
	}
	return w.report(), w.waitIfResponseLost(f, timeout)
}

// applyRenewal extends the lease and discards the acknowledged ended runs. If the
// renewal has to wait for the next ended run, it returns a channel that is closed
// when a run ends.
func (w *LeasedWorker) applyRenewal(h lease.Renewal) (runEnded chan struct{}, accepted bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.renewals++
	if h.Token < w.token {
		return nil, false
	}
	w.token = h.Token
	if h.Until > 0 {
		w.extendLease(h.Until)
	}
	w.endedRuns = slices.DeleteFunc(w.endedRuns, func(e lease.EndedRun) bool { return e.Sequence <= h.LastEndSeen })
	if len(w.endedRuns) == 0 && h.WaitMillis > 0 {
		runEnded = w.runEnded
	}
	return runEnded, true
}

// report returns the running and the unacknowledged ended runs.
func (w *LeasedWorker) report() lease.Report {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := lease.Report{Reply: lease.Reply{Clock: w.clock()}, Incarnation: w.incarnation, Ended: slices.Clone(w.endedRuns)}
	for task, run := range w.runs {
		percent := int(100 * time.Since(run.startedAt) / run.runTime)
		r.Active = append(r.Active, lease.Active{Task: task, Run: run.number, Percent: min(percent, 99)})
	}
	return r
}

// Close does nothing: a leased worker has no connections.
func (w *LeasedWorker) Close() {}

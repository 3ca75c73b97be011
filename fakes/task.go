package fakes

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"time"

	"foxtailmux/model"
)

// Payload is the JSON payload of a task that the stand-in understands. EchoBytes
// is the size of the echo in the result.
type Payload struct {
	Nonce     string `json:"nonce"`
	RunMillis int64  `json:"runMillis"`
	Fail      bool   `json:"fail,omitempty"`
	EchoBytes int    `json:"echoBytes,omitempty"`
}

// TaskResult is the JSON result of a task that succeeded.
type TaskResult struct {
	Nonce  string `json:"nonce"`
	Worker string `json:"worker"`
	Echo   string `json:"echo,omitempty"`
}

// Reasons in the replies for tasks that did not succeed.
const (
	reasonLeaving   = "leaving"
	reasonSlots     = "no free slot"
	reasonNeeds     = "needs exceed the capacity"
	reasonLease     = "lease expired"
	reasonCancelled = "cancelled"
	reasonStopped   = "worker stopped"
	reasonFault     = "fails everything"
	reasonPayload   = "payload can't be decoded"
	reasonTask      = "task failed"
)

// maxEchoBytes bounds the size of the echo in a result.
const maxEchoBytes = 1 << 20

// attempt is one attempt to run a task. It occupies a slot.
type attempt struct {
	request model.StartRequest
	payload Payload
	invalid bool // the payload can't be decoded
	cancel  chan struct{}
}

func newAttempt(request model.StartRequest) *attempt {
	a := &attempt{request: request, cancel: make(chan struct{})}
	if len(request.Payload) > 0 {
		a.invalid = json.Unmarshal(request.Payload, &a.payload) != nil
	}
	return a
}

// event returns an event of the attempt without its time.
func (a *attempt) event(name, worker string, outcome model.TaskOutcome) Event {
	return Event{
		Event:   name,
		TaskID:  a.request.TaskID,
		Attempt: a.request.Attempt,
		Worker:  worker,
		Nonce:   a.payload.Nonce,
		Outcome: outcome,
	}
}

// serveStart handles a start request and responds when the attempt has ended. first
// reports whether it is the first request on its connection.
func (w *Worker) serveStart(rw http.ResponseWriter, r *http.Request, first bool) {
	faults := w.Faults()
	if faults.CloseBeforeStart && !first {
		abort()
	}

	var request model.StartRequest
	if err := readJSON(r, &request); err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	if request.TaskID == "" {
		http.Error(rw, "no taskId", http.StatusBadRequest)
		return
	}

	a := newAttempt(request)
	if reason := w.begin(a); reason != "" {
		w.reply(rw, model.TaskReply{TaskID: request.TaskID, Outcome: model.OutcomeNotRun, Reason: reason})
		return
	}
	if faults.CloseAfterRead {
		go w.run(a)
		abort()
	}
	w.reply(rw, w.run(a))
}

// begin occupies a slot and records the start, or returns the reason why the
// attempt is refused.
func (w *Worker) begin(a *attempt) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.faults.Leaving && !w.faults.LeavingAccepts:
		return reasonLeaving
	case w.busy >= w.options.Slots:
		return reasonSlots
	case exceeds(a.request.Needs, w.options.Capacity):
		return reasonNeeds
	case !w.server.startWork():
		return reasonStopped
	}

	w.events.Add(a.event(EventStart, w.options.ID, ""))
	w.busy++
	id := a.request.TaskID
	w.running[id] = append(w.running[id], a)
	return ""
}

// exceeds reports whether the needs are larger than the capacity. Cores and
// memory are unlimited if the capacity has 0 of them.
func exceeds(needs, capacity model.Resources) bool {
	over := func(need, limit int) bool { return limit > 0 && need > limit }
	return over(needs.Cores, capacity.Cores) ||
		over(needs.MemoryMB, capacity.MemoryMB) ||
		needs.Accelerators > capacity.Accelerators
}

// run executes the attempt, frees its slot and records its end.
func (w *Worker) run(a *attempt) model.TaskReply {
	defer w.server.endWork()
	started := time.Now()
	reply := w.execute(a)
	reply.TaskID = a.request.TaskID
	reply.RunMillis = time.Since(started).Milliseconds()

	w.finish(a)
	w.events.Add(a.event(EventEnd, w.options.ID, reply.Outcome))
	return reply
}

// execute runs the task as its payload and the fault switches say.
func (w *Worker) execute(a *attempt) model.TaskReply {
	faults := w.Faults()
	if faults.FailEverything {
		return model.TaskReply{Outcome: model.OutcomeFailed, Reason: reasonFault}
	}
	if a.invalid {
		return model.TaskReply{Outcome: model.OutcomeFailed, Reason: reasonPayload}
	}

	if reason := w.wait(a, runTime(a.payload, faults)); reason != "" {
		return model.TaskReply{Outcome: model.OutcomeCancelled, Reason: reason}
	}
	if a.payload.Fail {
		return model.TaskReply{Outcome: model.OutcomeFailed, Reason: reasonTask}
	}
	return model.TaskReply{Outcome: model.OutcomeDone, Result: w.result(a.payload)}
}

func runTime(payload Payload, faults WorkerFaults) time.Duration {
	run := time.Duration(payload.RunMillis) * time.Millisecond
	if faults.SlowFactor > 0 {
		run = time.Duration(float64(run) * faults.SlowFactor)
	}
	return run
}

// wait waits for the run time. It returns the reason if the attempt is ended
// early, else an empty string.
func (w *Worker) wait(a *attempt, run time.Duration) string {
	var lease <-chan time.Time
	if a.request.LeaseMillis > 0 {
		timer := time.NewTimer(time.Duration(a.request.LeaseMillis) * time.Millisecond)
		defer timer.Stop()
		lease = timer.C
	}
	done := time.NewTimer(run)
	defer done.Stop()

	select {
	case <-done.C:
		return ""
	case <-lease:
		return reasonLease
	case <-a.cancel:
		return reasonCancelled
	case <-w.server.ctx.Done():
		return reasonStopped
	}
}

func (w *Worker) result(payload Payload) json.RawMessage {
	echo := strings.Repeat("x", min(max(payload.EchoBytes, 0), maxEchoBytes))
	result, err := json.Marshal(TaskResult{Nonce: payload.Nonce, Worker: w.options.ID, Echo: echo})
	if err != nil {
		panic(err)
	}
	return result
}

// finish frees the slot of the attempt and records that its task has ended.
func (w *Worker) finish(a *attempt) {
	w.mu.Lock()
	defer w.mu.Unlock()
	id := a.request.TaskID
	w.busy--
	rest := slices.DeleteFunc(w.running[id], func(b *attempt) bool { return a == b })
	w.running[id] = rest
	if len(rest) == 0 {
		delete(w.running, id)
	}

	if _, ok := w.endedTasks[id]; ok {
		return
	}
	w.endedTasks[id] = struct{}{}
	w.endedOrder = append(w.endedOrder, id)
	if len(w.endedOrder) > maxEndedTasks {
		delete(w.endedTasks, w.endedOrder[0])
		w.endedOrder = w.endedOrder[1:]
	}
}

// reply sends a reply together with the worker's status.
func (w *Worker) reply(rw http.ResponseWriter, reply model.TaskReply) {
	status := w.Status()
	reply.BusySlots = status.BusySlots
	reply.Leaving = status.Leaving
	writeJSON(rw, replyStatus(reply.Outcome), reply)
}

func replyStatus(outcome model.TaskOutcome) int {
	switch outcome {
	case model.OutcomeDone:
		return http.StatusOK
	case model.OutcomeNotRun:
		return http.StatusServiceUnavailable
	case model.OutcomeCancelled:
		return http.StatusConflict
	default:
		return http.StatusInternalServerError
	}
}

func (w *Worker) serveCancel(rw http.ResponseWriter, r *http.Request) {
	id, ok := pathSuffix(r, TasksPath+"/")
	if !ok {
		http.Error(rw, "no task id", http.StatusBadRequest)
		return
	}
	if w.Faults().CancelIgnored {
		http.Error(rw, "cancellation ignored", http.StatusServiceUnavailable)
		return
	}
	writeJSON(rw, http.StatusOK, model.CancelReply{TaskID: id, Outcome: w.cancel(id)})
}

// cancel ends every running attempt of the task. It returns OutcomeCancelled if
// there was one, OutcomeDone if the task has ended before, else OutcomeNotRun.
func (w *Worker) cancel(id string) model.TaskOutcome {
	w.mu.Lock()
	defer w.mu.Unlock()
	attempts := w.running[id]
	for _, a := range attempts {
		select {
		case <-a.cancel:
		default:
			close(a.cancel)
		}
	}
	if len(attempts) > 0 {
		return model.OutcomeCancelled
	}
	if _, ok := w.endedTasks[id]; ok {
		return model.OutcomeDone
	}
	return model.OutcomeNotRun
}

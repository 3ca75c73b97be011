package load

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/sourcegraph/conc"

	"foxtailmux/fakes"
	"foxtailmux/model"
	"foxtailmux/worker"
)

// directDispatcher runs jobs on the workers without entry instances, as a
// baseline: tasks wait in one FIFO queue for any free slot of the fleet.
type directDispatcher struct {
	slots    chan *worker.Client // free slots, each as the client of its worker
	maxCores int                 // of the largest worker
}

// newDirectDispatcher returns a dispatcher in front of the fleet. The slots of
// the workers alternate, so that tasks spread over all of them.
func newDirectDispatcher(fleet *fakes.Fleet) *directDispatcher {
	d := &directDispatcher{}
	var clients []*worker.Client
	maxSlots := 0
	for _, w := range fleet.Workers {
		info := w.Describe()
		d.maxCores = max(d.maxCores, info.Capacity.Cores)
		maxSlots = max(maxSlots, info.Slots)
		clients = append(clients, worker.NewClient(info.Addr, worker.DialTCP, maxConnIdleTime))
	}

	d.slots = make(chan *worker.Client, maxSlots*len(clients))
	for range maxSlots {
		for _, c := range clients {
			d.slots <- c
		}
	}
	return d
}

// runJob starts all tasks of a job, waits for them and returns the HTTP status
// and the answer that an entry instance would give. It neither retries a task
// nor observes the deadline.
func (d *directDispatcher) runJob(job model.Job) (int, model.Answer) {
	id := rand.Text()
	for _, t := range job.Tasks {
		if t.Needs.Cores > d.maxCores {
			return http.StatusUnprocessableEntity, model.Fail(id, model.RanNo, model.FailNeverFits, "")
		}
	}

	answer := model.Answer{JobID: id, Result: model.Complete, Ran: model.RanYes}
	answer.Tasks = make([]json.RawMessage, len(job.Tasks))
	errs := make([]error, len(job.Tasks))
	var group conc.WaitGroup
	for i, t := range job.Tasks {
		group.Go(func() { answer.Tasks[i], errs[i] = d.startTask(job, fmt.Sprintf("%s-%d", id, i), t) })
	}
	group.Wait()

	if err := firstError(errs...); err != nil {
		return http.StatusBadGateway, model.Fail(id, model.RanMaybe, model.FailWorkerError, err.Error())
	}
	return http.StatusOK, answer
}

// startTask waits for a free slot, runs the task on its worker and returns the
// result.
func (d *directDispatcher) startTask(job model.Job, id string, t model.Task) (json.RawMessage, error) {
	client := <-d.slots
	defer func() { d.slots <- client }()

	reply, err := client.Start(context.Background(), model.StartRequest{
		TaskID:      id,
		Attempt:     1,
		Team:        job.Team,
		Service:     job.Service,
		LeaseMillis: int64(readyTimeout / time.Millisecond),
		Needs:       t.Needs,
		Payload:     t.Payload,
	})
	return reply.Result, err
}

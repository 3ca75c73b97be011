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

// direct runs jobs without entry instances: one queue for all tasks, in the
// order of their arrival, in front of every slot of the fleet.
type direct struct {
	slots chan *worker.Client
	cores int // of the largest worker
}

func newDirect(fleet *fakes.Fleet) *direct {
	d := &direct{}
	var clients []*worker.Client
	most := 0
	for _, w := range fleet.Workers {
		info := w.Describe()
		d.cores = max(d.cores, info.Capacity.Cores)
		most = max(most, info.Slots)
		clients = append(clients, worker.NewClient(info.Addr, worker.DialTCP, maxIdleConn))
	}

	d.slots = make(chan *worker.Client, most*len(clients))
	for range most {
		for _, c := range clients {
			d.slots <- c
		}
	}
	return d
}

func (d *direct) run(job model.Job) (int, model.Answer) {
	id := rand.Text()
	for _, t := range job.Tasks {
		if t.Needs.Cores > d.cores {
			return http.StatusUnprocessableEntity, model.Fail(id, model.RanNo, model.FailNeverFits, "")
		}
	}

	answer := model.Answer{JobID: id, Result: model.Complete, Ran: model.RanYes}
	answer.Tasks = make([]json.RawMessage, len(job.Tasks))
	errs := make([]error, len(job.Tasks))
	var group conc.WaitGroup
	for i, t := range job.Tasks {
		group.Go(func() { answer.Tasks[i], errs[i] = d.start(job, fmt.Sprintf("%s-%d", id, i), t) })
	}
	group.Wait()

	if err := firstError(errs...); err != nil {
		return http.StatusBadGateway, model.Fail(id, model.RanMaybe, model.FailWorkerError, err.Error())
	}
	return http.StatusOK, answer
}

func (d *direct) start(job model.Job, id string, t model.Task) (json.RawMessage, error) {
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

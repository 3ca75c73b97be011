package relay

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"foxtailmux/queue"
)

// ServeRun runs a peer's batch on the workers of this instance and returns
// when each of its tasks has ended.
func (r *Relay) ServeRun(ctx context.Context, params json.RawMessage) (any, error) {
	var b Batch
	if err := decode(params, &b); err != nil {
		return nil, err
	}
	if b.LeftMillis <= 0 {
		return notRunReply(len(b.Tasks)), nil
	}

	deadline := time.Now().Add(time.Duration(b.LeftMillis) * time.Millisecond)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	defer r.track(b.JobID, cancel)()

	reply := r.runBatch(ctx, b, deadline)
	load := r.Local.Load()
	reply.Load = &load
	return reply, nil
}

func (r *Relay) runBatch(ctx context.Context, b Batch, deadline time.Time) BatchReply {
	reply := BatchReply{Outcomes: make([]TaskOutcome, len(b.Tasks))}
	var waiting sync.WaitGroup
	waiting.Add(len(b.Tasks))

	j := &queue.Job{
		Context:  ctx,
		ID:       b.JobID,
		Team:     b.Team,
		Pool:     b.Pool,
		Weight:   b.Weight,
		Arrived:  time.Now(),
		Deadline: deadline,
		Pinned:   true,
	}
	for i, t := range b.Tasks {
		j.Items = append(j.Items, &queue.Item{
			Request:     t.Request,
			ExpectedRun: time.Duration(t.ExpectedMillis) * time.Millisecond,
			Deliver: func(o queue.Outcome) {
				reply.Outcomes[i] = outcomeOf(o)
				waiting.Done()
			},
		})
	}

	if err := r.Local.Submit(j); err != nil {
		return notRunReply(len(b.Tasks))
	}
	waiting.Wait()
	return reply
}

func outcomeOf(o queue.Outcome) TaskOutcome {
	switch {
	case o.NotRun:
		return TaskOutcome{NotRun: true}
	case o.Err != nil:
		return TaskOutcome{Unconfirmed: eris.ToString(o.Err, false)}
	default:
		return TaskOutcome{Reply: o.Reply}
	}
}

func notRunReply(tasks int) BatchReply {
	return BatchReply{Outcomes: slices.Repeat([]TaskOutcome{{NotRun: true}}, tasks)}
}

// ServeCancel stops the batches of a job.
func (r *Relay) ServeCancel(_ context.Context, params json.RawMessage) (any, error) {
	var c Cancellation
	if err := decode(params, &c); err != nil {
		return nil, err
	}

	r.mu.Lock()
	cancels := slices.Collect(maps.Values(r.running[c.JobID]))
	r.mu.Unlock()

	for _, cancel := range cancels {
		cancel()
	}
	return struct{}{}, nil
}

// track keeps the cancel function of a batch until the returned function is
// called.
func (r *Relay) track(jobID string, cancel context.CancelFunc) func() {
	r.mu.Lock()
	defer r.mu.Unlock()

	if r.running == nil {
		r.running = map[string]map[int]context.CancelFunc{}
	}
	if r.running[jobID] == nil {
		r.running[jobID] = map[int]context.CancelFunc{}
	}
	r.batches++
	batch := r.batches
	r.running[jobID][batch] = cancel
	return func() { r.untrack(jobID, batch) }
}

func (r *Relay) untrack(jobID string, batch int) {
	r.mu.Lock()
	defer r.mu.Unlock()

	delete(r.running[jobID], batch)
	if len(r.running[jobID]) == 0 {
		delete(r.running, jobID)
	}
}

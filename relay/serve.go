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

// ServeRun serves MethodRun: it runs the batch of a peer on the workers of this
// instance and returns the BatchReply when each task has ended. If the deadline has
// passed or the scheduler refuses the batch, all outcomes are NotRun. Malformed
// parameters give an *Error of KindBadCall.
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
	defer r.trackBatch(b.JobID, cancel)()

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
				reply.Outcomes[i] = newTaskOutcome(o)
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

func newTaskOutcome(o queue.Outcome) TaskOutcome {
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

// ServeCancel serves MethodCancel: it cancels the contexts of the job's batches.
// Malformed parameters give an *Error of KindBadCall.
func (r *Relay) ServeCancel(_ context.Context, params json.RawMessage) (any, error) {
	var c Cancellation
	if err := decode(params, &c); err != nil {
		return nil, err
	}

	r.mu.Lock()
	cancels := slices.Collect(maps.Values(r.cancels[c.JobID]))
	r.mu.Unlock()

	for _, cancel := range cancels {
		cancel()
	}
	return struct{}{}, nil
}

// trackBatch stores the cancel function of a batch for ServeCancel until the
// returned function is called.
func (r *Relay) trackBatch(jobID string, cancel context.CancelFunc) func() {
	r.mu.Lock()
	defer r.mu.Unlock()

	if r.cancels == nil {
		r.cancels = map[string]map[int]context.CancelFunc{}
	}
	if r.cancels[jobID] == nil {
		r.cancels[jobID] = map[int]context.CancelFunc{}
	}
	r.lastBatch++
	batch := r.lastBatch
	r.cancels[jobID][batch] = cancel
	return func() { r.untrackBatch(jobID, batch) }
}

func (r *Relay) untrackBatch(jobID string, batch int) {
	r.mu.Lock()
	defer r.mu.Unlock()

	delete(r.cancels[jobID], batch)
	if len(r.cancels[jobID]) == 0 {
		delete(r.cancels, jobID)
	}
}

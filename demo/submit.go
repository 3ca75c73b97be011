package demo

import (
	"context"
	"fmt"

	"github.com/sourcegraph/conc"
)

// submitAll submits the jobs at a constant interval, without waiting for
// answers in between, and restarts one instance halfway. It returns when every
// submission has its answer and the restart has ended.
func (t *testbed) submitAll(ctx context.Context, o options) ([]outcome, error) {
	outcomes := make([]outcome, o.jobs)
	var restartErr error
	var group conc.WaitGroup

	for i := range o.jobs {
		if i == o.jobs/2 {
			group.Go(func() { restartErr = t.restart(ctx, "entry-1") })
		}
		group.Go(func() { outcomes[i] = t.submit(jobMix[i%len(jobMix)], i) })

		if err := sleep(ctx, o.interval); err != nil {
			group.Wait()
			return nil, &Error{Op: "submit", Kind: KindEnded, Err: err}
		}
	}
	group.Wait()
	return outcomes, restartErr
}

// submit sends a job and waits for its answer. A job with an idempotency key is
// sent twice concurrently, to different instances if both serve.
func (t *testbed) submit(k jobKind, index int) outcome {
	job := k.submission(fmt.Sprintf("job-%d", index), index)
	if !k.keyed {
		return send(t.balancer.nextClient(), job)
	}

	var first, second outcome
	var group conc.WaitGroup
	for _, o := range []*outcome{&first, &second} {
		client := t.balancer.nextClient()
		group.Go(func() { *o = send(client, job) })
	}
	group.Wait()
	first.resubmission = &second
	return first
}

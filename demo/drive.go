package demo

import (
	"context"
	"fmt"

	"github.com/sourcegraph/conc"
)

// drive submits the jobs at their interval, restarts one instance in the
// middle and returns when every job is answered.
func (s *stage) drive(ctx context.Context, o options) ([]outcome, error) {
	outcomes := make([]outcome, o.jobs)
	var restarted error
	var group conc.WaitGroup

	for i := range o.jobs {
		if i == o.jobs/2 {
			group.Go(func() { restarted = s.restart(ctx, "entry-1") })
		}
		group.Go(func() { outcomes[i] = s.submit(mix[i%len(mix)], i) })

		if err := sleep(ctx, o.interval); err != nil {
			group.Wait()
			return nil, &Error{Op: "submit", Kind: KindEnded, Err: err}
		}
	}
	group.Wait()
	return outcomes, restarted
}

// submit sends a job. One with a key is sent twice at once, to two instances
// if both serve.
func (s *stage) submit(k kind, index int) outcome {
	job := k.submission(fmt.Sprintf("job-%d", index), index)
	if !k.keyed {
		return send(s.caller.pick(), job)
	}

	var first, second outcome
	var group conc.WaitGroup
	for _, o := range []*outcome{&first, &second} {
		client := s.caller.pick()
		group.Go(func() { *o = send(client, job) })
	}
	group.Wait()
	first.again = &second
	return first
}

package fleet

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/sourcegraph/conc/pool"

	"foxtailmux/home"
	"foxtailmux/model"
)

// centreCapacity is the number of tasks that could start in a data centre in time.
type centreCapacity struct {
	dataCentre string
	tasks      int
}

// splitTasks divides the tasks of a step over data centres, those with the most free
// capacity first. Used for wide jobs at high load, when no single data centre has enough
// free capacity but several together do. It returns nil if all together have too little.
func splitTasks(step model.Step, capacities []centreCapacity) []centrePart {
	slices.SortStableFunc(capacities, func(a, b centreCapacity) int { return cmp.Compare(b.tasks, a.tasks) })

	var parts []centrePart
	first := 0
	for _, c := range capacities {
		count := min(c.tasks, step.Replicas-first)
		if count <= 0 {
			break
		}
		parts = append(parts, centrePart{c.dataCentre, home.Part{First: first, Count: count}})
		first += count
	}
	if first < step.Replicas {
		return nil
	}
	return parts
}

// centrePart is the part of a job that runs in one data centre.
type centrePart struct {
	dataCentre string
	part       home.Part
}

// findParts divides a job of the given age over data centres, of which this instance's own could
// start ownTasks of its tasks in time. It returns nil if all together have too little capacity.
// While homes are not asked, their latest heartbeats count.
func (in *Instance) findParts(ctx context.Context, s home.Submission, age time.Duration, ownTasks int) []centrePart {
	ask := in.mayAsk()
	capacities := in.capacities(ctx, s, age, ownTasks, ask)
	parts := splitTasks(s.Batch.Steps[0], capacities)
	if ask {
		in.recordAnswer(parts != nil)
	}
	if parts == nil {
		in.log.Info().Str("job", s.Batch.ID).Int("tasks", s.Batch.Steps[0].Replicas).Int("startableHere", ownTasks).
			Int("startable", totalTasks(capacities)).Bool("asked", ask).
			Msg("job not divided, the data centres have too little capacity in time")
	}
	return parts
}

// runParts runs the parts of a job in parallel. The first part that does not succeed
// cancels the others.
func (in *Instance) runParts(ctx context.Context, s home.Submission, parts []centrePart, began time.Time) home.Outcome {
	in.log.Info().Str("job", s.Batch.ID).Int("parts", len(parts)).Msg("job divided over data centres")
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	p := pool.NewWithResults[home.Outcome]()
	for _, cp := range parts {
		p.Go(func() home.Outcome {
			j := newForwarding(in.self.DataCentre)
			j.target, j.immediate, j.noRedirect, j.part = cp.dataCentre, true, true, &cp.part
			o := in.forward(ctx, s, j, began)
			if o.Result != home.Succeeded {
				cancel()
			}
			return o
		})
	}
	return combineOutcomes(p.Wait())
}

// combineOutcomes returns the outcome of a job from those of its parts. A failed part makes
// the job failed, else a lost part makes it lost. If only some parts were refused, the
// others may have run, so the job counts as lost.
func combineOutcomes(outcomes []home.Outcome) home.Outcome {
	all := func(r home.Result) bool {
		return !slices.ContainsFunc(outcomes, func(o home.Outcome) bool { return o.Result != r })
	}
	if all(home.Succeeded) || all(home.Refused) {
		return outcomes[0]
	}
	for _, r := range []home.Result{home.Failed, home.Lost, home.Refused} {
		for _, o := range outcomes {
			if o.Result == r {
				return home.Outcome{Result: cmp.Or(map[home.Result]home.Result{home.Refused: home.Lost}[r], r), Reason: o.Reason}
			}
		}
	}
	return home.Outcome{Result: home.Cancelled, Reason: "its caller went away"}
}

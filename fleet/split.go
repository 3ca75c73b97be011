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

// centreCapacity is the free capacity of a data centre: as the exact number of tasks that
// its home returned, for the data centre of this instance, and in thousandths of a core, as
// returned by Instance.freeCapacity, for the others.
type centreCapacity struct {
	dataCentre string
	tasks      int
	milliCores int
}

// splitTasks divides the tasks of a step over data centres, those with the most free
// capacity first. Used for wide jobs at high load, when no single data centre has enough
// free capacity but several together do. It returns nil if all together have too little.
func splitTasks(step model.Step, capacities []centreCapacity) []centrePart {
	perTask := step.Needs.TotalMilliCores()
	if perTask <= 0 {
		return nil
	}
	for i := range capacities {
		capacities[i].tasks = max(capacities[i].tasks, capacities[i].milliCores/perTask)
	}
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

// capacities returns the free capacity of this instance's data centre, into which ownTasks
// tasks fit, and of all others with a live home.
func (in *Instance) capacities(ownTasks int) []centreCapacity {
	list := []centreCapacity{{dataCentre: in.self.DataCentre, tasks: ownTasks}}
	for _, dc := range in.otherCentres(in.self.DataCentre) {
		if _, ok := in.aliveHome(dc); !ok {
			continue
		}
		capacity := in.freeCapacity(dc)
		list = append(list, centreCapacity{dataCentre: dc, milliCores: max(capacity.Free-capacity.Waiting, 0)})
	}
	return list
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

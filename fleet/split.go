package fleet

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/rotisserie/eris"
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

// capacityTimeout bounds the requests for the capacities of the other data centres, which are
// made together; the shortest objectives leave about 90 ms.
const capacityTimeout = 20 * time.Millisecond

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

// askingPaused reports whether homes are not to be asked for capacity at present.
func (in *Instance) askingPaused() bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.askPause.Paused(time.Now())
}

// mayAsk reports whether homes may be asked for capacity for a job now.
func (in *Instance) mayAsk() bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.askPause.Take(time.Now())
}

// recordAnswer records whether the homes that were asked had enough capacity for a job.
func (in *Instance) recordAnswer(found bool) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.askPause.Record(found, time.Now())
}

// totalTasks returns the number of tasks that could start in all data centres together.
func totalTasks(capacities []centreCapacity) int {
	total := 0
	for _, c := range capacities {
		total += c.tasks
	}
	return total
}

// capacities returns how many tasks of a job of the given age could start in time in this
// instance's data centre, where it is ownTasks, and in all others with a live home. The others
// are asked if ask is set, since heartbeats are older than most tasks last.
func (in *Instance) capacities(ctx context.Context, s home.Submission, age time.Duration, ownTasks int, ask bool) []centreCapacity {
	ctx, cancel := context.WithTimeout(ctx, capacityTimeout)
	defer cancel()
	s.Batch.Spec, s.Age, s.TimeLeft = "", age, s.TimeLeft-age
	p := pool.NewWithResults[centreCapacity]()
	for _, dc := range in.otherCentres(in.self.DataCentre) {
		if _, ok := in.aliveHome(dc); ok {
			p.Go(func() centreCapacity { return centreCapacity{dc, in.startableTasks(ctx, dc, s, ask)} })
		}
	}
	list := p.Wait()
	if _, ok := in.aliveHome(in.self.DataCentre); ok {
		list = append(list, centreCapacity{in.self.DataCentre, ownTasks})
	}
	return list
}

// errLinkBusy is the reason why a home is not asked: the request would queue for too long.
var errLinkBusy = eris.New("the link is busy")

// startableTasks returns how many tasks of a job could start in time in a data centre. If its
// home is not to be asked, or can't be in time, it goes by the free capacity of the latest
// heartbeat.
func (in *Instance) startableTasks(ctx context.Context, dataCentre string, s home.Submission, ask bool) int {
	if h := in.localHome(dataCentre); h != nil {
		return h.StartableTasks(s)
	}
	if ask {
		n, err := in.askStartable(ctx, dataCentre, s)
		if err == nil {
			return n
		}
		in.log.Info().Err(err).Str("job", s.Batch.ID).Str("home", dataCentre).Msg("capacity not queried")
	}
	capacity := in.freeCapacity(dataCentre)
	return max(capacity.Free-capacity.Waiting, 0) / max(s.Batch.Steps[0].Needs.TotalMilliCores(), 1)
}

// askStartable asks the home of another data centre, unless the link is so busy that the response
// would come too late and the starts of other jobs would wait behind the request.
func (in *Instance) askStartable(ctx context.Context, dataCentre string, s home.Submission) (int, error) {
	now := time.Now()
	if in.link.Delay(jobOverheadBytes, now) > capacityTimeout {
		return 0, errLinkBusy
	}
	in.link.RecordSend(jobOverheadBytes, now)
	owner, _ := in.homeOf(dataCentre)
	var n int
	err := in.peers.Call(ctx, owner.Instance, methodStartable, runRequest{DataCentre: dataCentre, Job: s}, &n)
	return n, err
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

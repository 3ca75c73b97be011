package fleet

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc/pool"

	"foxtailmux/home"
)

// capacityTimeout bounds the requests for the capacities of the other data centres, which are
// made together; the shortest objectives leave about 90 ms.
const capacityTimeout = 20 * time.Millisecond

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
	if _, ok := in.aliveHome(in.self.DataCentre); ok && !in.isDrained(in.self.DataCentre) {
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

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

// centreRoom is the room of a data centre. Tasks is known exactly for the one
// that was asked last; Processor, in thousandths of a core, is what the others
// told.
type centreRoom struct {
	dataCentre string
	tasks      int
	processor  int
}

// share divides the tasks of a step over data centres, those with most room
// first. It answers wide jobs at high load, for which no data centre alone has
// room while several together do. It returns nil if they have not.
func share(step model.Step, rooms []centreRoom) []sharePart {
	needs := step.Needs.TotalMilliCores()
	if needs <= 0 {
		return nil
	}
	for i := range rooms {
		rooms[i].tasks = max(rooms[i].tasks, rooms[i].processor/needs)
	}
	slices.SortStableFunc(rooms, func(a, b centreRoom) int { return cmp.Compare(b.tasks, a.tasks) })

	var parts []sharePart
	first := 0
	for _, r := range rooms {
		count := min(r.tasks, step.Replicas-first)
		if count <= 0 {
			break
		}
		parts = append(parts, sharePart{r.dataCentre, home.Part{First: first, Count: count}})
		first += count
	}
	if first < step.Replicas {
		return nil
	}
	return parts
}

// sharePart is the part of a job for one data centre.
type sharePart struct {
	dataCentre string
	part       home.Part
}

// roomsFor returns the rooms of the data centres in reach. That of the own one
// is given.
func (f *Instance) roomsFor(own int) []centreRoom {
	rooms := []centreRoom{{dataCentre: f.self.DataCentre, tasks: own}}
	for _, dc := range f.otherCentres(f.self.DataCentre) {
		if _, ok := f.inReach(dc); !ok {
			continue
		}
		room := f.room(dc)
		rooms = append(rooms, centreRoom{dataCentre: dc, processor: max(room.Free-room.Waiting, 0)})
	}
	return rooms
}

// runParts runs the parts of a job at the same time. The first one that does
// not awaitLater ends the others.
func (f *Instance) runParts(ctx context.Context, s home.Submission, parts []sharePart, began time.Time) home.Outcome {
	f.log.Info().Str("job", s.Batch.ID).Int("parts", len(parts)).Msg("job divided over data centres")
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	p := pool.NewWithResults[home.Outcome]()
	for _, sp := range parts {
		p.Go(func() home.Outcome {
			j := newForwarding(f.self.DataCentre)
			j.target, j.spill, j.settled, j.part = sp.dataCentre, true, true, &sp.part
			o := f.forward(ctx, s, j, began)
			if o.Result != home.Succeeded {
				cancel()
			}
			return o
		})
	}
	return combine(p.Wait())
}

// combine is the outcome of a job by those of its parts. Where one was refused
// the others may have run.
func combine(outcomes []home.Outcome) home.Outcome {
	all := func(v home.Result) bool {
		return !slices.ContainsFunc(outcomes, func(o home.Outcome) bool { return o.Result != v })
	}
	if all(home.Succeeded) || all(home.Refused) {
		return outcomes[0]
	}
	for _, v := range []home.Result{home.Failed, home.Lost, home.Refused} {
		for _, o := range outcomes {
			if o.Result == v {
				return home.Outcome{Result: cmp.Or(map[home.Result]home.Result{home.Refused: home.Lost}[v], v), Reason: o.Reason}
			}
		}
	}
	return home.Outcome{Result: home.Cancelled, Reason: "its caller went away"}
}

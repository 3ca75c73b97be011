package member

import (
	"context"
	"sync/atomic"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"

	"foxtailmux/model"
)

// Leave tells every member that is not dead that this instance leaves, and
// returns once each was told or could not be reached. Heartbeats go on, and
// say the same, until Close.
func (g *Group) Leave(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()

	var missed atomic.Int64
	var wg conc.WaitGroup
	for _, t := range g.startLeaving() {
		wg.Go(func() {
			if g.send(ctx, t) != nil {
				missed.Add(1)
			}
		})
	}
	wg.Wait()

	if n := missed.Load(); n > 0 {
		return &Error{Op: "leave", Kind: Unreachable, Err: eris.Errorf("%d members were not told", n)}
	}
	return nil
}

func (g *Group) startLeaving() []target {
	g.mu.Lock()
	defer g.mu.Unlock()

	g.self.State = StateLeaving
	g.self.Entry.State = model.Leaving
	var list []target
	for id, r := range g.records {
		if r.known() && r.member.State != StateDead {
			list = append(list, target{id: id})
		}
	}
	return list
}

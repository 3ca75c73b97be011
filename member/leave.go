package member

import (
	"context"
	"sync/atomic"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"

	"foxtailmux/model"
)

// Leave announces to every member that is not dead that this instance is leaving.
// It returns when each member has responded or failed to respond, at the latest
// after a second, with an *Error of KindUnreachable if any member did not respond.
// Heartbeats go on until Close and repeat the announcement.
func (g *Group) Leave(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()

	var failed atomic.Int64
	var wg conc.WaitGroup
	for _, t := range g.startLeaving() {
		wg.Go(func() {
			if g.send(ctx, t) != nil {
				failed.Add(1)
			}
		})
	}
	wg.Wait()

	if n := failed.Load(); n > 0 {
		return &Error{Op: "leave", Kind: KindUnreachable, Err: eris.Errorf("%d members did not respond", n)}
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
		if r.hasAddr() && r.member.State != StateDead {
			list = append(list, target{id: id})
		}
	}
	return list
}

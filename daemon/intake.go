package daemon

import (
	"context"

	"foxtailmux/model"
	"foxtailmux/runner"
	"foxtailmux/ticket"
)

// intake runs each submission on an id of its own.
type intake struct {
	store  *ticket.Store
	runner *runner.Runner
}

func (d *Daemon) newIntake() *intake {
	limits := func() ticket.Limits {
		l := d.document().Limits
		return ticket.Limits{MaxOpen: l.MaxOpenTickets, Retention: l.TicketRetention}
	}
	return &intake{store: ticket.NewStore(d.self.Incarnation, limits), runner: d.runner}
}

func (i *intake) Submit(ctx context.Context, job model.Job) model.Answer {
	e := i.store.Start()
	answer := i.runner.Run(ctx, e.ID(), job)
	e.Finish(answer)
	return answer
}

func (i *intake) Tickets(n int) (model.TicketBatch, error) {
	ids, err := i.store.Mint(n)
	return model.TicketBatch{Tickets: ids}, err
}

func (i *intake) Status(_ context.Context, id string) (model.JobStatus, error) {
	return i.store.Lookup(id)
}

func (i *intake) Cancel(_ context.Context, id string) error { return i.store.Cancel(id) }

package daemon

import (
	"context"
	"time"

	"foxtailmux/claim"
	"foxtailmux/intake"
	"foxtailmux/model"
	"foxtailmux/ticket"
)

// maxClaimRate bounds the transactions a second that the claims of all
// instances together put on the table.
const maxClaimRate = 250

// claimInterval returns the time between two transactions of one instance,
// which grows with the number of instances.
func claimInterval(configured time.Duration, instances int) time.Duration {
	return max(configured, time.Duration(instances)*time.Second/maxClaimRate)
}

// sweepInterval is the time between two pages of the removal of old claims.
const sweepInterval = time.Minute

func (d *Daemon) buildIntake() {
	d.tickets = ticket.NewStore(d.self.Incarnation, func() ticket.Limits {
		l := d.document().Limits.WithDefaults()
		return ticket.Limits{
			MaxHeldIDs:      l.MaxOpenTickets,
			Retention:       l.TicketRetention,
			AnswerRetention: l.AnswerRetention,
			MaxAnswerBytes:  int64(l.MaxAnswerMB) << 20,
		}
	})
	d.claimer = claim.New(d.table, claim.Options{
		Interval: func() time.Duration {
			return claimInterval(d.document().Intervals.ClaimGroup, len(d.members.Members()))
		},
	})
	d.sweeper = claim.NewSweeper(d.table,
		func() time.Duration { return sweepInterval },
		func() time.Duration { return d.document().Limits.KeyRetention },
	)

	options := intake.Options{
		Incarnation: d.self.Incarnation,
		Deadline:    d.deadlineOf,
		Retention:   func() time.Duration { return d.document().Limits.TicketRetention },
	}
	d.intake = intake.New(options, d.tickets, d.claimer, d.runner, d.peerView())
}

// deadlineOf returns how long a job may take by its declaration or else by its
// service.
func (d *Daemon) deadlineOf(job model.Job) time.Duration {
	document := d.document()
	service, ok := document.Service(job.Service)
	if !ok {
		service = service.WithDefaults()
	}
	if job.DeadlineMillis <= 0 {
		return service.DefaultDeadline
	}
	return min(time.Duration(job.DeadlineMillis)*time.Millisecond, service.MaxDeadline)
}

// closeIntake ends the parts that take submissions, the first one first.
func (d *Daemon) closeIntake(ctx context.Context) error {
	d.intake.Close(ctx)
	d.claimer.Close()
	d.sweeper.Close()
	d.tickets.Close()

	<-d.claimer.Done()
	<-d.sweeper.Done()
	<-d.tickets.Done()
	return nil
}

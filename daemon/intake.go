package daemon

import (
	"context"
	"time"

	"foxtailmux/claim"
	"foxtailmux/intake"
	"foxtailmux/model"
	"foxtailmux/ticket"
)

// maxClaimRate is the maximum number of transactions per second, over all instances, that
// claim idempotency keys in the table.
const maxClaimRate = 250

// claimInterval returns the time between two claim transactions of one instance: the
// configured one, or a longer one if all instances together would exceed maxClaimRate.
func claimInterval(configured time.Duration, instances int) time.Duration {
	return max(configured, time.Duration(instances)*time.Second/maxClaimRate)
}

// sweepInterval is the time between two steps of the removal of old claims; each reads one
// page of rows.
const sweepInterval = time.Minute

// buildIntake creates the intake, which accepts jobs on tickets and idempotency keys, with
// its stores.
func (d *Daemon) buildIntake() {
	d.tickets = ticket.NewStore(d.self.Incarnation, func() ticket.Limits {
		l := d.configDocument().Limits.WithDefaults()
		return ticket.Limits{
			MaxHeldIDs:      l.MaxOpenTickets,
			Retention:       l.TicketRetention,
			AnswerRetention: l.AnswerRetention,
			MaxAnswerBytes:  int64(l.MaxAnswerMB) << 20,
		}
	})
	d.claimer = claim.New(d.table, claim.Options{
		Interval: func() time.Duration {
			return claimInterval(d.configDocument().Intervals.ClaimGroup, len(d.members.Members()))
		},
	})
	d.sweeper = claim.NewSweeper(d.table,
		func() time.Duration { return sweepInterval },
		func() time.Duration { return d.configDocument().Limits.KeyRetention },
	)

	options := intake.Options{
		Incarnation: d.self.Incarnation,
		Deadline:    d.jobDeadline,
		Retention:   func() time.Duration { return d.configDocument().Limits.TicketRetention },
	}
	d.intake = intake.New(options, d.tickets, d.claimer, d.runner, d.peerDirectory())
}

// jobDeadline returns the time within which a job has to be answered: the one that the job
// declares, up to the maximum of its service, or else the default of its service.
func (d *Daemon) jobDeadline(job model.Job) time.Duration {
	document := d.configDocument()
	service, ok := document.Service(job.Service)
	if !ok {
		service = service.WithDefaults()
	}
	if job.DeadlineMillis <= 0 {
		return service.DefaultDeadline
	}
	return min(time.Duration(job.DeadlineMillis)*time.Millisecond, service.MaxDeadline)
}

// closeIntake closes the intake first and then the stores that it uses.
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

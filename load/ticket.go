package load

import (
	"context"
	"time"
)

// Numbers of the ticket supply.
const (
	ticketBatch   = 64
	ticketsAhead  = 512
	ticketRetry   = 50 * time.Millisecond
	ticketFetches = 4
)

// supply fetches tickets ahead of their use.
type supply struct {
	tickets chan string
}

// newSupply starts fetching until the context ends.
func newSupply(ctx context.Context, c *client, spawn func(func())) *supply {
	s := &supply{tickets: make(chan string, ticketsAhead)}
	for range ticketFetches {
		spawn(func() { s.fetch(ctx, c) })
	}
	return s
}

func (s *supply) fetch(ctx context.Context, c *client) {
	for ctx.Err() == nil {
		batch, err := c.tickets(ticketBatch)
		if err != nil || len(batch) == 0 {
			pause(ctx, ticketRetry)
			continue
		}
		for _, t := range batch {
			select {
			case s.tickets <- t:
			case <-ctx.Done():
				return
			}
		}
	}
}

// take returns a ticket, or false when none came within the limit.
func (s *supply) take(limit time.Duration) (string, bool) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case t := <-s.tickets:
		return t, true
	case <-timer.C:
		return "", false
	}
}

// pause waits for the duration or the end of the context.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

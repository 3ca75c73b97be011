package load

import (
	"context"
	"time"
)

// Limits of prefetching tickets.
const (
	ticketBatchSize  = 64  // tickets of one request
	ticketBufferSize = 512 // tickets fetched in advance
	ticketRetryDelay = 50 * time.Millisecond
	ticketFetchers   = 4 // concurrent requests
)

// ticketPrefetcher requests tickets before they are used, so that a submission
// doesn't wait for its ticket.
type ticketPrefetcher struct {
	tickets chan string
}

// newTicketPrefetcher starts fetching tickets until the context ends. spawn has
// to run the function that it gets in a new goroutine.
func newTicketPrefetcher(ctx context.Context, c *client, spawn func(func())) *ticketPrefetcher {
	p := &ticketPrefetcher{tickets: make(chan string, ticketBufferSize)}
	for range ticketFetchers {
		spawn(func() { p.fetch(ctx, c) })
	}
	return p
}

// fetch requests batches of tickets and buffers them until the context ends.
func (p *ticketPrefetcher) fetch(ctx context.Context, c *client) {
	for ctx.Err() == nil {
		batch, err := c.tickets(ticketBatchSize)
		if err != nil || len(batch) == 0 {
			sleep(ctx, ticketRetryDelay)
			continue
		}
		for _, t := range batch {
			select {
			case p.tickets <- t:
			case <-ctx.Done():
				return
			}
		}
	}
}

// take returns a ticket, or false when none is available within the limit.
func (p *ticketPrefetcher) take(limit time.Duration) (string, bool) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case t := <-p.tickets:
		return t, true
	case <-timer.C:
		return "", false
	}
}

// sleep waits for the duration or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

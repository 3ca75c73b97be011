package claim

import (
	"context"
	"sync"
	"time"

	"foxtailmux/table"
)

const (
	sweepPageRows = 100 // rows per scan
	sweepTimeout  = 5 * time.Second
)

// SweepTable is the part of the platform's table that a Sweeper uses.
type SweepTable interface {
	Scan(ctx context.Context, prefix, after string, limit int) (table.ScanPage, error)
	Commit(ctx context.Context, t table.Transaction) (table.CommitResult, error)
}

// Sweeper removes claims older than the retention, one page of rows at a time.
// Deletes are conditional on the version read, so that several instances can sweep
// without coordination.
//
// The age of a claim is measured against the newest claim of the previous pass, or
// against the local clock if that is earlier. So an instance whose clock runs ahead
// can't remove recent claims of the others.
type Sweeper struct {
	table     SweepTable
	interval  func() time.Duration
	retention func() time.Duration
	stop      context.CancelFunc
	done      chan struct{}
	closeOnce sync.Once

	after          string    // key of the last row read in this pass
	newestClaim    time.Time // in this pass
	previousNewest time.Time // in the previous pass
}

// NewSweeper returns a running Sweeper that reads one page per interval.
func NewSweeper(t SweepTable, interval, retention func() time.Duration) *Sweeper {
	ctx, stop := context.WithCancel(context.Background())
	s := &Sweeper{table: t, interval: interval, retention: retention, stop: stop, done: make(chan struct{})}
	go s.run(ctx)
	return s
}

// Close stops the Sweeper.
func (s *Sweeper) Close() { s.closeOnce.Do(s.stop) }

// Done returns a channel that is closed when the Sweeper has ended.
func (s *Sweeper) Done() <-chan struct{} { return s.done }

func (s *Sweeper) run(ctx context.Context) {
	defer close(s.done)
	for {
		timer := time.NewTimer(s.interval())
		select {
		case <-timer.C:
			s.sweepPage(ctx)
		case <-ctx.Done():
			timer.Stop()
			return
		}
	}
}

// sweepPage reads the next page and removes its expired claims. After an error the
// same page is read again in the next interval.
func (s *Sweeper) sweepPage(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, sweepTimeout)
	defer cancel()

	page, err := s.table.Scan(ctx, rowPrefix, s.after, sweepPageRows)
	if err != nil {
		return
	}
	if t := s.expiredDeletes(page.Rows); len(t.Deletes) > 0 {
		result, err := s.table.Commit(ctx, t)
		if err != nil {
			return
		}
		if !result.Committed && len(result.Conflicts) == 0 {
			return
		}
	}
	s.advance(page)
}

// expiredDeletes records the newest claim among the rows and returns the transaction
// that deletes the expired ones.
func (s *Sweeper) expiredDeletes(rows []table.Row) table.Transaction {
	var t table.Transaction
	for _, r := range rows {
		row, err := decodeRow(r)
		if err != nil {
			continue
		}
		if row.ClaimedAt.After(s.newestClaim) {
			s.newestClaim = row.ClaimedAt
		}
		if s.age(row.ClaimedAt) > s.retention() {
			t.Conditions = append(t.Conditions, table.Condition{Key: r.Key, Version: r.Version})
			t.Deletes = append(t.Deletes, r.Key)
		}
	}
	return t
}

func (s *Sweeper) age(claimedAt time.Time) time.Duration {
	now := time.Now()
	if s.previousNewest.Before(now) {
		now = s.previousNewest
	}
	return now.Sub(claimedAt)
}

func (s *Sweeper) advance(page table.ScanPage) {
	if page.More && len(page.Rows) > 0 {
		s.after = page.Rows[len(page.Rows)-1].Key
		return
	}
	s.after = ""
	s.previousNewest, s.newestClaim = s.newestClaim, time.Time{}
}

package claim

import (
	"context"
	"sync"
	"time"

	"foxtailmux/table"
)

const (
	sweepPage    = 100
	sweepTimeout = 5 * time.Second
)

// SweepTable is the part of the platform's table that the removal of old
// claims needs.
type SweepTable interface {
	Scan(ctx context.Context, prefix, after string, limit int) (table.ScanPage, error)
	Commit(ctx context.Context, t table.Transaction) (table.CommitResult, error)
}

// Sweeper removes claims past their retention, one page of rows at a time.
// Deletes depend on the version read, so instances need not agree on who
// sweeps.
//
// A claim's age is taken against the newest claim seen in the pass before, or
// against the own clock if that is earlier: a clock that runs ahead on one
// instance can't remove the fresh claims of the others.
type Sweeper struct {
	table     SweepTable
	interval  func() time.Duration
	retention func() time.Duration
	stop      context.CancelFunc
	done      chan struct{}
	closeOnce sync.Once

	after     string
	newest    time.Time // of this pass
	reference time.Time // newest of the pass before
}

// NewSweeper returns a running Sweeper that reads a page each interval.
func NewSweeper(t SweepTable, interval, retention func() time.Duration) *Sweeper {
	ctx, stop := context.WithCancel(context.Background())
	s := &Sweeper{table: t, interval: interval, retention: retention, stop: stop, done: make(chan struct{})}
	go s.run(ctx)
	return s
}

// Close ends the Sweeper.
func (s *Sweeper) Close() { s.closeOnce.Do(s.stop) }

// Done is closed when the Sweeper has ended.
func (s *Sweeper) Done() <-chan struct{} { return s.done }

func (s *Sweeper) run(ctx context.Context) {
	defer close(s.done)
	for {
		timer := time.NewTimer(s.interval())
		select {
		case <-timer.C:
			s.page(ctx)
		case <-ctx.Done():
			timer.Stop()
			return
		}
	}
}

// page reads the next page and removes what is too old. An error leaves the
// page to the next interval.
func (s *Sweeper) page(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, sweepTimeout)
	defer cancel()

	scan, err := s.table.Scan(ctx, rowPrefix, s.after, sweepPage)
	if err != nil {
		return
	}
	if t := s.expired(scan.Rows); len(t.Deletes) > 0 {
		commit, err := s.table.Commit(ctx, t)
		if err != nil {
			return
		}
		if !commit.Committed && len(commit.Conflicts) == 0 {
			return
		}
	}
	s.advance(scan)
}

// expired notes the newest claim and returns the removal of the old ones.
func (s *Sweeper) expired(rows []table.Row) table.Transaction {
	var t table.Transaction
	for _, r := range rows {
		row, err := decode(r)
		if err != nil {
			continue
		}
		if row.ClaimedAt.After(s.newest) {
			s.newest = row.ClaimedAt
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
	if s.reference.Before(now) {
		now = s.reference
	}
	return now.Sub(claimedAt)
}

func (s *Sweeper) advance(scan table.ScanPage) {
	if scan.More && len(scan.Rows) > 0 {
		s.after = scan.Rows[len(scan.Rows)-1].Key
		return
	}
	s.after = ""
	s.reference, s.newest = s.newest, time.Time{}
}

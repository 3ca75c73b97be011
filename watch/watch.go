// Package watch keeps copies of tables of the platform's store by following
// their changes.
package watch

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/sourcegraph/conc/panics"

	"foxtailmux/table"
)

// Source reads a table. An error of Watch that has a method HistoryLost which
// returns true asks to read the table anew.
type Source interface {
	List(ctx context.Context, name string) (table.Changes, error)
	Watch(ctx context.Context, name string, after int64, wait time.Duration) (table.Changes, error)
}

const (
	// feedWait is how long one request waits for a change. Each request is
	// priced, and a silent connection costs at most this time.
	feedWait = 4 * time.Second

	// relistAfter is the time without an answer after which a table is read whole instead
	// of all its changes since: the rows of workers change each 1.5 s.
	relistAfter = 2 * feedWait

	minRetry = 50 * time.Millisecond
	maxRetry = 500 * time.Millisecond // a fraction of the time in which a configuration must be in force
)

// Cache is a copy of one table. It never goes back behind a version that it
// has seen. It is safe for concurrent use.
type Cache struct {
	name     string
	source   Source
	pause    func() time.Duration
	refresh  chan struct{}
	onChange func(rows []table.Row)
	log      *log.Logger
	done     chan struct{}

	mu       sync.Mutex
	rows     map[string]table.Row
	version  int64
	readAt   time.Time // when the table was read first
	freshAt  time.Time // last answer that was not full
	reached  bool
	failedAt time.Time
}

// New returns the cache of a table whose Run is still to be called. OnChange
// is called after the rows changed, from one goroutine at a time. Pause returns
// the time between two requests for changes, which gathers those of a table that
// is written all the time; without it there is none.
func New(name string, source Source, pause func() time.Duration, onChange func(rows []table.Row), log *log.Logger) *Cache {
	if pause == nil {
		pause = func() time.Duration { return 0 }
	}
	return &Cache{
		name: name, source: source, pause: pause, onChange: onChange, log: log,
		done: make(chan struct{}), refresh: make(chan struct{}, 1), rows: map[string]table.Row{},
	}
}

// Refresh asks for changes now, without the rest of a pause.
func (m *Cache) Refresh() {
	select {
	case m.refresh <- struct{}{}:
	default:
	}
}

// Staleness returns the time since the copy held all changes that the store knew of.
func (m *Cache) Staleness() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Since(m.freshAt)
}

// Done is closed when Run has returned.
func (m *Cache) Done() <-chan struct{} { return m.done }

// Rows returns a copy of the rows by key.
func (m *Cache) Rows() map[string]table.Row {
	m.mu.Lock()
	defer m.mu.Unlock()
	rows := make(map[string]table.Row, len(m.rows))
	for key, row := range m.rows {
		rows[key] = row
	}
	return rows
}

// Get returns a row; one that does not exist has version 0.
func (m *Cache) Get(key string) table.Row {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.rows[key]
}

// IsLoaded reports whether the table was read at least once.
func (m *Cache) IsLoaded() bool { return m.LoadedFor() > 0 }

// LoadedFor returns the time since the table was read first.
func (m *Cache) LoadedFor() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.readAt.IsZero() {
		return 0
	}
	return time.Since(m.readAt)
}

// StoreReachable reports whether the last request to the store was answered.
func (m *Cache) StoreReachable() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.reached
}

// Run follows the table until the context ends.
func (m *Cache) Run(ctx context.Context) {
	defer close(m.done)
	retry := minRetry
	listed := false
	for ctx.Err() == nil {
		var err error
		more := false
		if !listed || m.Staleness() > relistAfter {
			err = m.list(ctx)
			listed = err == nil
		} else if more, err = m.follow(ctx); historyLost(err) {
			listed = false
		}

		m.note(err, more)
		if err == nil {
			retry = minRetry
			if !more { // a pause after each full answer falls further and further behind
				m.sleep(ctx, m.pause())
			}
			continue
		}
		m.sleep(ctx, retry)
		retry = min(2*retry, maxRetry)
	}
}

func (m *Cache) sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-m.refresh:
	case <-ctx.Done():
	}
}

func historyLost(err error) bool {
	var told interface{ HistoryLost() bool }
	return errors.As(err, &told) && told.HistoryLost()
}

// note logs when the store is lost and found again.
func (m *Cache) note(err error, more bool) {
	m.mu.Lock()
	changed := m.reached != (err == nil)
	m.reached = err == nil
	if err == nil && !more {
		m.freshAt = time.Now()
	}
	version := m.version
	since := m.failedAt
	if changed && err != nil {
		m.failedAt = time.Now()
	}
	m.mu.Unlock()

	switch {
	case changed && err != nil:
		m.log.Warn().Err(err).Str("table", m.name).Int64("version", version).Msg("store lost")
	case changed && !since.IsZero():
		m.log.Info().Str("table", m.name).Int64("version", version).Int64("awayMillis", time.Since(since).Milliseconds()).Msg("store found again")
	}
}

// errStale is the failure of a list that is older than what was seen before.
var errStale = errors.New("the store answered with an older version than before")

// list reads the whole table.
func (m *Cache) list(ctx context.Context) error {
	began := time.Now()
	c, err := m.source.List(ctx, m.name)
	if err != nil {
		return err
	}
	m.log.Info().Str("table", m.name).Int("rows", len(c.Rows)).Int64("version", c.Version).
		Int64("tookMillis", time.Since(began).Milliseconds()).Msg("table read")

	m.mu.Lock()
	if c.Version < m.version {
		m.mu.Unlock()
		return errStale
	}
	present := map[string]bool{}
	for _, row := range c.Rows {
		present[row.Key] = true
	}
	changes := c.Rows
	for key, row := range m.rows {
		if !present[key] && row.Version <= c.Version {
			changes = append(changes, table.Row{Key: key, Version: c.Version, Deleted: true})
		}
	}
	first := m.readAt.IsZero()
	if first {
		m.readAt = time.Now()
	}
	m.mu.Unlock()
	m.apply(table.Changes{Rows: changes, Version: c.Version}, first)
	return nil
}

// follow takes the next changes, and reports whether there may be more by now.
func (m *Cache) follow(ctx context.Context) (more bool, err error) {
	m.mu.Lock()
	after := m.version
	m.mu.Unlock()

	c, err := m.source.Watch(ctx, m.name, after, feedWait)
	if err != nil {
		return false, err
	}
	m.apply(c, false)
	return c.More, nil
}

// ApplyWrite enters a row that this process has written itself.
func (m *Cache) ApplyWrite(row table.Row) {
	m.apply(table.Changes{Rows: []table.Row{row}}, false)
}

// apply enters rows that are newer than the ones present.
func (m *Cache) apply(c table.Changes, always bool) {
	m.mu.Lock()
	var changed []table.Row
	for _, row := range c.Rows {
		old, ok := m.rows[row.Key]
		if ok && row.Version <= old.Version || !ok && row.Deleted {
			continue
		}
		if row.Deleted {
			delete(m.rows, row.Key)
		} else {
			m.rows[row.Key] = row
		}
		changed = append(changed, row)
	}
	m.version = max(m.version, c.Version)
	m.mu.Unlock()

	if len(changed) == 0 && !always {
		return
	}
	if recovered := panics.Try(func() { m.onChange(changed) }); recovered != nil {
		m.log.Error().Err(recovered.AsError()).Str("table", m.name).Int64("version", c.Version).Msg("change of a table panicked")
	}
}

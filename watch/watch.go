// Package watch keeps local caches of tables of the platform's store. A cache
// reads its table once and then follows the table's change feed.
package watch

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/sourcegraph/conc/panics"

	"foxtailmux/table"
)

// Source reads tables of the platform's store. List returns all rows of a
// table. Watch returns the changes after a version, and waits for the first one
// up to the given time. If the store no longer has these changes, the error of
// Watch has a method HistoryLost that returns true, and the cache reads the
// whole table again. The error of a request without a response has a method
// TimedOut that returns true.
type Source interface {
	List(ctx context.Context, name string) (table.Changes, error)
	Watch(ctx context.Context, name string, after int64, wait time.Duration) (table.Changes, error)
}

const (
	// FeedWait is the longest time that one request waits for a change, but for minFeedWait. The
	// platform charges for each request, so a longer wait costs less. On the
	// other hand, a connection that has gone silent is noticed only after this
	// time and the time in which the source expects the response: together less
	// than the 3 s that the platform allows for a change to be in effect after
	// connections went silent.
	FeedWait = 2 * time.Second

	// relistAfter is the staleness at which the cache reads the whole table
	// instead of all changes that it missed: workers rewrite their rows every
	// 1.5 s, so the missed changes soon outnumber the rows.
	relistAfter = 8 * time.Second

	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 500 * time.Millisecond // well below the time within which a new configuration has to take effect
)

// Cache is a local copy of one table, kept up to date by the table's change
// feed. A row and the version of the cache never go back to an older version.
// It is safe for concurrent use.
type Cache struct {
	name         string
	source       Source
	pollInterval func() time.Duration
	refresh      chan struct{}
	onChange     func(rows []table.Row)
	log          *log.Logger
	done         chan struct{}
	group        *Group // nil if the cache is in none
	slot         int
	giveUp       chan struct{} // holds an element when the request that waits for a change is to be sent again
	readNow      chan struct{} // holds an element when it is to be replaced by one that does not wait

	mu          sync.Mutex
	rows        map[string]table.Row
	version     int64
	loadedAt    time.Time // first complete read of the table
	currentAt   time.Time // last response after which no further changes were pending
	asOf        time.Time // the cache holds all changes that the store had then
	awaited     []awaitedRead
	reachable   bool      // the last request to the store succeeded
	outageSince time.Time // start of the last outage of the store
}

// New returns the cache of a table; call Run to fill it and to keep it up to
// date. OnChange is called with the changed rows, deleted ones included, after
// each change, and after the first read of the table also if it holds no rows. It
// is called by Run and by ApplyWrite, possibly at the same time. PollInterval
// returns the time between two requests for changes, which batches the changes of
// a table that is written constantly; nil means no delay.
func New(name string, source Source, pollInterval func() time.Duration, onChange func(rows []table.Row), log *log.Logger) *Cache {
	if pollInterval == nil {
		pollInterval = func() time.Duration { return 0 }
	}
	return &Cache{
		name: name, source: source, pollInterval: pollInterval, onChange: onChange, log: log,
		done: make(chan struct{}), refresh: make(chan struct{}, 1), giveUp: make(chan struct{}, 1), readNow: make(chan struct{}, 1),
		rows: map[string]table.Row{},
	}
}

// Refresh requests the next changes at once instead of after the poll interval.
func (c *Cache) Refresh() {
	select {
	case c.refresh <- struct{}{}:
	default:
	}
}

// awaitedRead is a call of ReadNow that has not been served.
type awaitedRead struct {
	since time.Time
	done  chan struct{}
}

// ReadNow requests the next changes without waiting for any, in place of a request that waits. The channel is closed
// when the cache holds all changes that the store had at the time of the call.
func (c *Cache) ReadNow() <-chan struct{} {
	done := make(chan struct{})
	c.mu.Lock()
	c.awaited = append(c.awaited, awaitedRead{time.Now(), done})
	c.mu.Unlock()
	select {
	case c.readNow <- struct{}{}:
	default:
	}
	c.Refresh()
	return done
}

// endAwaited closes the channels of the reads that the cache has served.
func (c *Cache) endAwaited() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.awaited = slices.DeleteFunc(c.awaited, func(a awaitedRead) bool {
		served := !c.asOf.Before(a.since)
		if served {
			close(a.done)
		}
		return served
	})
}

// Staleness returns the time since the cache last held all changes that the
// store had. Before the first read of the table it is many years.
func (c *Cache) Staleness() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Since(c.currentAt)
}

// AsOf returns a time at which the store had no changes that the cache does not hold, the latest that is known.
// A response may be under way for any time, so only the request counts.
func (c *Cache) AsOf() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.asOf
}

// Done is closed when Run has returned.
func (c *Cache) Done() <-chan struct{} { return c.done }

// Rows returns a copy of the cached rows by key.
func (c *Cache) Rows() map[string]table.Row {
	c.mu.Lock()
	defer c.mu.Unlock()
	rows := make(map[string]table.Row, len(c.rows))
	for key, row := range c.rows {
		rows[key] = row
	}
	return rows
}

// Get returns a cached row. A row that does not exist has version 0.
func (c *Cache) Get(key string) table.Row {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rows[key]
}

// IsLoaded reports whether the table was read at least once.
func (c *Cache) IsLoaded() bool { return c.LoadedFor() > 0 }

// LoadedFor returns the time since the table was first read, or 0 if it was not
// read yet.
func (c *Cache) LoadedFor() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.loadedAt.IsZero() {
		return 0
	}
	return time.Since(c.loadedAt)
}

// StoreReachable reports whether the last request to the store succeeded.
func (c *Cache) StoreReachable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reachable
}

// Run keeps the cache up to date until the context ends. After a failed request
// it retries with exponential backoff.
func (c *Cache) Run(ctx context.Context) {
	defer close(c.done)
	retryDelay := minRetryDelay
	listed := false
	for ctx.Err() == nil {
		var err error
		more := false
		if !listed || c.Staleness() > relistAfter {
			err = c.list(ctx)
			listed = err == nil
		} else if more, err = c.follow(ctx); historyLost(err) {
			listed = false
		}

		if errors.Is(err, errReplaced) {
			continue
		}
		c.recordRequest(err, more)
		if c.group != nil && timedOut(err) {
			c.group.repeatRequests()
		}
		if errors.Is(err, errGivenUp) {
			continue // the next request does not wait for a change
		}
		if err == nil {
			retryDelay = minRetryDelay
			if !more { // waiting after full pages would let the cache fall behind without bound
				c.sleep(ctx, c.pollInterval())
			}
			continue
		}
		c.sleep(ctx, retryDelay)
		retryDelay = min(2*retryDelay, maxRetryDelay)
	}
}

// sleep waits for the duration, for a call of Refresh or for the end of the
// context, whichever comes first.
func (c *Cache) sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-c.refresh:
	case <-ctx.Done():
	}
}

func historyLost(err error) bool {
	var e interface{ HistoryLost() bool }
	return errors.As(err, &e) && e.HistoryLost()
}

// recordRequest records the outcome of a request, and logs when the store becomes
// unreachable or reachable again. More reports that further changes are pending.
func (c *Cache) recordRequest(err error, more bool) {
	c.mu.Lock()
	changed := c.reachable != (err == nil)
	c.reachable = err == nil
	if err == nil && !more {
		c.currentAt = time.Now()
	}
	version := c.version
	since := c.outageSince
	if changed && err != nil {
		c.outageSince = time.Now()
	}
	c.mu.Unlock()

	switch {
	case changed && err != nil:
		c.log.Warn().Err(err).Str("table", c.name).Int64("version", version).Msg("store lost")
	case changed && !since.IsZero():
		c.log.Info().Str("table", c.name).Int64("version", version).Int64("awayMillis", time.Since(since).Milliseconds()).Msg("store found again")
	}
}

// errStale is returned for a list of rows that is older than the cache.
var errStale = errors.New("the store returned an older version of the table than before")

// list reads the whole table. Cached rows that the table no longer holds are
// removed, unless they are newer than the list.
func (c *Cache) list(ctx context.Context) error {
	began := time.Now()
	l, err := c.source.List(ctx, c.name)
	if err != nil {
		return err
	}
	c.log.Info().Str("table", c.name).Int("rows", len(l.Rows)).Int64("version", l.Version).
		Int64("tookMillis", time.Since(began).Milliseconds()).Msg("table read")

	c.mu.Lock()
	if l.Version < c.version {
		c.mu.Unlock()
		return errStale
	}
	present := map[string]bool{}
	for _, row := range l.Rows {
		present[row.Key] = true
	}
	changes := l.Rows
	for key, row := range c.rows {
		if !present[key] && row.Version <= l.Version {
			changes = append(changes, table.Row{Key: key, Version: l.Version, Deleted: true})
		}
	}
	first := c.loadedAt.IsZero()
	if first {
		c.loadedAt = time.Now()
	}
	c.mu.Unlock()
	c.apply(table.Changes{Rows: changes, Version: l.Version}, began, first)
	return nil
}

// follow reads the next changes, and reports whether more may be pending. After a failed request
// it does not wait for a change, so that the store counts as reachable as soon as it responds.
func (c *Cache) follow(ctx context.Context) (more bool, err error) {
	select {
	case <-c.readNow: // awaited has it
	default:
	}
	c.mu.Lock()
	after, wait := c.version, FeedWait
	if c.group != nil {
		wait = c.group.wait(c.slot, time.Now())
	}
	if !c.reachable || len(c.awaited) > 0 {
		wait = 0
	}
	c.mu.Unlock()

	asOf := time.Now()
	changes, err := c.watch(ctx, after, wait)
	if err != nil {
		return false, err
	}
	if len(changes.Rows) == 0 && time.Since(asOf) >= wait {
		asOf = asOf.Add(wait) // the store has waited for a change in vain
	}
	c.apply(changes, asOf, false)
	return changes.More, nil
}

// errReplaced is returned for a request that waited for a change when ReadNow was called.
var errReplaced = errors.New("the request was replaced by one that does not wait")

// watch requests the changes after a version. It gives up a request that waits for a change when the group
// or ReadNow asks for that; the request then ends by its own timeout, and its response is dropped.
func (c *Cache) watch(ctx context.Context, after int64, wait time.Duration) (table.Changes, error) {
	if c.group == nil || wait == 0 {
		return c.source.Watch(ctx, c.name, after, wait)
	}
	select {
	case <-c.giveUp: // meant for an earlier request
	default:
	}
	type response struct {
		changes table.Changes
		err     error
	}
	responses := make(chan response, 1)
	go func() {
		changes, err := c.source.Watch(ctx, c.name, after, wait)
		responses <- response{changes, err}
	}()
	select {
	case r := <-responses:
		return r.changes, r.err
	case <-c.giveUp:
		return table.Changes{}, errGivenUp
	case <-c.readNow:
		return table.Changes{}, errReplaced
	}
}

// ApplyWrite adds a row that this process has written to the store, or that the
// store returned as a conflict of a write, so that the cache has it before the
// change feed delivers it. It calls onChange if the row is newer than the cached
// one.
func (c *Cache) ApplyWrite(row table.Row) {
	c.apply(table.Changes{Rows: []table.Row{row}}, time.Time{}, false)
}

// apply stores the rows that are newer than the cached ones, and calls onChange
// with them. AsOf is when the store had no further changes unless more are pending, or zero.
// NotifyIfEmpty calls onChange also when no row changed.
func (c *Cache) apply(changes table.Changes, asOf time.Time, notifyIfEmpty bool) {
	c.mu.Lock()
	var changed []table.Row
	for _, row := range changes.Rows {
		old, ok := c.rows[row.Key]
		if ok && row.Version <= old.Version || !ok && row.Deleted {
			continue
		}
		if row.Deleted {
			delete(c.rows, row.Key)
		} else {
			c.rows[row.Key] = row
		}
		changed = append(changed, row)
	}
	c.version = max(c.version, changes.Version)
	if !changes.More && asOf.After(c.asOf) {
		c.asOf = asOf
	}
	c.mu.Unlock()

	defer c.endAwaited()
	if len(changed) == 0 && !notifyIfEmpty {
		return
	}
	if recovered := panics.Try(func() { c.onChange(changed) }); recovered != nil {
		c.log.Error().Err(recovered.AsError()).Str("table", c.name).Int64("version", changes.Version).Msg("change of a table panicked")
	}
}

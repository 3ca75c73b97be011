package watch_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/phuslu/log"

	"foxtailmux/table"
	"foxtailmux/watch"
)

// store is a fake source that keeps one table in memory.
type store struct {
	mu      sync.Mutex
	rows    map[string]table.Row
	history []table.Row
	version int64
	oldest  int64          // Watch fails for changes after an older version than this one
	stale   *table.Changes // returned by List instead of the present rows
	down    bool           // all requests fail
	silence chan struct{}  // closed when the requests in progress lose their connections without a reset
	changed chan struct{}
	lists   int
	watches int
}

func newStore() *store {
	return &store{rows: map[string]table.Row{}, changed: make(chan struct{}), silence: make(chan struct{})}
}

func (s *store) put(key, value string, deleted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	row := table.Row{Key: key, Value: []byte(value), Version: s.version, Deleted: deleted}
	s.history = append(s.history, row)
	if deleted {
		delete(s.rows, key)
	} else {
		s.rows[key] = row
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) all() table.Changes {
	c := table.Changes{Version: s.version}
	for _, row := range s.rows {
		c.Rows = append(c.Rows, row)
	}
	return c
}

var errDown = errors.New("down")

type errHistoryLost struct{ error }

// HistoryLost makes the cache read the whole table.
func (errHistoryLost) HistoryLost() bool { return true }

// List returns all rows, or the stale ones if they are set.
func (s *store) List(context.Context, string) (table.Changes, error) {
	time.Sleep(time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lists++
	if s.down {
		return table.Changes{}, errDown
	}
	if s.stale != nil {
		return *s.stale, nil
	}
	return s.all(), nil
}

// Watch returns the changes after a version, and waits for the first one.
func (s *store) Watch(ctx context.Context, _ string, after int64, wait time.Duration) (table.Changes, error) {
	deadline := time.After(wait)
	timeout := time.After(wait + responseMargin)
	s.mu.Lock()
	s.watches++
	silence := s.silence
	s.mu.Unlock()
	for {
		select {
		case <-silence:
			<-timeout
			return table.Changes{}, errDown
		default:
		}
		s.mu.Lock()
		switch {
		case s.down:
			s.mu.Unlock()
			return table.Changes{}, errDown
		case after < s.oldest:
			s.mu.Unlock()
			return table.Changes{}, errHistoryLost{errDown}
		}
		c := table.Changes{Version: s.version}
		for _, row := range s.history {
			if row.Version > after {
				c.Rows = append(c.Rows, row)
			}
		}
		changed := s.changed
		s.mu.Unlock()
		if len(c.Rows) > 0 {
			return c, nil
		}
		select {
		case <-silence:
		case <-changed:
		case <-deadline:
			return c, nil
		case <-ctx.Done():
			return table.Changes{}, ctx.Err()
		}
	}
}

// responseMargin is how much longer than its wait a client waits for the response to Watch.
const responseMargin = 500 * time.Millisecond

// goSilent makes the requests in progress end by their timeouts. New ones work.
func (s *store) goSilent() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.silence)
	s.silence = make(chan struct{})
}

// startCache runs a cache until the test ends. The returned function waits until
// changes have arrived, and returns those that the cache has reported since the
// last call.
func startCache(t *testing.T, s *store) (*watch.Cache, func() []string) {
	ctx, cancel := context.WithCancel(context.Background())
	var mu sync.Mutex
	var reported []string
	c := watch.New("t", s, nil, func(rows []table.Row) {
		mu.Lock()
		defer mu.Unlock()
		for _, row := range rows {
			text := row.Key + "=" + string(row.Value)
			if row.Deleted {
				text = row.Key + " deleted"
			}
			reported = append(reported, text)
		}
	}, &log.Logger{Writer: log.IOWriter{Writer: io.Discard}})
	go c.Run(ctx)
	t.Cleanup(func() { cancel(); <-c.Done() })
	return c, func() []string {
		time.Sleep(200 * time.Millisecond)
		mu.Lock()
		defer mu.Unlock()
		list := slices.Clone(reported)
		reported = nil
		return list
	}
}

func wantChanges(t *testing.T, reported func() []string, want ...string) {
	t.Helper()
	got := reported()
	slices.Sort(got)
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

func TestCacheFollowsChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.put("t/a", "1", false)
		c, reported := startCache(t, s)
		wantChanges(t, reported, "t/a=1")
		s.put("t/a", "2", false)
		s.put("t/b", "1", false)
		wantChanges(t, reported, "t/a=2", "t/b=1")
		s.put("t/a", "", true)
		wantChanges(t, reported, "t/a deleted")
		if c.Get("t/a").Version != 0 || string(c.Get("t/b").Value) != "1" {
			t.Errorf("%v", c.Rows())
		}
	})
}

// When the store no longer has the changes that the cache requests, the cache reads
// the whole table and reports the rows that were changed or deleted meanwhile.
func TestTableIsReadAgainAfterLostHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.put("t/a", "1", false)
		s.put("t/b", "1", false)
		_, reported := startCache(t, s)
		wantChanges(t, reported, "t/a=1", "t/b=1")

		s.mu.Lock()
		s.oldest = 100
		s.mu.Unlock()
		s.put("t/a", "", true)
		s.put("t/b", "2", false)
		wantChanges(t, reported, "t/a deleted", "t/b=2")
	})
}

// A list of rows that is older than an earlier response must not replace newer rows of
// the cache.
func TestCacheNeverGoesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.put("t/a", "1", false)
		old := s.all()
		s.put("t/a", "2", false)
		s.put("t/b", "1", false)
		c, reported := startCache(t, s)
		wantChanges(t, reported, "t/a=2", "t/b=1")

		s.mu.Lock()
		s.stale, s.oldest = &old, 100
		s.mu.Unlock()
		s.put("t/c", "1", false)
		wantChanges(t, reported)
		if string(c.Get("t/a").Value) != "2" {
			t.Errorf("%v", c.Rows())
		}

		s.mu.Lock()
		s.stale, s.oldest = nil, 0
		s.mu.Unlock()
		time.Sleep(time.Second)
		wantChanges(t, reported, "t/c=1")
	})
}

func TestCacheKeepsItsRowsWhileTheStoreIsUnreachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.put("t/a", "1", false)
		c, reported := startCache(t, s)
		wantChanges(t, reported, "t/a=1")
		s.mu.Lock()
		s.down = true
		s.mu.Unlock()
		s.put("t/a", "2", false)
		time.Sleep(time.Minute)
		wantChanges(t, reported)
		if c.StoreReachable() || string(c.Get("t/a").Value) != "1" {
			t.Errorf("store reachable: %v, rows %v", c.StoreReachable(), c.Rows())
		}

		s.mu.Lock()
		s.down = false
		s.mu.Unlock()
		time.Sleep(time.Second)
		wantChanges(t, reported, "t/a=2")
	})
}

// Workers rewrite their rows constantly. The poll interval bounds the number of
// requests for changes, whatever the rate of writes.
func TestPollIntervalBatchesChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		ctx, cancel := context.WithCancel(t.Context())
		rows := 0
		c := watch.New("t", s, func() time.Duration { return 500 * time.Millisecond }, func(r []table.Row) { rows += len(r) }, &log.Logger{Writer: log.IOWriter{Writer: io.Discard}})
		go c.Run(ctx)
		for range 200 {
			s.put("t/a", "1", false)
			time.Sleep(50 * time.Millisecond)
		}
		cancel()
		<-c.Done()
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.watches > 21 || s.watches < 15 || rows < 15 {
			t.Errorf("%d requests in 10 s, %d rows", s.watches, rows)
		}
	})
}

// An instance that rarely needs a table polls it with a long interval. Refresh must
// read the changes at once.
func TestRefreshEndsThePollInterval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		ctx, cancel := context.WithCancel(t.Context())
		reported := make(chan string, 10)
		c := watch.New("t", s, func() time.Duration { return 15 * time.Second }, func(rows []table.Row) {
			for _, row := range rows {
				reported <- string(row.Value)
			}
		}, &log.Logger{Writer: log.IOWriter{Writer: io.Discard}})
		go c.Run(ctx)
		time.Sleep(time.Second)
		s.put("t/a", "1", false)
		time.Sleep(3 * time.Second)
		if staleness := c.Staleness(); len(reported) != 0 || staleness < 3*time.Second {
			t.Errorf("%d rows before the refresh, staleness %v", len(reported), staleness)
		}
		c.Refresh()
		c.Refresh()
		time.Sleep(10 * time.Millisecond)
		if staleness := c.Staleness(); len(reported) != 1 || staleness > 10*time.Millisecond {
			t.Errorf("%d rows after the refresh, staleness %v", len(reported), staleness)
		}
		cancel()
		<-c.Done()
	})
}

// A row that this process has written is reported by ApplyWrite, and not again when
// the change feed delivers it.
func TestOwnWriteIsReportedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		c, reported := startCache(t, s)
		wantChanges(t, reported)
		c.ApplyWrite(table.Row{Key: "t/a", Value: []byte("1"), Version: 1})
		s.put("t/a", "1", false)
		wantChanges(t, reported, "t/a=1")
	})
}

// pagedResponseTime is the time that a paged store takes for a response.
const pagedResponseTime = 5 * time.Millisecond

// paged is a store that returns changes in pages. The version of a page is that of its
// last change.
type paged struct {
	*store
	pageSize int
}

// Watch returns the first page of the changes after a version.
func (p paged) Watch(ctx context.Context, name string, after int64, wait time.Duration) (table.Changes, error) {
	time.Sleep(pagedResponseTime)
	c, err := p.store.Watch(ctx, name, after, wait)
	if err == nil && len(c.Rows) > p.pageSize {
		c.Rows = c.Rows[:p.pageSize]
		c.Version = c.Rows[p.pageSize-1].Version
		c.More = true
	}
	return c, err
}

// 1,100 workers rewrite their rows every 1.5 s, so after a poll interval more changes are
// pending than fit into one page. The cache must read the further pages without a delay, or
// it falls behind without bound.
func TestCacheKeepsUpWithMoreChangesThanAPageHolds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const rows, period, pollInterval = 1100, 1500 * time.Millisecond, 700 * time.Millisecond
		s := newStore()
		c := watch.New("workers", paged{s, 500}, func() time.Duration { return pollInterval }, func([]table.Row) {},
			&log.Logger{Writer: log.IOWriter{Writer: io.Discard}})
		ctx, cancel := context.WithCancel(context.Background())
		defer func() { cancel(); <-c.Done() }()
		go c.Run(ctx)
		for n := 0; n < 20*rows; n++ {
			s.put(fmt.Sprintf("workers/%d", n%rows), time.Now().Format(time.RFC3339Nano), false)
			time.Sleep(period / rows)
			if n%100 != 0 || n < 2*rows {
				continue
			}
			var newest time.Time
			for key, row := range c.Rows() {
				at, err := time.Parse(time.RFC3339Nano, string(row.Value))
				if err != nil {
					t.Fatalf("%s: %v", key, err)
				}
				if at.After(newest) {
					newest = at
				}
			}
			if behind := time.Since(newest); behind > pollInterval+100*time.Millisecond {
				t.Fatalf("%v behind after %d writes", behind, n)
			}
		}
	})
}

// A panic of onChange must not keep the cache from following later changes.
func TestPanicOfOnChangeDoesNotStopTheCache(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		var calls atomic.Int32
		c := watch.New("t", s, nil, func([]table.Row) {
			if calls.Add(1) == 2 {
				panic("unexpected row")
			}
		}, &log.Logger{Writer: log.IOWriter{Writer: io.Discard}})
		ctx, cancel := context.WithCancel(context.Background())
		defer func() { cancel(); <-c.Done() }()
		go c.Run(ctx)
		for _, key := range []string{"t/a", "t/b", "t/c"} {
			time.Sleep(time.Second)
			s.put(key, "x", false)
		}
		time.Sleep(time.Second)
		if got := c.Get("t/c"); got.Version == 0 || calls.Load() < 4 {
			t.Errorf("%d calls, last row %+v", calls.Load(), got)
		}
	})
}

// An instance that polls the workers' table once a minute becomes a home (the instance that
// starts tasks on the workers of a data centre) and needs the current list of workers. Its
// cache must count as current only when it has read all pages of the pending changes, not
// after the first page, which holds the oldest ones.
func TestCacheIsCurrentOnlyAfterTheLastPage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		c := watch.New("workers", paged{s, 500}, func() time.Duration { return time.Minute }, func([]table.Row) {},
			&log.Logger{Writer: log.IOWriter{Writer: io.Discard}})
		ctx, cancel := context.WithCancel(context.Background())
		defer func() { cancel(); <-c.Done() }()
		s.put("workers/0", "x", false)
		go c.Run(ctx)
		time.Sleep(time.Second)
		for n := range 3700 {
			s.put(fmt.Sprintf("workers/%d", n%350), "x", false)
		}
		s.put("workers/new", "x", false)
		time.Sleep(16 * time.Second)
		c.Refresh()
		for range 1000 {
			time.Sleep(time.Millisecond)
			if c.Staleness() > time.Second {
				continue
			}
			if c.Get("workers/new").Version == 0 {
				t.Error("a cache without the newest row counts as current")
			}
			return
		}
		t.Error("the cache was not current within a second")
	})
}

// Guards against old configurations and leaving workers in use: a connection to the store goes silent
// while a request for changes waits on it, and the change is read only after more than the 3 s that the
// platform allows (review/4).
func TestChangeIsReadInTimeAfterConnectionsWentSilent(t *testing.T) {
	const allowed = 3 * time.Second
	for _, waited := range []time.Duration{0, time.Millisecond, 400 * time.Millisecond, time.Second, 1900 * time.Millisecond, 3500 * time.Millisecond} {
		t.Run(waited.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newStore()
				s.put("t/a", "1", false)
				c, reported := startCache(t, s)
				wantChanges(t, reported, "t/a=1")
				s.put("t/a", "2", false) // the request for the next change starts now
				time.Sleep(waited)
				s.goSilent()
				s.put("t/a", "3", false)
				time.Sleep(allowed)
				if diff := cmp.Diff("3", string(c.Get("t/a").Value)); diff != "" {
					t.Errorf("value after %v (-want +got):\n%s", allowed, diff)
				}
			})
		})
	}
}

// Guards against a home that gets no successor for seconds: an instance claims none while the store
// counts as unreachable, which it did until a request for changes had waited for a change.
func TestStoreIsReachableAtOnceAfterASilentConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.put("t/a", "1", false)
		c, reported := startCache(t, s)
		wantChanges(t, reported, "t/a=1")
		s.put("t/a", "2", false)
		time.Sleep(time.Millisecond)
		s.goSilent()
		for c.StoreReachable() {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(100 * time.Millisecond)
		if !c.StoreReachable() {
			t.Error("the store does not count as reachable 100 ms after the request on the silent connection has timed out")
		}
	})
}

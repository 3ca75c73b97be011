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

// store is a fake table. Stale lists are an older state.
type store struct {
	mu      sync.Mutex
	rows    map[string]table.Row
	history []table.Row
	version int64
	oldest  int64 // changes up to it are forgotten
	stale   *table.Changes
	down    bool
	changed chan struct{}
	lists   int
	watches int
}

func newStore() *store { return &store{rows: map[string]table.Row{}, changed: make(chan struct{})} }

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

type errGone struct{ error }

// HistoryLost tells the mirror to list.
func (errGone) HistoryLost() bool { return true }

// List returns the rows.
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

// Watch returns later changes.
func (s *store) Watch(ctx context.Context, _ string, after int64, wait time.Duration) (table.Changes, error) {
	deadline := time.After(wait)
	s.mu.Lock()
	s.watches++
	s.mu.Unlock()
	for {
		s.mu.Lock()
		switch {
		case s.down:
			s.mu.Unlock()
			return table.Changes{}, errDown
		case after < s.oldest:
			s.mu.Unlock()
			return table.Changes{}, errGone{errDown}
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
		case <-changed:
		case <-deadline:
			return c, nil
		case <-ctx.Done():
			return table.Changes{}, ctx.Err()
		}
	}
}

// follow runs a mirror until the test ends and collects what it was told.
func follow(t *testing.T, s *store) (*watch.Cache, func() []string) {
	ctx, cancel := context.WithCancel(context.Background())
	var mu sync.Mutex
	var told []string
	m := watch.New("t", s, nil, func(rows []table.Row) {
		mu.Lock()
		defer mu.Unlock()
		for _, row := range rows {
			text := row.Key + "=" + string(row.Value)
			if row.Deleted {
				text = row.Key + " gone"
			}
			told = append(told, text)
		}
	}, &log.Logger{Writer: log.IOWriter{Writer: io.Discard}})
	go m.Run(ctx)
	t.Cleanup(func() { cancel(); <-m.Done() })
	return m, func() []string {
		time.Sleep(200 * time.Millisecond)
		mu.Lock()
		defer mu.Unlock()
		list := slices.Clone(told)
		told = nil
		return list
	}
}

func expect(t *testing.T, told func() []string, want ...string) {
	t.Helper()
	got := told()
	slices.Sort(got)
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

func TestMirrorFollowsChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.put("t/a", "1", false)
		m, told := follow(t, s)
		expect(t, told, "t/a=1")
		s.put("t/a", "2", false)
		s.put("t/b", "1", false)
		expect(t, told, "t/a=2", "t/b=1")
		s.put("t/a", "", true)
		expect(t, told, "t/a gone")
		if m.Get("t/a").Version != 0 || string(m.Get("t/b").Value) != "1" {
			t.Errorf("%v", m.Rows())
		}
	})
}

func TestLostHistoryIsReadAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.put("t/a", "1", false)
		s.put("t/b", "1", false)
		_, told := follow(t, s)
		expect(t, told, "t/a=1", "t/b=1")

		s.mu.Lock()
		s.oldest = 100
		s.mu.Unlock()
		s.put("t/a", "", true)
		s.put("t/b", "2", false)
		expect(t, told, "t/a gone", "t/b=2")
	})
}

func TestMirrorNeverGoesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.put("t/a", "1", false)
		old := s.all()
		s.put("t/a", "2", false)
		s.put("t/b", "1", false)
		m, told := follow(t, s)
		expect(t, told, "t/a=2", "t/b=1")

		s.mu.Lock()
		s.stale, s.oldest = &old, 100
		s.mu.Unlock()
		s.put("t/c", "1", false)
		expect(t, told)
		if string(m.Get("t/a").Value) != "2" {
			t.Errorf("%v", m.Rows())
		}

		s.mu.Lock()
		s.stale, s.oldest = nil, 0
		s.mu.Unlock()
		time.Sleep(time.Second)
		expect(t, told, "t/c=1")
	})
}

func TestMirrorKeepsItsRowsWhileTheStoreIsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.put("t/a", "1", false)
		m, told := follow(t, s)
		expect(t, told, "t/a=1")
		s.mu.Lock()
		s.down = true
		s.mu.Unlock()
		s.put("t/a", "2", false)
		time.Sleep(time.Minute)
		expect(t, told)
		if m.StoreReachable() || string(m.Get("t/a").Value) != "1" {
			t.Errorf("reached %v, rows %v", m.StoreReachable(), m.Rows())
		}

		s.mu.Lock()
		s.down = false
		s.mu.Unlock()
		time.Sleep(time.Second)
		expect(t, told, "t/a=2")
	})
}

// Each worker writes its row all the time: the requests for changes are bounded
// whatever the workers write.
func TestPauseGathersChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		ctx, cancel := context.WithCancel(t.Context())
		rows := 0
		m := watch.New("t", s, func() time.Duration { return 500 * time.Millisecond }, func(r []table.Row) { rows += len(r) }, &log.Logger{Writer: log.IOWriter{Writer: io.Discard}})
		go m.Run(ctx)
		for range 200 {
			s.put("t/a", "1", false)
			time.Sleep(50 * time.Millisecond)
		}
		cancel()
		<-m.Done()
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.watches > 21 || s.watches < 15 || rows < 15 {
			t.Errorf("%d requests in 10 s, %d rows", s.watches, rows)
		}
	})
}

// An instance that needs a table only now and then reads it at once when it does.
func TestRefreshEndsAPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		ctx, cancel := context.WithCancel(t.Context())
		told := make(chan string, 10)
		m := watch.New("t", s, func() time.Duration { return 15 * time.Second }, func(rows []table.Row) {
			for _, row := range rows {
				told <- string(row.Value)
			}
		}, &log.Logger{Writer: log.IOWriter{Writer: io.Discard}})
		go m.Run(ctx)
		time.Sleep(time.Second)
		s.put("t/a", "1", false)
		time.Sleep(3 * time.Second)
		if age := m.Staleness(); len(told) != 0 || age < 3*time.Second {
			t.Errorf("%d rows before the refresh, age %v", len(told), age)
		}
		m.Refresh()
		m.Refresh()
		time.Sleep(10 * time.Millisecond)
		if age := m.Staleness(); len(told) != 1 || age > 10*time.Millisecond {
			t.Errorf("%d rows after the refresh, age %v", len(told), age)
		}
		cancel()
		<-m.Done()
	})
}

func TestOwnWriteIsSeenAtOnceAndOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		m, told := follow(t, s)
		expect(t, told)
		m.ApplyWrite(table.Row{Key: "t/a", Value: []byte("1"), Version: 1})
		s.put("t/a", "1", false)
		expect(t, told, "t/a=1")
	})
}

// pagedAnswer is how long a paged store takes to answer.
const pagedAnswer = 5 * time.Millisecond

// paged is a store whose answers hold a bounded number of changes, as of the last one.
type paged struct {
	*store
	most int
}

// Watch returns the oldest changes.
func (p paged) Watch(ctx context.Context, name string, after int64, wait time.Duration) (table.Changes, error) {
	time.Sleep(pagedAnswer)
	c, err := p.store.Watch(ctx, name, after, wait)
	if err == nil && len(c.Rows) > p.most {
		c.Rows = c.Rows[:p.most]
		c.Version = c.Rows[p.most-1].Version
		c.More = true
	}
	return c, err
}

// 1,100 workers write their rows each 1.5 s, more than one answer holds after a pause.
func TestMirrorKeepsUpWithATableThatFillsItsAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const rows, period, pause = 1100, 1500 * time.Millisecond, 700 * time.Millisecond
		s := newStore()
		m := watch.New("workers", paged{s, 500}, func() time.Duration { return pause }, func([]table.Row) {},
			&log.Logger{Writer: log.IOWriter{Writer: io.Discard}})
		ctx, cancel := context.WithCancel(context.Background())
		defer func() { cancel(); <-m.Done() }()
		go m.Run(ctx)
		for n := 0; n < 20*rows; n++ {
			s.put(fmt.Sprintf("workers/%d", n%rows), time.Now().Format(time.RFC3339Nano), false)
			time.Sleep(period / rows)
			if n%100 != 0 || n < 2*rows {
				continue
			}
			var newest time.Time
			for key, row := range m.Rows() {
				at, err := time.Parse(time.RFC3339Nano, string(row.Value))
				if err != nil {
					t.Fatalf("%s: %v", key, err)
				}
				if at.After(newest) {
					newest = at
				}
			}
			if behind := time.Since(newest); behind > pause+100*time.Millisecond {
				t.Fatalf("%v behind after %d writes", behind, n)
			}
		}
	})
}

func TestPanicOverOneChangeCostsNoLaterOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		var calls atomic.Int32
		m := watch.New("t", s, nil, func([]table.Row) {
			if calls.Add(1) == 2 {
				panic("unexpected row")
			}
		}, &log.Logger{Writer: log.IOWriter{Writer: io.Discard}})
		ctx, cancel := context.WithCancel(context.Background())
		defer func() { cancel(); <-m.Done() }()
		go m.Run(ctx)
		for _, key := range []string{"t/a", "t/b", "t/c"} {
			time.Sleep(time.Second)
			s.put(key, "x", false)
		}
		time.Sleep(time.Second)
		if got := m.Get("t/c"); got.Version == 0 || calls.Load() < 4 {
			t.Errorf("%d calls, last row %+v", calls.Load(), got)
		}
	})
}

// An instance that reads the workers' table once a minute becomes a home: its copy counts as
// fresh only when it has all changes, of which one answer holds the oldest.
func TestCopyThatIsFarBehindIsFreshOnlyWithAllChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		m := watch.New("workers", paged{s, 500}, func() time.Duration { return time.Minute }, func([]table.Row) {},
			&log.Logger{Writer: log.IOWriter{Writer: io.Discard}})
		ctx, cancel := context.WithCancel(context.Background())
		defer func() { cancel(); <-m.Done() }()
		s.put("workers/0", "x", false)
		go m.Run(ctx)
		time.Sleep(time.Second)
		for n := range 3700 {
			s.put(fmt.Sprintf("workers/%d", n%350), "x", false)
		}
		s.put("workers/new", "x", false)
		time.Sleep(16 * time.Second)
		m.Refresh()
		for range 1000 {
			time.Sleep(time.Millisecond)
			if m.Staleness() > time.Second {
				continue
			}
			if m.Get("workers/new").Version == 0 {
				t.Error("a copy without the newest row counts as fresh")
			}
			return
		}
		t.Error("the copy was not fresh within a second")
	})
}

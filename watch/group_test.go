package watch_test

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/phuslu/log"

	"foxtailmux/table"
	"foxtailmux/watch"
)

// errTimedOut is the error of a request without a response.
type errTimedOut struct{ error }

// TimedOut reports that there was no response.
func (errTimedOut) TimedOut() bool { return true }

// connected is a store that is reached over persistent connections. A request takes an idle connection or
// opens one. One without a response closes its connection and the idle ones.
type connected struct {
	*store
	mu      sync.Mutex
	idle    []*connection
	all     map[*connection]struct{}
	dropped int // requests on new connections that get no response
}

type connection struct{ silent bool }

func newConnected() *connected {
	return &connected{store: newStore(), all: map[*connection]struct{}{}}
}

func (c *connected) take() (conn *connection, drop bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n := len(c.idle); n > 0 {
		conn = c.idle[n-1]
		c.idle = c.idle[:n-1]
		return conn, false
	}
	conn = &connection{}
	c.all[conn] = struct{}{}
	if c.dropped > 0 {
		c.dropped--
		return conn, true
	}
	return conn, false
}

// Watch returns the changes after a version, and waits for the first one.
func (c *connected) Watch(ctx context.Context, name string, after int64, wait time.Duration) (table.Changes, error) {
	began := time.Now()
	conn, lost := c.take()
	c.mu.Lock()
	lost = lost || conn.silent
	c.mu.Unlock()
	var changes table.Changes
	var err error
	if !lost {
		changes, err = c.store.Watch(ctx, name, after, wait)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if lost || conn.silent {
		c.mu.Unlock()
		time.Sleep(time.Until(began.Add(wait + responseMargin)))
		c.mu.Lock()
		c.idle = nil
		delete(c.all, conn)
		return table.Changes{}, errTimedOut{errDown}
	}
	c.idle = append(c.idle, conn)
	return changes, err
}

// goSilent makes all open connections silent. New ones work, but for the first requests on them.
func (c *connected) goSilent(dropped int) {
	c.mu.Lock()
	for conn := range c.all {
		conn.silent = true
	}
	c.dropped = dropped
	c.mu.Unlock()
	c.store.goSilent()
}

// Goes step by step through the moments at which connections can go silent, for the tables that an instance
// follows: three by requests that wait for a change, and the workers' one, which it polls besides. Guards
// against what remained of review/4, where each cache noticed the silence by its own request alone: a poll on
// an idle connection that had gone silent was read 3.2 s later, and one lost request after that made a change
// of the configuration as late. The platform allows 3 s.
func TestChangesAreReadInTimeWheneverConnectionsGoSilent(t *testing.T) {
	const allowed = 3 * time.Second
	const step = 50 * time.Millisecond
	discard := &log.Logger{Writer: log.IOWriter{Writer: io.Discard}}
	intervals := map[string]time.Duration{"op": 0, "homes": 0, "nodes": 0, "workers": 700 * time.Millisecond}
	for dropped := range 3 {
		for silence := time.Duration(0); silence < 4*time.Second; silence += step {
			t.Run(fmt.Sprintf("%d lost requests after %v", dropped, silence), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					ctx, cancel := context.WithCancel(context.Background())
					defer cancel()
					s := newConnected()
					s.put("t/a", "1", false)
					group := watch.NewGroup()
					caches := map[string]*watch.Cache{}
					for name, interval := range intervals {
						c := watch.New(name, s, func() time.Duration { return interval }, func([]table.Row) {}, discard)
						group.Add(c)
						caches[name] = c
						go c.Run(ctx)
						defer func() { <-c.Done() }()
					}
					defer cancel()
					time.Sleep(100 * time.Millisecond)
					s.put("t/a", "2", false) // all caches request the next change now
					time.Sleep(silence)
					s.goSilent(dropped)
					s.put("t/a", "3", false)
					time.Sleep(allowed)
					got, want := map[string]string{}, map[string]string{}
					for name, c := range caches {
						got[name], want[name] = string(c.Get("t/a").Value), "3"
					}
					if diff := cmp.Diff(want, got); diff != "" {
						t.Errorf("values after %v (-want +got):\n%s", allowed, diff)
					}
				})
			})
		}
	}
}

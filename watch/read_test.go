package watch_test

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/phuslu/log"

	"foxtailmux/table"
	"foxtailmux/watch"
)

// slowStore is a store whose responses are under way for a time.
type slowStore struct {
	*store
	delay time.Duration
}

// Watch returns the changes after a version, and waits for the first one.
func (s slowStore) Watch(ctx context.Context, name string, after int64, wait time.Duration) (table.Changes, error) {
	changes, err := s.store.Watch(ctx, name, after, wait)
	time.Sleep(s.delay)
	return changes, err
}

// Guards against a home that takes the list of workers for complete by a response to a request from before its start,
// and against one that waits for the next change until its list is complete.
func TestReadNowIsServedByALaterRequestAtOnce(t *testing.T) {
	const delay = 30 * time.Millisecond
	// When ReadNow is called after the last change: while a request waits, or while a response is under way.
	for name, after := range map[string]time.Duration{"waiting": time.Second, "under way": delay / 2, "between polls": 300 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := slowStore{newStore(), delay}
				s.put("a/x", "1", false)
				poll := time.Duration(0)
				if name == "between polls" {
					poll = time.Hour
				}
				l := log.Logger{Writer: log.IOWriter{Writer: io.Discard}}
				c := watch.New("a", s, func() time.Duration { return poll }, func([]table.Row) {}, &l)
				watch.NewGroup().Add(c)
				ctx, cancel := context.WithCancel(t.Context())
				go c.Run(ctx)
				time.Sleep(500 * time.Millisecond)
				s.put("a/x", "2", false)
				time.Sleep(after)
				called := time.Now()
				done := c.ReadNow()
				s.put("a/y", "1", false)
				<-done
				if took := time.Since(called); took > 2*delay+delay/2 {
					t.Errorf("served after %v", took)
				}
				if asOf := c.AsOf(); asOf.Before(called) {
					t.Errorf("the cache is as of %v before the call", called.Sub(asOf))
				}
				if diff := cmp.Diff("1", string(c.Get("a/y").Value)); diff != "" {
					t.Errorf("row that was written before the request (-want +got):\n%s", diff)
				}
				if !c.StoreReachable() {
					t.Error("the store counts as unreachable")
				}
				cancel()
				<-c.Done()
			})
		})
	}
}

package watch

import (
	"errors"
	"sync"
	"time"
)

// minFeedWait is the least wait of a request for changes. A response may arrive slightly before
// the end of its wait; a request for the little that is left would only cost the store a response.
const minFeedWait = 20 * time.Millisecond

// Group holds the caches that follow tables of one store over connections that break together. It
// spreads the ends of their requests for changes evenly over FeedWait, so that some response is due
// every FeedWait divided by the number of caches. When one is missing, all requests that wait for
// changes are given up and sent again. Used for connections that go silent without a reset: the
// first missing response shows it, whichever cache it was for. It is safe for concurrent use.
type Group struct {
	began time.Time

	mu     sync.Mutex
	caches []*Cache
}

// NewGroup returns an empty group.
func NewGroup() *Group { return &Group{began: time.Now()} }

// Add adds a cache to the group. It must be called before the cache runs.
func (g *Group) Add(c *Cache) {
	g.mu.Lock()
	defer g.mu.Unlock()
	c.group, c.slot = g, len(g.caches)
	g.caches = append(g.caches, c)
}

// wait returns how long the next request of the cache in a slot waits for a change: to the next end
// of the waits of this slot.
func (g *Group) wait(slot int, now time.Time) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	end := FeedWait * time.Duration(slot) / time.Duration(len(g.caches))
	wait := (end - now.Sub(g.began)%FeedWait + FeedWait) % FeedWait
	if wait < minFeedWait {
		wait += FeedWait
	}
	return wait
}

// repeatRequests makes all caches give up the request with which they wait for a change.
func (g *Group) repeatRequests() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, c := range g.caches {
		select {
		case c.giveUp <- struct{}{}:
		default:
		}
	}
}

// errGivenUp is returned for a request that waited for a change when another one to the same store
// got no response.
var errGivenUp = errors.New("another request to the store got no response")

// timedOut reports whether a request got no response in time.
func timedOut(err error) bool {
	var e interface{ TimedOut() bool }
	return errors.As(err, &e) && e.TimedOut()
}

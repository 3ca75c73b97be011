package home_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"foxtailmux/fakes"
	"foxtailmux/home"
	"foxtailmux/lease"
	"foxtailmux/model"
	"foxtailmux/plan"
)

const (
	thinMegabits = 2
	thinOverhead = 400 // bytes of an order beside its specification
	thinDial     = 200 // bytes of a new connection
	thinGrace    = time.Second
	thinSpec     = 2400 // bytes
	thinLasts    = 10 * time.Second
	thinPause    = 140 * time.Millisecond // between jobs: a fifth of what the link carries
)

// thinLink delays what is sent through it by its bandwidth, and counts it.
type thinLink struct {
	mu     sync.Mutex
	freeAt time.Time
	sends  map[string]int // by task
}

func newThinLink() *thinLink { return &thinLink{sends: map[string]int{}} }

// send returns the time until bytes that are sent now have left.
func (l *thinLink) send(bytes int) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.freeAt = l.freeAt.Add(time.Duration(bytes) * 8 * time.Microsecond / thinMegabits)
	return l.freeAt.Sub(now)
}

// thinEndpoint is a worker behind a thin link. What was sent arrives also after the
// time-out of its order, as bytes in a socket do, and the order after one without an
// answer costs a new connection.
type thinEndpoint struct {
	*fakes.LeasedWorker
	link *thinLink
	late func(took time.Duration)

	mu     sync.Mutex
	redial bool
}

// Start carries out a start when it has left the link.
func (e *thinEndpoint) Start(s lease.Start, timeout time.Duration) (lease.Reply, error) {
	e.link.mu.Lock()
	e.link.sends[s.Task]++
	e.link.mu.Unlock()
	return through(e, len(s.Spec), timeout, 0, func() (lease.Reply, error) { return e.LeasedWorker.Start(s, timeout) })
}

// Stop carries out a stop when it has left the link.
func (e *thinEndpoint) Stop(s lease.Stop, timeout time.Duration) (lease.Reply, error) {
	return through(e, 0, timeout, 0, func() (lease.Reply, error) { return e.LeasedWorker.Stop(s, timeout) })
}

// Renew carries out a hold when it has left the link.
func (e *thinEndpoint) Renew(h lease.Renewal, timeout time.Duration) (lease.Report, error) {
	wait := time.Duration(h.WaitMillis) * time.Millisecond
	return through(e, 0, timeout, wait, func() (lease.Report, error) { return e.LeasedWorker.Renew(h, timeout) })
}

func through[T any](e *thinEndpoint, spec int, timeout, wait time.Duration, carryOut func() (T, error)) (T, error) {
	bytes := thinOverhead + spec
	e.mu.Lock()
	if e.redial {
		bytes += thinDial
		e.redial = false
	}
	e.mu.Unlock()

	type answer struct {
		reply T
		err   error
	}
	answers := make(chan answer, 1)
	began := time.Now()
	go func() {
		time.Sleep(e.link.send(bytes))
		reply, err := carryOut()
		answers <- answer{reply, err}
		if took := time.Since(began); err == nil && took > timeout && took < timeout+thinGrace {
			e.late(took - wait)
		}
	}()
	select {
	case a := <-answers:
		return a.reply, a.err
	case <-time.After(timeout):
		e.mu.Lock()
		e.redial = true
		e.mu.Unlock()
		var none T
		return none, fakes.ErrNoAnswer
	}
}

// playThin hands a light load of wide jobs to a home whose orders leave through a thin
// link, and returns how many jobs succeeded and how often a start was sent.
func playThin(t *testing.T, known *plan.Link, link *thinLink) (jobs, succeeded int, sends float64) {
	p := newPlace(t, 20)
	p.link = known
	p.connect = func(w model.Worker, heard func(took time.Duration)) home.Endpoint {
		return &thinEndpoint{LeasedWorker: p.workers[w.ID], link: link, late: heard}
	}
	h := p.home(1)
	defer p.close(h)
	time.Sleep(time.Second)

	var mu sync.Mutex
	var callers sync.WaitGroup
	for began := time.Now(); time.Since(began) < thinLasts; jobs++ {
		s := submission(fmt.Sprintf("j%d", jobs), 2+jobs%7) // 2 to 8 tasks
		s.Batch.Spec = strings.Repeat("x", thinSpec)
		callers.Go(func() {
			if submit(h, s).Result == home.Succeeded {
				mu.Lock()
				succeeded++
				mu.Unlock()
			}
		})
		time.Sleep(thinPause)
	}
	callers.Wait()
	p.check()

	total := 0
	for _, n := range link.sends {
		total += n
	}
	return jobs, succeeded, float64(total) / float64(len(link.sends))
}

// A job of eight tasks fills a link of 2 Mbit/s for 90 ms, three times as long as a start
// waits for its answer otherwise.
func TestLightLoadOverAThinLinkIsServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		jobs, succeeded, sends := playThin(t, plan.NewLink(thinMegabits), newThinLink())
		if succeeded < jobs {
			t.Errorf("%d of %d jobs succeeded", succeeded, jobs)
		}
		if sends > 1.02 {
			t.Errorf("each start was sent %.3f times", sends)
		}
	})
}

// Others may fill the link, so that its queue is not known here: the time of late answers
// shows it.
func TestLightLoadOverALinkThatOthersFillIsServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		jobs, succeeded, sends := playThin(t, plan.NewLink(0), newThinLink())
		if succeeded < jobs*98/100 {
			t.Errorf("%d of %d jobs succeeded", succeeded, jobs)
		}
		if sends > 1.2 {
			t.Errorf("each start was sent %.3f times", sends)
		}
	})
}

// The link is full for two seconds; full service is back within three.
func TestServiceReturnsAfterAFullLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		link := newThinLink()
		time.AfterFunc(time.Second, func() {
			link.send(2 * thinMegabits * 1e6 / 8)
		})
		jobs, succeeded, _ := playThin(t, plan.NewLink(thinMegabits), link)
		lost := int(5 * time.Second / thinPause) // in two seconds of a full link and three after
		if succeeded < jobs-lost {
			t.Errorf("%d of %d jobs succeeded", succeeded, jobs)
		}
	})
}

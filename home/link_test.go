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
	linkMegabits    = 2
	requestOverhead = 400 // bytes of a request without the specification
	dialBytes       = 200 // bytes of a new connection
	lateGrace       = time.Second
	specBytes       = 2400
	loadDuration    = 10 * time.Second
	jobInterval     = 140 * time.Millisecond // between jobs, which use a fifth of the link
)

// limitedLink simulates a low-bandwidth link: it delays the bytes sent and counts the sends.
type limitedLink struct {
	mu     sync.Mutex
	freeAt time.Time
	sends  map[string]int // by task
}

func newLimitedLink() *limitedLink { return &limitedLink{sends: map[string]int{}} }

// send returns the time until bytes that are sent now have left.
func (l *limitedLink) send(bytes int) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.freeAt = l.freeAt.Add(time.Duration(bytes) * 8 * time.Microsecond / linkMegabits)
	return l.freeAt.Sub(now)
}

// limitedEndpoint is a worker behind a low-bandwidth link. A request arrives even after its
// timeout, like bytes in a socket buffer, and the request after one without a response needs a
// new connection.
type limitedEndpoint struct {
	*fakes.LeasedWorker
	link *limitedLink
	late func(took time.Duration)

	mu     sync.Mutex
	redial bool
}

// Start carries out a start when it has left the link.
func (e *limitedEndpoint) Start(s lease.Start, timeout time.Duration) (lease.Reply, error) {
	e.link.mu.Lock()
	e.link.sends[s.Task]++
	e.link.mu.Unlock()
	return through(e, len(s.Spec), timeout, 0, func() (lease.Reply, error) { return e.LeasedWorker.Start(s, timeout) })
}

// Stop carries out a stop when it has left the link.
func (e *limitedEndpoint) Stop(s lease.Stop, timeout time.Duration) (lease.Reply, error) {
	return through(e, 0, timeout, 0, func() (lease.Reply, error) { return e.LeasedWorker.Stop(s, timeout) })
}

// Renew carries out a renewal when it has left the link.
func (e *limitedEndpoint) Renew(r lease.Renewal, timeout time.Duration) (lease.Report, error) {
	wait := time.Duration(r.WaitMillis) * time.Millisecond
	return through(e, 0, timeout, wait, func() (lease.Report, error) { return e.LeasedWorker.Renew(r, timeout) })
}

func through[T any](e *limitedEndpoint, spec int, timeout, wait time.Duration, do func() (T, error)) (T, error) {
	bytes := requestOverhead + spec
	e.mu.Lock()
	if e.redial {
		bytes += dialBytes
		e.redial = false
	}
	e.mu.Unlock()

	type response struct {
		reply T
		err   error
	}
	responses := make(chan response, 1)
	began := time.Now()
	go func() {
		time.Sleep(e.link.send(bytes))
		reply, err := do()
		responses <- response{reply, err}
		if took := time.Since(began); err == nil && took > timeout && took < timeout+lateGrace {
			e.late(took - wait)
		}
	}()
	select {
	case r := <-responses:
		return r.reply, r.err
	case <-time.After(timeout):
		e.mu.Lock()
		e.redial = true
		e.mu.Unlock()
		var zero T
		return zero, fakes.ErrNoResponse
	}
}

// playOverLink submits a light load of wide jobs to a home whose requests leave through a
// low-bandwidth link. It returns the number of jobs, the number of jobs that succeeded, and the
// mean number of sends of a start.
func playOverLink(t *testing.T, known *plan.Link, link *limitedLink) (jobs, succeeded int, sends float64) {
	dc := newTestCentre(t, 20)
	dc.link = known
	dc.connect = func(w model.Worker, late func(took time.Duration)) home.Endpoint {
		return &limitedEndpoint{LeasedWorker: dc.workers[w.ID], link: link, late: late}
	}
	h := dc.newHome(1)
	defer dc.close(h)
	time.Sleep(time.Second)

	var mu sync.Mutex
	var callers sync.WaitGroup
	for began := time.Now(); time.Since(began) < loadDuration; jobs++ {
		s := submission(fmt.Sprintf("j%d", jobs), 2+jobs%7) // 2 to 8 tasks
		s.Batch.Spec = strings.Repeat("x", specBytes)
		callers.Go(func() {
			if submit(h, s).Result == home.Succeeded {
				mu.Lock()
				succeeded++
				mu.Unlock()
			}
		})
		time.Sleep(jobInterval)
	}
	callers.Wait()
	dc.checkLedger()

	total := 0
	for _, n := range link.sends {
		total += n
	}
	return jobs, succeeded, float64(total) / float64(len(link.sends))
}

// A job of eight tasks fills a link of 2 Mbit/s for 90 ms, three times the usual timeout of a
// start. The starts must not be taken for lost and sent again.
func TestLightLoadOverALowBandwidthLinkIsServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		jobs, succeeded, sends := playOverLink(t, plan.NewLink(linkMegabits), newLimitedLink())
		if succeeded < jobs {
			t.Errorf("%d of %d jobs succeeded", succeeded, jobs)
		}
		if sends > 1.02 {
			t.Errorf("each start was sent %.3f times", sends)
		}
	})
}

// Other machines may fill the link, so that its queue is not known here; the times of late
// responses show it.
func TestLightLoadOverALinkThatOthersFillIsServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		jobs, succeeded, sends := playOverLink(t, plan.NewLink(0), newLimitedLink())
		if succeeded < jobs*98/100 {
			t.Errorf("%d of %d jobs succeeded", succeeded, jobs)
		}
		if sends > 1.2 {
			t.Errorf("each start was sent %.3f times", sends)
		}
	})
}

// The link is saturated for two seconds; full service must be back within three more.
func TestServiceReturnsAfterASaturatedLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		link := newLimitedLink()
		time.AfterFunc(time.Second, func() {
			link.send(2 * linkMegabits * 1e6 / 8)
		})
		jobs, succeeded, _ := playOverLink(t, plan.NewLink(linkMegabits), link)
		lost := int(5 * time.Second / jobInterval) // during two seconds of a saturated link and three after
		if succeeded < jobs-lost {
			t.Errorf("%d of %d jobs succeeded", succeeded, jobs)
		}
	})
}

package home_test

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"foxtailmux/fakes"
	"foxtailmux/home"
	"foxtailmux/lease"
	"foxtailmux/model"
)

// span is a time in which a link is cut.
type span struct{ from, until time.Time }

// lateLink is a link that is cut at times. As over TCP, bytes that are sent in a cut arrive when they are sent again
// after it: 0.2, 0.6, 1.4 s and so on after the first time. So they arrive late and overtake each other, which also
// stands for a process that is stopped before it sends them.
type lateLink struct {
	cuts    []span
	pending *sync.WaitGroup // exchanges under way
}

// delay returns how long bytes that are sent now are under way.
func (l *lateLink) delay() time.Duration {
	sentAt, again := time.Now(), 200*time.Millisecond
	at := sentAt
	for l.isCut(at) {
		at = at.Add(again)
		again *= 2
	}
	return at.Sub(sentAt)
}

func (l *lateLink) isCut(at time.Time) bool {
	for _, c := range l.cuts {
		if !at.Before(c.from) && at.Before(c.until) {
			return true
		}
	}
	return false
}

// lateEndpoint is a worker behind a late link.
type lateEndpoint struct {
	*fakes.LeasedWorker
	link *lateLink
}

// lateResponse is a response with its error.
type lateResponse[T any] struct {
	value T
	err   error
}

// exchange carries out a request when it arrives, and returns its response, or fakes.ErrNoResponse if that has not
// arrived after the timeout.
func exchange[T any](l *lateLink, timeout time.Duration, request func() (T, error)) (T, error) {
	responses := make(chan lateResponse[T], 1)
	l.pending.Go(func() {
		time.Sleep(l.delay())
		var r lateResponse[T]
		r.value, r.err = request()
		time.Sleep(l.delay())
		responses <- r
	})
	select {
	case r := <-responses:
		return r.value, r.err
	case <-time.After(timeout):
		var none T
		return none, fakes.ErrNoResponse
	}
}

// Start sends the request over the link.
func (e lateEndpoint) Start(s lease.Start, timeout time.Duration) (lease.Reply, error) {
	return exchange(e.link, timeout, func() (lease.Reply, error) { return e.LeasedWorker.Start(s, time.Second) })
}

// Stop sends the request over the link.
func (e lateEndpoint) Stop(s lease.Stop, timeout time.Duration) (lease.Reply, error) {
	return exchange(e.link, timeout, func() (lease.Reply, error) { return e.LeasedWorker.Stop(s, time.Second) })
}

// Renew sends the request over the link.
func (e lateEndpoint) Renew(r lease.Renewal, timeout time.Duration) (lease.Report, error) {
	return exchange(e.link, timeout, func() (lease.Report, error) { return e.LeasedWorker.Renew(r, time.Second) })
}

// flapping is a draw of a home whose links flap, and of its successor.
type flapping struct {
	*testCentre
	draw      *rand.Rand
	pending   sync.WaitGroup       // exchanges under way
	cuts      []span               // of the store for the earlier home
	links     map[string]*lateLink // of the home that is created next, by worker
	takesOver time.Duration        // from the first cut to the start of the successor
	claimed   time.Time            // the start of the successor
}

func (f *flapping) millis(least, most int) time.Duration {
	return time.Duration(least+f.draw.IntN(most-least)) * time.Millisecond
}

// drawCuts draws two cuts in a row, and once more after a rest.
func (f *flapping) drawCuts() {
	at := time.Now().Add(f.millis(300, 900))
	for range 2 {
		for _, length := range []time.Duration{f.millis(1050, 2600), f.millis(1100, 6500)} {
			f.cuts = append(f.cuts, span{at, at.Add(length)})
			at = at.Add(length + f.millis(50, 800))
		}
		at = at.Add(f.millis(500, 3000))
	}
}

// shifted returns the cuts as another link has them.
func (f *flapping) shifted() []span {
	var list []span
	for _, c := range f.cuts {
		list = append(list, span{c.from.Add(f.millis(0, 300)), c.until.Add(f.millis(0, 300))})
	}
	return list
}

// confirmedAt is when the store last named the earlier home, as far as it can know.
func (f *flapping) confirmedAt() time.Time {
	now := time.Now()
	if now.After(f.claimed) {
		now = f.claimed
	}
	for _, c := range f.cuts {
		if !now.Before(c.from) && now.Before(c.until) {
			return c.from
		}
	}
	return now
}

// setLinks gives the home that is created next links of its own to the workers, of which a share flaps and one is lost
// for long.
func (f *flapping) setLinks() {
	flap, lost, n := f.draw.IntN(4), f.draw.IntN(2*len(f.workers)), 0
	f.links = map[string]*lateLink{}
	for _, id := range slices.Sorted(maps.Keys(f.workers)) {
		l := &lateLink{pending: &f.pending}
		if f.draw.IntN(4) < flap {
			l.cuts = f.shifted()
		}
		if n == lost {
			l.cuts = append(l.cuts, span{f.claimed.Add(-f.millis(0, 1000)), f.claimed.Add(f.millis(3000, 12_000))})
		}
		f.links[id] = l
		n++
	}
}

// Guards against two homes of a data centre that run a task twice, for any order of late messages: the links of one of
// them flap, bytes arrive late, clocks of workers are slow, the successor starts at any time since the first cut, and the
// earlier home hears of it in any gap or never (review/6, 7 and 8).
func TestHomesBehindLateLinksRunNoTaskTwice(t *testing.T) {
	for seed := range *seeds * 40 {
		synctest.Test(t, func(t *testing.T) {
			f := &flapping{testCentre: newTestCentre(t, 5), draw: rand.New(rand.NewPCG(seed, 0))}
			playLateLinks(t, f)
			if t.Failed() {
				t.Logf("seed %d: the successor starts after %v, cuts %v", seed, f.takesOver, f.cuts)
			}
		})
	}
}

func playLateLinks(t *testing.T, f *flapping) {
	defer f.pending.Wait()
	f.connect = func(w model.Worker, _ func(time.Duration)) home.Endpoint {
		return lateEndpoint{f.workers[w.ID], f.links[w.ID]}
	}
	runTimes := []time.Duration{300 * time.Millisecond, 2 * time.Second, 9 * time.Second}
	for _, w := range f.workers {
		w.RunTime = func(task string) time.Duration { return runTimes[task[0]-'a'] }
		if f.draw.IntN(2) == 0 {
			w.ClockRate = 0.98
		}
	}
	f.drawCuts()
	f.takesOver = heartbeatTimeout + f.millis(0, 4000)
	f.claimed = f.cuts[0].from.Add(f.takesOver)
	f.store = f.confirmedAt
	f.setLinks()
	earlier := f.newHome(1)
	defer f.close(earlier)
	time.Sleep(200 * time.Millisecond)

	var jobs []home.Submission
	for n := range 2 * len(runTimes) {
		kind := n % len(runTimes)
		s := submission(string(rune('a'+kind))+string(rune('0'+n)), 1+f.draw.IntN(3))
		s.Batch.Steps[0].Estimate, s.TimeLeft = runTimes[kind], 25*time.Second
		jobs = append(jobs, s)
		f.pending.Go(func() { submit(earlier, s) })
		time.Sleep(f.millis(0, 300))
	}
	time.Sleep(time.Until(f.claimed))
	f.store = nil
	f.setLinks()
	later := f.newHome(2)
	defer f.close(later)
	hears := f.cuts[f.draw.IntN(len(f.cuts))].until // a gap
	for _, s := range jobs {
		s.Resumed, s.TimeLeft = true, 20*time.Second
		f.pending.Go(func() { submit(later, s) })
	}
	if hears.After(time.Now()) {
		time.Sleep(time.Until(hears))
		earlier.Close()
	}
	time.Sleep(25 * time.Second)
	if diff := cmp.Diff([]string(nil), f.ledger.Violations()); diff != "" {
		t.Errorf("violations (-want +got):\n%s", diff)
	}
}

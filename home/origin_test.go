package home_test

import (
	"errors"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"foxtailmux/fakes"
	"foxtailmux/home"
	"foxtailmux/lease"
	"foxtailmux/model"
	"foxtailmux/plan"
)

// origin is an instance that starts the tasks of its caller's jobs for a home.
type origin struct {
	place *place
	spec  string
	fail  error
	calls atomic.Int32
}

// start sends a start to its worker, with the specification that the home has not.
func (o *origin) start(w model.Worker, s lease.Start, timeout time.Duration) (lease.Reply, error) {
	o.calls.Add(1)
	if o.fail != nil {
		time.Sleep(timeout)
		return lease.Reply{}, o.fail
	}
	s.Spec = o.spec
	return o.place.workers[w.ID].Start(s, timeout)
}

func relayed(o *origin, id string, tasks int) home.Submission {
	s := submission(id, tasks)
	s.Batch.Spec, s.SpecBytes = "", len(o.spec)
	s.OriginStarter = &home.OriginStarter{Link: plan.NewLink(thinMegabits), Start: o.start}
	return s
}

func TestOriginStartsTheTasksOfAJobWhoseSpecificationItKeeps(t *testing.T) {
	withHome(t, 2, func(t *testing.T, p *place, h *home.Home) {
		o := &origin{place: p, spec: strings.Repeat("x", 3000)}
		if got := verdict(submit(h, relayed(o, "a", 4))); got != home.Succeeded {
			t.Errorf("verdict %q", got)
		}
		if n := o.calls.Load(); n != 4 {
			t.Errorf("%d starts by the origin", n)
		}
		p.check()
	})
}

// The workers are not to blame for an origin that does not answer, and its job does not
// hold their room.
func TestOriginThatDoesNotAnswerCostsOnlyItsJobs(t *testing.T) {
	withHome(t, 2, func(t *testing.T, p *place, h *home.Home) {
		lost := &origin{place: p, spec: "x", fail: &home.OriginError{Op: "start", Err: errors.New("no answer")}}
		began := time.Now()
		if got := verdict(submit(h, relayed(lost, "a", 1))); got != home.Cancelled {
			t.Errorf("verdict %q", got)
		}
		if took := time.Since(began); took > time.Second {
			t.Errorf("given up after %v", took)
		}
		time.Sleep(200 * time.Millisecond) // what the origin may have started is stopped
		began = time.Now()
		if got := verdict(submit(h, submission("b", 4))); got != home.Succeeded {
			t.Errorf("verdict %q", got)
		}
		if took := time.Since(began); took > runTime+20*time.Millisecond {
			t.Errorf("the next job took %v", took)
		}
		p.check()
	})
}

func TestJobThatItsOriginNoLongerHasIsGivenUp(t *testing.T) {
	withHome(t, 2, func(t *testing.T, p *place, h *home.Home) {
		gone := &origin{place: p, spec: "x", fail: &home.OriginError{Op: "start", JobUnknown: true, Err: errors.New("gone")}}
		if got := verdict(submit(h, relayed(gone, "a", 1))); got != home.Cancelled {
			t.Errorf("verdict %q", got)
		}
		if n := gone.calls.Load(); n != 1 {
			t.Errorf("%d starts", n)
		}
		p.check()
	})
}

// A start that the origin sends after the home gave it up must not run beside the next
// run of its task.
func TestStartThatTheOriginSendsLateRunsNothingTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlace(t, 2)
		h := p.ready(1)
		defer p.close(h)
		o := &origin{place: p, spec: "x"}
		var late atomic.Int32
		s := relayed(o, "a", 1)
		s.OriginStarter.Start = func(w model.Worker, s lease.Start, timeout time.Duration) (lease.Reply, error) {
			if late.Add(1) > 1 {
				return o.start(w, s, timeout)
			}
			go func() {
				time.Sleep(700 * time.Millisecond)
				_, _ = o.start(w, s, timeout)
			}()
			time.Sleep(timeout)
			return lease.Reply{}, fakes.ErrNoAnswer
		}
		if got := verdict(submit(h, s)); got != home.Succeeded {
			t.Errorf("verdict %q", got)
		}
		time.Sleep(2 * time.Second)
		if n := p.ledger.Starts("a.0.0.0"); n != 1 {
			t.Errorf("the task ran %d times", n)
		}
		p.check()
	})
}

// The same job comes again from another instance, since its first one died.
func TestJobIsStartedByTheInstanceThatItCameFromLast(t *testing.T) {
	withHome(t, 2, func(t *testing.T, p *place, h *home.Home) {
		dead := &origin{place: p, spec: "x", fail: &home.OriginError{Op: "start", Err: errors.New("no answer")}}
		alive := &origin{place: p, spec: "x"}
		first := make(chan home.Result, 1)
		go func() { first <- submit(h, relayed(dead, "a", 1)).Result }()
		time.Sleep(time.Millisecond)
		if got := verdict(submit(h, relayed(alive, "a", 1))); got != home.Succeeded {
			t.Errorf("verdict %q", got)
		}
		if got := <-first; got != home.Succeeded {
			t.Errorf("verdict of the first %q", got)
		}
		p.check()
	})
}

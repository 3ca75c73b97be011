package proof

import (
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"foxtailmux/fakes"
	"foxtailmux/model"
)

// TestWorkerFailsUnderTraffic lets a worker fail in each way while callers
// submit jobs. Answers are whole or failed, nothing starts twice, and once the
// fault was noticed the other workers complete every job.
func TestWorkerFailsUnderTraffic(t *testing.T) {
	const tasks = 3
	for name, c := range map[string]struct {
		fail    func(t *testing.T, w *fakes.Worker)
		settles bool // jobs are complete again while the fault lasts
	}{
		"dies": {fail: func(_ *testing.T, w *fakes.Worker) { w.Close() }, settles: true},
		"refuses connections": {
			fail: func(t *testing.T, w *fakes.Worker) {
				setFaults(t, w, fakes.WorkerFaults{RejectConnections: true})
			}, settles: true,
		},
		"dies right before the start": {
			fail: func(t *testing.T, w *fakes.Worker) {
				setFaults(t, w, fakes.WorkerFaults{CloseBeforeStart: true})
			},
		},
		"dies after the start": {
			fail: func(t *testing.T, w *fakes.Worker) {
				setFaults(t, w, fakes.WorkerFaults{CloseAfterRead: true})
			},
		},
		"fails everything": {
			fail: func(t *testing.T, w *fakes.Worker) {
				setFaults(t, w, fakes.WorkerFaults{FailEverything: true})
			},
		},
		"straggles": {
			fail: func(t *testing.T, w *fakes.Worker) {
				setFaults(t, w, fakes.WorkerFaults{SlowFactor: 15})
			}, settles: true,
		},
		"falls silent on kept connections": {
			fail: func(t *testing.T, w *fakes.Worker) {
				setFaults(t, w, fakes.WorkerFaults{BlackHole: true})
			}, settles: true,
		},
	} {
		t.Run(name, func(t *testing.T) {
			cl := startCell(t, 2, 10)
			s := startStorm(startBalancer(t, cl.entries...), 10, tasks, 20*time.Millisecond, nil)
			s.waitComplete(t, 100)

			struck := time.Now()
			c.fail(t, cl.fleet.Workers[0])
			waitFor(t, "the fault lasts", func() bool { return time.Since(struck) > 5*time.Second })
			s.waitComplete(t, 100)
			list := s.stop()

			sum := summarise(list, struck, time.Now())
			t.Logf("%+v", sum)
			checkStorm(t, list, tasks, cl.fleet)
			if diff := cmp.Diff(0, sum.unanswered); diff != "" {
				t.Errorf("jobs without an answer (-want +got):\n%s", diff)
			}
			if c.settles && notComplete(list, struck.Add(stormDeadline), time.Now()) > 0 {
				t.Errorf("jobs fail while the fault lasts: %+v", summarise(list, struck.Add(stormDeadline), time.Now()))
			}
			if sum.failed > sum.jobs/10 {
				t.Errorf("%d of %d jobs failed by one worker of ten", sum.failed, sum.jobs)
			}
		})
	}
}

func TestManyCallersAtOnceGetTheirOwnAnswers(t *testing.T) {
	const callers, tasks = 1000, 3
	c := startCell(t, 3, 10)
	setFaults(t, c.fleet.Workers[0], fakes.WorkerFaults{SlowFactor: 8})

	var group sync.WaitGroup
	from := newCaller(c.addrs...)
	list := make([]submission, callers)
	for i := range callers {
		group.Go(func() {
			id := nonce("own", i)
			sub := submission{id: id, sentAt: time.Now()}
			// Later callers have shorter tasks, so that answers overtake.
			sub.answer, sub.err = from.submit(quote(id, tasks, time.Duration(callers-i)/20*time.Millisecond))
			sub.endedAt = time.Now()
			list[i] = sub
		})
	}
	group.Wait()

	sum := summarise(list, time.Time{}, time.Now())
	t.Logf("%d complete of %+v", sum.jobs-sum.failed-sum.unanswered, sum)
	if sum.unanswered > 0 || sum.failed == callers {
		t.Errorf("%+v", sum)
	}
	starts := c.starts(t)
	for _, sub := range list {
		switch {
		case sub.complete():
			checkWhole(t, sub.id, tasks, sub.answer)
		case sub.err == nil:
			checkFailed(t, sub)
		}
		for i := range tasks {
			n := starts[nonce(sub.id, i)]
			if n > 1 || n > 0 && sub.answer.Ran == model.RanNo {
				t.Errorf("task %s started %d times: %+v", nonce(sub.id, i), n, sub.answer)
			}
		}
	}
}

// swallower passes bytes on between a dialler and a target until it is told
// to lose track of the connections that it has.
type swallower struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	pairs []*pair
}

// pair is the two ends of one connection.
type pair struct {
	silent  atomic.Bool
	in, out net.Conn
}

func startSwallower(t *testing.T, target string) *swallower {
	t.Helper()

	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &swallower{listener: l, target: target}
	go s.accept()
	t.Cleanup(s.close)
	return s
}

func (s *swallower) accept() {
	for {
		in, err := s.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", s.target)
		if err != nil {
			_ = in.Close()
			continue
		}

		p := &pair{in: in, out: out}
		s.mu.Lock()
		s.pairs = append(s.pairs, p)
		s.mu.Unlock()
		go p.pump(in, out)
		go p.pump(out, in)
	}
}

func (p *pair) pump(from, to net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if p.silent.Load() {
			if err != nil {
				return
			}
			continue
		}
		if _, failure := to.Write(buf[:n]); failure != nil || err != nil {
			_ = from.Close()
			_ = to.Close()
			return
		}
	}
}

// silence makes all present connections silent for good; new ones work.
func (s *swallower) silence() int {
	s.mu.Lock()
	defer s.mu.Unlock()

	for _, p := range s.pairs {
		p.silent.Store(true)
	}
	return len(s.pairs)
}

func (s *swallower) close() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.pairs {
		_ = p.in.Close()
		_ = p.out.Close()
	}
}

// TestSilentConnectionsToWorkersCostLittle silences every connection
// to the workers at both ends while they are busy.
func TestSilentConnectionsToWorkersCostLittle(t *testing.T) {
	const tasks = 3
	c := startSilencedCell(t)
	s := startStorm(startBalancer(t, c.entries...), 10, tasks, 20*time.Millisecond, nil)
	s.waitComplete(t, 100)

	struck := time.Now()
	cut := 0
	for _, w := range c.between {
		cut += w.silence()
	}
	waitFor(t, "the silence lasts", func() bool { return time.Since(struck) > 5*time.Second })
	s.waitComplete(t, 100)
	list := s.stop()

	sum := summarise(list, struck, time.Now())
	t.Logf("%d connections silenced: %+v", cut, sum)
	checkStorm(t, list, tasks, c.fleet)
	if notComplete(list, struck.Add(stormDeadline), time.Now()) > 0 {
		t.Errorf("new connections work but jobs fail: %+v", sum)
	}
}

func TestIdleSilentConnectionsToWorkersCostNoJob(t *testing.T) {
	c := startSilencedCell(t)
	for i := range 10 {
		a, err := newCaller(c.addrs...).submit(quote(nonce("warm", i), 30, 50*time.Millisecond))
		if err != nil {
			t.Fatal(err)
		}
		checkWhole(t, nonce("warm", i), 30, a)
	}

	for _, w := range c.between {
		w.silence()
	}
	idleSince := time.Now()
	waitFor(t, "the connections are idle for a while", func() bool { return time.Since(idleSince) > 300*time.Millisecond })

	failed := 0
	for i := range 10 {
		job := quote(nonce("after", i), 4, 10*time.Millisecond)
		job.DeadlineMillis = stormDeadline.Milliseconds()
		a, err := newCaller(c.addrs...).submit(job)
		if err != nil {
			t.Fatal(err)
		}
		if a.Result != model.Complete {
			failed++
		}
	}
	t.Logf("%d of 10 jobs failed", failed)
	if failed > 0 {
		t.Errorf("%d of 10 jobs failed on connections that were silent before", failed)
	}
}

// silencedCell is a cell whose workers are reached through swallowers.
type silencedCell struct {
	*cell
	between []*swallower
}

func startSilencedCell(t *testing.T) *silencedCell {
	t.Helper()

	platform, err := fakes.StartPlatform(fakes.PlatformOptions{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(platform.Close)
	applyExample(t, platform.Addr())

	c := &silencedCell{cell: newCell(t, platform, "kochi", 6)}
	for _, w := range c.fleet.Workers {
		s := startSwallower(t, w.Addr())
		c.between = append(c.between, s)
		info := w.Describe()
		info.Addr = s.listener.Addr().String()
		platform.PutWorker(info)
	}
	for i := range 2 {
		c.add(t, i)
	}
	waitServing(t, slices.Clone(c.entries)...)
	return c
}

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

// Guards against one faulty worker of ten that makes too many jobs fail, leaves
// jobs without an answer or makes tasks start twice. For the faults that instances
// can detect, the other workers must soon complete every job.
func TestWorkerFailsUnderTraffic(t *testing.T) {
	const tasks = 3
	for name, c := range map[string]struct {
		fail     func(t *testing.T, w *fakes.Worker)
		detected bool // all jobs complete again while the fault lasts
	}{
		"dies": {fail: func(_ *testing.T, w *fakes.Worker) { w.Close() }, detected: true},
		"refuses connections": {
			fail: func(t *testing.T, w *fakes.Worker) {
				setFaults(t, w, fakes.WorkerFaults{RejectConnections: true})
			}, detected: true,
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
		"is slow": {
			fail: func(t *testing.T, w *fakes.Worker) {
				setFaults(t, w, fakes.WorkerFaults{SlowFactor: 15})
			}, detected: true,
		},
		"turns its connections into black holes": {
			fail: func(t *testing.T, w *fakes.Worker) {
				setFaults(t, w, fakes.WorkerFaults{BlackHole: true})
			}, detected: true,
		},
	} {
		t.Run(name, func(t *testing.T) {
			cl := startCentre(t, 2, 10)
			s := startRecordedTraffic(startBalancer(t, cl.entries...), 10, tasks, 20*time.Millisecond, nil)
			s.waitComplete(t, 100)

			faultAt := time.Now()
			c.fail(t, cl.fleet.Workers[0])
			waitFor(t, "the fault lasts", func() bool { return time.Since(faultAt) > 5*time.Second })
			s.waitComplete(t, 100)
			list := s.stop()

			sum := summarise(list, faultAt, time.Now())
			t.Logf("%+v", sum)
			checkSubmissions(t, list, tasks, cl.fleet)
			if diff := cmp.Diff(0, sum.unanswered); diff != "" {
				t.Errorf("jobs without an answer (-want +got):\n%s", diff)
			}
			if c.detected && countIncomplete(list, faultAt.Add(trafficDeadline), time.Now()) > 0 {
				t.Errorf("jobs still fail after the fault should be detected: %+v", summarise(list, faultAt.Add(trafficDeadline), time.Now()))
			}
			if sum.failed > sum.jobs/10 {
				t.Errorf("%d of %d jobs failed because of one worker of ten", sum.failed, sum.jobs)
			}
		})
	}
}

func TestManyCallersAtOnceGetTheirOwnAnswers(t *testing.T) {
	const callers, tasks = 1000, 3
	c := startCentre(t, 3, 10)
	setFaults(t, c.fleet.Workers[0], fakes.WorkerFaults{SlowFactor: 8})

	var group sync.WaitGroup
	from := newCaller(c.addrs...)
	list := make([]submission, callers)
	for i := range callers {
		group.Go(func() {
			id := nonce("own", i)
			sub := submission{id: id, lastSentAt: time.Now()}
			// Tasks of later callers are shorter, so that their answers overtake
			// those of earlier callers.
			sub.answer, sub.err = from.submit(newJob(id, tasks, time.Duration(callers-i)/20*time.Millisecond))
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
			checkComplete(t, sub.id, tasks, sub.answer)
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

// blackHoleProxy forwards TCP connections to a target. It can turn the established
// ones into black holes, which drop all bytes without an error.
type blackHoleProxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	pairs []*connPair
}

// connPair is a client's connection and the one to the target that it is forwarded
// over.
type connPair struct {
	blackHole atomic.Bool
	in, out   net.Conn
}

func startBlackHoleProxy(t *testing.T, target string) *blackHoleProxy {
	t.Helper()

	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	bp := &blackHoleProxy{listener: l, target: target}
	go bp.accept()
	t.Cleanup(bp.close)
	return bp
}

func (bp *blackHoleProxy) accept() {
	for {
		in, err := bp.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", bp.target)
		if err != nil {
			_ = in.Close()
			continue
		}

		p := &connPair{in: in, out: out}
		bp.mu.Lock()
		bp.pairs = append(bp.pairs, p)
		bp.mu.Unlock()
		go p.forward(in, out)
		go p.forward(out, in)
	}
}

func (p *connPair) forward(from, to net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if p.blackHole.Load() {
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

// blackHole turns all established connections into black holes for good and returns
// their number. New connections work.
func (bp *blackHoleProxy) blackHole() int {
	bp.mu.Lock()
	defer bp.mu.Unlock()

	for _, p := range bp.pairs {
		p.blackHole.Store(true)
	}
	return len(bp.pairs)
}

func (bp *blackHoleProxy) close() {
	_ = bp.listener.Close()
	bp.mu.Lock()
	defer bp.mu.Unlock()
	for _, p := range bp.pairs {
		_ = p.in.Close()
		_ = p.out.Close()
	}
}

// Guards against jobs that keep failing after every connection to the workers has
// become a black hole while tasks run, although new connections work.
func TestBlackHoleConnectionsToWorkersFailFewJobs(t *testing.T) {
	const tasks = 3
	c := startProxiedCentre(t)
	s := startRecordedTraffic(startBalancer(t, c.entries...), 10, tasks, 20*time.Millisecond, nil)
	s.waitComplete(t, 100)

	faultAt := time.Now()
	affected := 0
	for _, w := range c.proxies {
		affected += w.blackHole()
	}
	waitFor(t, "the black holes last", func() bool { return time.Since(faultAt) > 5*time.Second })
	s.waitComplete(t, 100)
	list := s.stop()

	sum := summarise(list, faultAt, time.Now())
	t.Logf("%d connections became black holes: %+v", affected, sum)
	checkSubmissions(t, list, tasks, c.fleet)
	if countIncomplete(list, faultAt.Add(trafficDeadline), time.Now()) > 0 {
		t.Errorf("new connections work but jobs fail: %+v", sum)
	}
}

// Guards against start requests over idle connections that have become black holes.
func TestIdleBlackHoleConnectionsToWorkersFailNoJob(t *testing.T) {
	c := startProxiedCentre(t)
	for i := range 10 {
		a, err := newCaller(c.addrs...).submit(newJob(nonce("warm", i), 30, 50*time.Millisecond))
		if err != nil {
			t.Fatal(err)
		}
		checkComplete(t, nonce("warm", i), 30, a)
	}

	for _, w := range c.proxies {
		w.blackHole()
	}
	idleSince := time.Now()
	waitFor(t, "the connections are idle for a while", func() bool { return time.Since(idleSince) > 300*time.Millisecond })

	failed := 0
	for i := range 10 {
		job := newJob(nonce("after", i), 4, 10*time.Millisecond)
		job.DeadlineMillis = trafficDeadline.Milliseconds()
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
		t.Errorf("%d of 10 jobs failed after idle connections became black holes", failed)
	}
}

// proxiedCentre is a data centre whose workers are reached through proxies.
type proxiedCentre struct {
	*testCentre
	proxies []*blackHoleProxy
}

func startProxiedCentre(t *testing.T) *proxiedCentre {
	t.Helper()

	platform, err := fakes.StartPlatform(fakes.PlatformOptions{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(platform.Close)
	applyExample(t, platform.Addr())

	c := &proxiedCentre{testCentre: newCentre(t, platform, "kochi", 6)}
	for _, w := range c.fleet.Workers {
		s := startBlackHoleProxy(t, w.Addr())
		c.proxies = append(c.proxies, s)
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

package proof

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"foxtailmux/fakes"
	"foxtailmux/model"
)

const (
	chaosEntries   = 4
	chaosWorkers   = 8
	chaosCallers   = 16
	chaosDeadline  = 800 * time.Millisecond
	chaosTimeout   = 4 * time.Second // of a caller's request
	chaosPause     = 2 * time.Second // longer than the deadline of a job
	chaosInterval  = 200 * time.Millisecond
	chaosTime      = 10 * time.Second
	maxChaosFaults = 3 // active at the same time
)

// chaosDuration returns how long faults are injected: the duration in CHAOS_TIME,
// or chaosTime if it is not set.
func chaosDuration(t *testing.T) time.Duration {
	t.Helper()

	text := os.Getenv("CHAOS_TIME")
	if text == "" {
		return chaosTime
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// recorder runs callers and records each submission with its answer.
type recorder struct {
	caller  *caller
	stopped atomic.Bool
	callers sync.WaitGroup

	mu      sync.Mutex
	addrs   []string
	history []historyRecord
}

// setAddrs replaces the addresses of the instances.
func (r *recorder) setAddrs(addrs []string) {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.addrs = slices.Clone(addrs)
}

func (r *recorder) randomAddr(random *rand.Rand) string {
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.addrs[random.IntN(len(r.addrs))]
}

// runClient submits jobs until the recorder is stopped: plain jobs once, jobs with
// an idempotency key or a ticket up to three times.
func (r *recorder) runClient(client int, seed uint64) {
	random := rand.New(rand.NewPCG(seed, uint64(client)))
	for n := 0; !r.stopped.Load(); n++ {
		id := fmt.Sprintf("c%d-%d", client, n)
		tasks := 1 + random.IntN(4)
		job := newJob(id, tasks, time.Duration(5+random.IntN(100))*time.Millisecond)
		job.DeadlineMillis = chaosDeadline.Milliseconds()
		submissions := 1 + random.IntN(3)
		switch random.IntN(3) {
		case 0:
			submissions = 1
		case 1:
			job.IdempotencyKey = id
		default:
			var batch model.TicketBatch
			if r.caller.postTo(r.randomAddr(random), "/v1/tickets", map[string]int{"count": 1}, &batch) != nil || len(batch.Tickets) != 1 {
				continue
			}
			job.Ticket = batch.Tickets[0]
		}
		r.submitAll(client, id, job, submissions, random)
	}
}

// submitAll submits a job several times through random instances. The later
// submissions arrive before, during or after the job's run.
func (r *recorder) submitAll(client int, id string, job model.Job, submissions int, random *rand.Rand) {
	var all sync.WaitGroup
	for k := range submissions {
		addr := r.randomAddr(random)
		all.Go(func() { r.submit(client*10+k, id, addr, job) })
		time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
	}
	all.Wait()
}

func (r *recorder) submit(client int, id, addr string, job model.Job) {
	var a model.Answer
	call := time.Now().UnixMicro()
	err := r.caller.postTo(addr, "/v1/jobs", job, &a)
	record := historyRecord{Job: id, Client: client, CallMicros: call, ReturnMicros: time.Now().UnixMicro(), Tasks: len(job.Tasks)}
	if err == nil && a.Result != "" {
		record.Answer = &a
	}

	r.mu.Lock()
	defer r.mu.Unlock()
	r.history = append(r.history, record)
}

// startRecords returns the start events of all workers as records.
func startRecords(t *testing.T, c *testCentre) []historyRecord {
	t.Helper()

	var records []historyRecord
	for _, w := range c.fleet.Workers {
		page := w.Events()
		if page.Dropped > 0 {
			t.Fatalf("%d events were dropped", page.Dropped)
		}
		for _, e := range page.Events {
			job, task, ok := strings.Cut(e.Nonce, "/")
			i, err := strconv.Atoi(task)
			if e.Event != fakes.EventStart || !ok || err != nil {
				continue
			}
			micros := e.AtMillis * 1000
			records = append(records, historyRecord{Job: job, Client: -1, CallMicros: micros, ReturnMicros: micros + 999, Start: true, Task: i})
		}
	}
	return records
}

// faultInjector injects faults into a data centre, several at the same time.
type faultInjector struct {
	t        *testing.T
	centre   *testCentre
	recorder *recorder
	random   *rand.Rand
	paused   map[int]bool
	faulty   map[int]bool // workers
	active   []activeFault
	counts   map[string]int
}

// activeFault is a fault that is to be ended at a given time.
type activeFault struct {
	ends time.Time
	end  func()
}

// run injects faults for the duration and then ends those that are active.
func (fi *faultInjector) run(d time.Duration) {
	for limit := time.Now().Add(d); time.Now().Before(limit); time.Sleep(chaosInterval) {
		fi.endFaults(time.Now())
		if len(fi.active) < maxChaosFaults {
			fi.inject()
		}
	}
	for _, f := range fi.active {
		f.end()
	}
	fi.active = nil
}

func (fi *faultInjector) endFaults(now time.Time) {
	fi.active = slices.DeleteFunc(fi.active, func(f activeFault) bool {
		if now.Before(f.ends) {
			return false
		}
		f.end()
		return true
	})
}

// endAfter registers the end of a fault.
func (fi *faultInjector) endAfter(d time.Duration, end func()) {
	fi.active = append(fi.active, activeFault{time.Now().Add(d), end})
}

func (fi *faultInjector) inject() {
	actions := map[string]func(){
		"kill":   fi.kill,
		"freeze": fi.pause,
		"down":   func() { fi.platform(fakes.PlatformFaults{Down: true}) },
		"slow":   func() { fi.platform(fakes.PlatformFaults{SlowMillis: 300}) },
		"lose":   func() { fi.platform(fakes.PlatformFaults{LoseResponses: 0.5}) },
		"list":   func() { fi.platform(fakes.PlatformFaults{ListDown: true}) },
		"close":  func() { fi.worker(fakes.WorkerFaults{CloseAfterRead: true}) },
		"silent": func() { fi.worker(fakes.WorkerFaults{BlackHole: true}) },
		"refuse": func() { fi.worker(fakes.WorkerFaults{RejectConnections: true}) },
	}
	names := slices.Sorted(maps.Keys(actions))
	name := names[fi.random.IntN(len(names))]
	fi.counts[name]++
	actions[name]()
}

func (fi *faultInjector) kill() {
	i := fi.random.IntN(chaosEntries)
	if fi.paused[i] {
		return
	}
	fi.centre.entries[i].kill()
	fi.centre.replace(fi.t, i)
	fi.recorder.setAddrs(fi.centre.addrs)
}

func (fi *faultInjector) pause() {
	i := fi.random.IntN(chaosEntries)
	if fi.paused[i] {
		return
	}
	fi.paused[i] = true
	fi.centre.entries[i].pause()
	fi.endAfter(chaosPause, func() {
		fi.centre.entries[i].send(syscall.SIGCONT)
		delete(fi.paused, i)
	})
}

func (fi *faultInjector) platform(faults fakes.PlatformFaults) {
	fi.centre.platform.SetFaults(faults)
	fi.endAfter(time.Second, func() { fi.centre.platform.SetFaults(fakes.PlatformFaults{}) })
}

func (fi *faultInjector) worker(faults fakes.WorkerFaults) {
	i := fi.random.IntN(chaosWorkers)
	if fi.faulty[i] {
		return
	}
	fi.faulty[i] = true
	w := fi.centre.fleet.Workers[i]
	if err := w.SetFaults(faults); err != nil {
		fi.t.Fatal(err)
	}
	fi.endAfter(time.Second, func() {
		if err := w.SetFaults(fakes.WorkerFaults{}); err != nil {
			fi.t.Fatal(err)
		}
		delete(fi.faulty, i)
	})
}

func TestInvariantsHoldUnderKillsPausesAndStoreFaults(t *testing.T) {
	seed := seedOf(t)
	c := startCentre(t, chaosEntries, chaosWorkers)
	r := &recorder{caller: newCaller()}
	r.caller.http.Timeout = chaosTimeout
	r.setAddrs(c.addrs)
	for client := range chaosCallers {
		r.callers.Go(func() { r.runClient(client, seed) })
	}

	injector := &faultInjector{
		t: t, centre: c, recorder: r, random: rand.New(rand.NewPCG(seed, 1<<32)),
		paused: map[int]bool{}, faulty: map[int]bool{}, counts: map[string]int{},
	}
	injector.run(chaosDuration(t))
	r.stopped.Store(true)
	r.callers.Wait()
	waitIdle(t, c)

	history := slices.Concat(r.history, startRecords(t, c))
	counts := countAnswers(r.history)
	t.Logf("faults %v, answers %v", injector.counts, counts)
	if counts["complete"] < 100 {
		t.Errorf("%d complete answers, want at least 100", counts["complete"])
	}
	checkHistory(t, history)
}

// waitIdle waits until the workers have been idle for twice the deadline of a job,
// so that no task can be started any more.
func waitIdle(t *testing.T, c *testCentre) {
	t.Helper()

	var last time.Time
	waitFor(t, "the workers are idle", func() bool {
		for _, w := range c.fleet.Workers {
			if w.Status().BusySlots > 0 || last.IsZero() {
				last = time.Now()
			}
		}
		return time.Since(last) > 2*chaosDeadline
	})
}

func countAnswers(history []historyRecord) map[string]int {
	counts := map[string]int{}
	for _, r := range history {
		switch {
		case r.Answer == nil:
			counts["none"]++
		case r.Answer.Result == model.Complete:
			counts["complete"]++
		default:
			counts[string(r.Answer.Ran)+" "+string(r.Answer.Error.Kind)]++
		}
	}
	return counts
}

// checkHistory fails the test for each violated invariant. If CHAOS_HISTORY names a
// folder, it writes the records of up to three jobs that violate the invariant to
// a file for each violated invariant, or those of the first three records' jobs to
// kept.jsonl if none is violated.
func checkHistory(t *testing.T, history []historyRecord) {
	t.Helper()

	violated := violatedInvariants(history)
	if diff := cmp.Diff(map[invariant][]string{}, violated); diff != "" {
		t.Errorf("jobs that violate invariants (-want +got):\n%s", diff)
	}
	dir := os.Getenv("CHAOS_HISTORY")
	if dir == "" {
		return
	}
	if len(violated) == 0 {
		violated = map[invariant][]string{"kept": {history[0].Job, history[1].Job, history[2].Job}}
	}
	for p, jobs := range violated {
		some := slices.DeleteFunc(slices.Clone(history), func(r historyRecord) bool {
			return !slices.Contains(jobs[:min(3, len(jobs))], r.Job)
		})
		if err := writeHistory(filepath.Join(dir, string(p)+".jsonl"), some); err != nil {
			t.Error(err)
		}
	}
}

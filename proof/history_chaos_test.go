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
	chaosEntries  = 4
	chaosWorkers  = 8
	chaosCallers  = 16
	chaosDeadline = 800 * time.Millisecond
	chaosTimeout  = 4 * time.Second // of a caller
	chaosFreeze   = 2 * time.Second // longer than every deadline
	chaosStep     = 200 * time.Millisecond
	chaosTime     = 10 * time.Second
	chaosFaults   = 3 // at a time
)

// chaosDuration returns how long faults are injected: CHAOS_TIME, a
// duration, or chaosTime.
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

// recorder runs callers and records their submissions.
type recorder struct {
	caller  *caller
	stopped atomic.Bool
	callers sync.WaitGroup

	mu      sync.Mutex
	addrs   []string
	history []historyRecord
}

func (r *recorder) setAddrs(addrs []string) {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.addrs = slices.Clone(addrs)
}

func (r *recorder) addr(random *rand.Rand) string {
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.addrs[random.IntN(len(r.addrs))]
}

func (r *recorder) call(client int, seed uint64) {
	random := rand.New(rand.NewPCG(seed, uint64(client)))
	for n := 0; !r.stopped.Load(); n++ {
		id := fmt.Sprintf("c%d-%d", client, n)
		tasks := 1 + random.IntN(4)
		job := quote(id, tasks, time.Duration(5+random.IntN(100))*time.Millisecond)
		job.DeadlineMillis = chaosDeadline.Milliseconds()
		submissions := 1 + random.IntN(3)
		switch random.IntN(3) {
		case 0:
			submissions = 1
		case 1:
			job.IdempotencyKey = id
		default:
			var batch model.TicketBatch
			if r.caller.postTo(r.addr(random), "/v1/tickets", map[string]int{"count": 1}, &batch) != nil || len(batch.Tickets) != 1 {
				continue
			}
			job.Ticket = batch.Tickets[0]
		}
		r.submitAll(client, id, job, submissions, random)
	}
}

// submitAll submits a job several times through random instances; a later
// submission comes before, during or after the run.
func (r *recorder) submitAll(client int, id string, job model.Job, submissions int, random *rand.Rand) {
	var all sync.WaitGroup
	for k := range submissions {
		addr := r.addr(random)
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

// startRecords returns the start events of a cell as records.
func startRecords(t *testing.T, c *cell) []historyRecord {
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

// nemesis injects faults into a cell, several at a time.
type nemesis struct {
	t        *testing.T
	cell     *cell
	recorder *recorder
	random   *rand.Rand
	frozen   map[int]bool
	faulty   map[int]bool // workers
	active   []activeFault
	counts   map[string]int
}

// activeFault is a fault that ends.
type activeFault struct {
	ends time.Time
	end  func()
}

func (n *nemesis) run(d time.Duration) {
	for limit := time.Now().Add(d); time.Now().Before(limit); time.Sleep(chaosStep) {
		n.endFaults(time.Now())
		if len(n.active) < chaosFaults {
			n.inject()
		}
	}
	for _, f := range n.active {
		f.end()
	}
	n.active = nil
}

func (n *nemesis) endFaults(now time.Time) {
	n.active = slices.DeleteFunc(n.active, func(f activeFault) bool {
		if now.Before(f.ends) {
			return false
		}
		f.end()
		return true
	})
}

func (n *nemesis) lasts(d time.Duration, end func()) {
	n.active = append(n.active, activeFault{time.Now().Add(d), end})
}

func (n *nemesis) inject() {
	actions := map[string]func(){
		"kill":   n.kill,
		"freeze": n.freeze,
		"down":   func() { n.platform(fakes.PlatformFaults{Down: true}) },
		"slow":   func() { n.platform(fakes.PlatformFaults{SlowMillis: 300}) },
		"lose":   func() { n.platform(fakes.PlatformFaults{LoseResponses: 0.5}) },
		"list":   func() { n.platform(fakes.PlatformFaults{ListDown: true}) },
		"close":  func() { n.worker(fakes.WorkerFaults{CloseAfterRead: true}) },
		"silent": func() { n.worker(fakes.WorkerFaults{BlackHole: true}) },
		"refuse": func() { n.worker(fakes.WorkerFaults{RejectConnections: true}) },
	}
	names := slices.Sorted(maps.Keys(actions))
	name := names[n.random.IntN(len(names))]
	n.counts[name]++
	actions[name]()
}

func (n *nemesis) kill() {
	i := n.random.IntN(chaosEntries)
	if n.frozen[i] {
		return
	}
	n.cell.entries[i].kill()
	n.cell.replace(n.t, i)
	n.recorder.setAddrs(n.cell.addrs)
}

func (n *nemesis) freeze() {
	i := n.random.IntN(chaosEntries)
	if n.frozen[i] {
		return
	}
	n.frozen[i] = true
	n.cell.entries[i].send(syscall.SIGSTOP)
	n.lasts(chaosFreeze, func() {
		n.cell.entries[i].send(syscall.SIGCONT)
		delete(n.frozen, i)
	})
}

func (n *nemesis) platform(faults fakes.PlatformFaults) {
	n.cell.platform.SetFaults(faults)
	n.lasts(time.Second, func() { n.cell.platform.SetFaults(fakes.PlatformFaults{}) })
}

func (n *nemesis) worker(faults fakes.WorkerFaults) {
	i := n.random.IntN(chaosWorkers)
	if n.faulty[i] {
		return
	}
	n.faulty[i] = true
	w := n.cell.fleet.Workers[i]
	if err := w.SetFaults(faults); err != nil {
		n.t.Fatal(err)
	}
	n.lasts(time.Second, func() {
		if err := w.SetFaults(fakes.WorkerFaults{}); err != nil {
			n.t.Fatal(err)
		}
		delete(n.faulty, i)
	})
}

func TestPromisesHoldUnderKillsFreezesAndStoreFaults(t *testing.T) {
	seed := seedOf(t)
	c := startCell(t, chaosEntries, chaosWorkers)
	r := &recorder{caller: newCaller()}
	r.caller.http.Timeout = chaosTimeout
	r.setAddrs(c.addrs)
	for client := range chaosCallers {
		r.callers.Go(func() { r.call(client, seed) })
	}

	n := &nemesis{
		t: t, cell: c, recorder: r, random: rand.New(rand.NewPCG(seed, 1<<32)),
		frozen: map[int]bool{}, faulty: map[int]bool{}, counts: map[string]int{},
	}
	n.run(chaosDuration(t))
	r.stopped.Store(true)
	r.callers.Wait()
	waitIdle(t, c)

	history := slices.Concat(r.history, startRecords(t, c))
	counts := countAnswers(r.history)
	t.Logf("faults %v, answers %v", n.counts, counts)
	if counts["complete"] < 100 {
		t.Errorf("%d complete answers, want 100 or more", counts["complete"])
	}
	checkHistory(t, history)
}

// waitIdle waits until no worker runs a task and none could still be started.
func waitIdle(t *testing.T, c *cell) {
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

// checkHistory fails the test for each broken promise. It writes the records of
// a few jobs that break one, or of a few jobs if none does, to the folder
// CHAOS_HISTORY.
func checkHistory(t *testing.T, history []historyRecord) {
	t.Helper()

	broken := brokenPromises(history)
	if diff := cmp.Diff(map[promise][]string{}, broken); diff != "" {
		t.Errorf("jobs that break promises (-want +got):\n%s", diff)
	}
	dir := os.Getenv("CHAOS_HISTORY")
	if dir == "" {
		return
	}
	if len(broken) == 0 {
		broken = map[promise][]string{"kept": {history[0].Job, history[1].Job, history[2].Job}}
	}
	for p, jobs := range broken {
		some := slices.DeleteFunc(slices.Clone(history), func(r historyRecord) bool {
			return !slices.Contains(jobs[:min(3, len(jobs))], r.Job)
		})
		if err := writeHistory(filepath.Join(dir, string(p)+".jsonl"), some); err != nil {
			t.Error(err)
		}
	}
}

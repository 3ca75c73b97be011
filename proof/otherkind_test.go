package proof

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"foxtailmux/fakes"
	"foxtailmux/model"
	"foxtailmux/platform/stand"
)

// Labels of the two kinds of workers. The id of a job that needs one ends with it.
var kinds = []string{"a", "b"}

// kindMilliCores is what a task of a job for a kind needs: a worker holds 64 of them.
const kindMilliCores = 1000

// kindWorker is a worker that keeps its id and its address over restarts, and may come back as another kind.
type kindWorker struct {
	soak       *soak
	id         string
	dataCentre string
	addr       string
	misplaced  func(text string)

	kind   string
	server *http.Server
	leased *fakes.LeasedWorker
	row    *time.Timer // writes the row of the present incarnation
}

// boot starts an incarnation of a kind, and writes its row after a delay.
func (w *kindWorker) boot(kind string, rowDelay time.Duration) {
	l, err := net.Listen("tcp", w.addr)
	if err != nil {
		w.soak.t.Error(err)
		return
	}
	w.addr, w.kind = l.Addr().String(), kind
	w.leased = fakes.NewLeasedWorker(w.id, model.Resources{MilliCores: 64_000, MemoryMB: 1 << 10}, w.soak.ledger)
	w.leased.Needs = w.soak.needs
	w.leased.SetRunTime(func(task string) time.Duration {
		if job, _, _ := strings.Cut(task, "."); !strings.HasSuffix(job, kind) {
			w.misplaced(fmt.Sprintf("%s began on %s of the kind %s at %s", task, w.id, kind, time.Now().UTC().Format(logTime)))
		}
		return w.soak.runTime(task)
	})
	w.server = &http.Server{Handler: stand.Worker{Leased: w.leased}}
	go func(s *http.Server) { _ = s.Serve(l) }(w.server)

	w.soak.mu.Lock()
	w.soak.targets[w.addr] = w.id
	w.soak.mu.Unlock()
	key, row := stand.WorkerRow(w.id, w.addr, w.dataCentre, kind, 64_000, w.leased.Incarnation())
	w.row = time.AfterFunc(rowDelay, func() { w.soak.store.Put(key, row) })
}

// crash ends the incarnation with its connections.
func (w *kindWorker) crash() {
	w.row.Stop()
	_ = w.server.Close()
	w.leased.Crash()
}

// Guards against starts on a worker that has restarted as another kind, which no job sends there (ROUTE; review/12,
// review/14), by the home and by the origins, while responses are late and connections are closed early. Seeds from
// firstLowBandwidthSeed on have origins send the starts.
func TestRestartedWorkersOfOtherKindsGetNoOtherStart(t *testing.T) {
	seeds, lasts := soakRange(t, []uint64{1, 401})
	for _, seed := range seeds {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) { playOtherKinds(t, seed, lasts) })
	}
}

// kindSoak is a soak whose workers restart as other kinds.
type kindSoak struct {
	*soak
	workers []*kindWorker
	quiet   atomic.Bool // the callers pause

	placements sync.Mutex
	misplaced  []string
}

func newKindSoak(t *testing.T, seed uint64) *kindSoak {
	const workers = 3
	s := &kindSoak{soak: newEmptySoak(t, seed)}
	s.needs = func(string) model.Resources { return model.Resources{MilliCores: kindMilliCores} }
	if seed >= firstLowBandwidthSeed {
		s.linkMbits, s.spec = 2, strings.Repeat("s", lowBandwidthSpecBytes)
	}
	for n := range workers {
		w := &kindWorker{soak: s.soak, id: fmt.Sprintf("w%d", n), dataCentre: "kochi", addr: "127.0.0.1:0", misplaced: s.recordMisplaced}
		w.boot(kinds[n%2], 0)
		t.Cleanup(w.crash)
		s.workers = append(s.workers, w)
	}
	s.addAll(nil, []string{"kochi", "kochi"})
	for _, i := range s.instances {
		waitFor(t, "a job succeeds at "+i.name, func() bool { return s.post(&http.Client{}, s.newKindJob(1, "a"), i, jobTimeout) == http.StatusOK })
	}
	return s
}

func (s *kindSoak) recordMisplaced(text string) {
	s.placements.Lock()
	defer s.placements.Unlock()
	s.misplaced = append(s.misplaced, text)
}

// startCallers starts callers that submit jobs for both kinds until the context is done.
func (s *kindSoak) startCallers(ctx context.Context, seed uint64, succeeded *atomic.Int32) *sync.WaitGroup {
	var callers sync.WaitGroup
	for c := range 4 {
		random := rand.New(rand.NewPCG(seed, uint64(c)+1))
		callers.Go(func() {
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}}
			for ctx.Err() == nil {
				time.Sleep(time.Duration(random.IntN(120)) * time.Millisecond)
				if s.quiet.Load() {
					continue
				}
				job := s.newKindJob(1+random.IntN(8), kinds[random.IntN(2)])
				if s.post(client, job, s.pickInstance(random, 0), job.timeout) == http.StatusOK {
					succeeded.Add(1)
				}
			}
		})
	}
	return &callers
}

// restartAsOther restarts an idle worker as the other kind, and submits wide jobs for the earlier one at all instances.
func (s *kindSoak) restartAsOther(w *kindWorker) {
	s.quiet.Store(true)
	time.Sleep(s.millis(150, 900)) // until the jobs have ended
	s.spoilWorkerLinks()
	before := w.kind
	w.crash()
	down := []time.Duration{2 * time.Millisecond, 5 * time.Millisecond, s.millis(20, 100), s.millis(300, 800)}
	time.Sleep(down[s.random.IntN(len(down))])
	w.boot(kinds[(slices.Index(kinds, before)+1)%len(kinds)], []time.Duration{0, s.millis(1, 1500)}[s.random.IntN(2)])
	var jobs sync.WaitGroup
	for _, i := range s.instances {
		time.Sleep(s.millis(1, 60))
		jobs.Go(func() { s.post(&http.Client{}, s.newKindJob(8, before), i, jobTimeout) })
	}
	s.quiet.Store(false)
	time.Sleep(s.millis(1, 500))
	jobs.Wait()
}

func playOtherKinds(t *testing.T, seed uint64, lasts time.Duration) {
	s := newKindSoak(t, seed)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var succeeded atomic.Int32
	callers, restarts, began := s.startCallers(ctx, seed, &succeeded), 0, time.Now()
	showsLittle := func() bool { return restarts < 4 || succeeded.Load() < 10 }
	for took := time.Duration(0); took < lasts || showsLittle() && took < lasts+time.Minute; took = time.Since(began) {
		s.restartAsOther(s.workers[s.random.IntN(len(s.workers))])
		restarts++
	}
	cancel()
	callers.Wait()

	s.placements.Lock()
	defer s.placements.Unlock()
	if diff := cmp.Diff([]string(nil), s.misplaced); diff != "" {
		t.Errorf("starts on workers of another kind (-want +got):\n%s", diff)
	}
	t.Logf("%d restarts, %d jobs of the callers succeeded", restarts, succeeded.Load())
	if showsLittle() {
		t.Error("too few to show anything")
	}
	s.check()
}

// newKindJob returns a new job for workers of a kind.
func (s *soak) newKindJob(tasks int, kind string) soakJob {
	job := s.newJob(tasks)
	job.id, job.label, job.milliCores = job.id[1:]+kind, kind, kindMilliCores
	return job
}

// spoilWorkerLinks may make the links between instances and workers late, or close their connections.
func (s *soak) spoilWorkerLinks() {
	links := s.linksOf(func(from, to string) bool { return s.isInstance(from) && !s.isInstance(to) })
	if len(links) == 0 {
		return
	}
	link := links[s.random.IntN(len(links))]
	d := s.millis(50, 400)
	switch s.random.IntN(8) {
	case 0:
		s.raise(d, &link.delayReads)
	case 1:
		s.raise(d, &link.holdResponses)
	case 2:
		s.raise(d, &link.holdRequests)
	case 3:
		s.raise(d, &link.reset)
	case 4:
		link.resetClients()
	case 5:
		link.goSilent()
	}
}

package home_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"foxtailmux/fakes"
	"foxtailmux/home"
	"foxtailmux/model"
)

// The replay plays drawn arrivals of the users' mix against a home in the
// runtime's virtual time: a data centre of 12 workers, of which a third has
// room for three tasks and the others for two.

// kind is one kind of job of the mix. Tasks and run times are means of draws;
// what a job declares is off by up to 40% either way.
type kind struct {
	name   string
	share  float64 // of the arrivals
	tasks  float64
	run    time.Duration
	worth  float64
	widest int
}

var mix = []kind{
	{"price-check", 34.4 / 140.65, 8, 60 * time.Millisecond, 0.0291, 32},
	{"bundle-quote", 6.25 / 140.65, 4, 900 * time.Millisecond, 0.16, 16},
	{"stock-peek", 100 / 140.65, 2, 200 * time.Millisecond, 0.01, 8},
}

// lateShare is what a late answer is worth of one in time.
const lateShare = 0.2

// pattern is a load, with what goes wrong during it. Share is the least share of
// the worth that must be earned; it comes from the aims of the users' pages:
// 0.98 where nothing goes wrong below the capacity, 0.75 in trouble.
type pattern struct {
	name    string
	rate    float64 // jobs a second; 36 keep 0.75 of the workers busy
	burst   float64 // times the rate from second 4 to 8
	poison  float64 // share of the jobs whose tasks fail
	long    float64 // share of the jobs that take six times as long as declared
	trouble func(p *place)
	share   float64
}

const (
	replayLasts    = 16 * time.Second
	replayPlaces   = 4*3 + 8*2 // tasks that run at once
	betweenReviews = 80 * time.Millisecond
)

// result is what the callers of a pattern got.
type result struct {
	mu      sync.Mutex
	owed    float64
	earned  float64
	refused int
	jobs    int
	slowest time.Duration // a refusal, beyond the time that its objective left
	held    int           // jobs that their callers gave up before all tasks had started
	came    []arrival     // of jobs that are owed
}

func (r *result) add(k kind, o home.Outcome, took, objective time.Duration, started bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.jobs++
	r.owed += k.worth
	switch {
	case o.Result == home.Succeeded && took <= objective:
		r.earned += k.worth
	case o.Result == home.Succeeded && took <= 3*objective:
		r.earned += k.worth * lateShare
	case o.Result == home.Refused || o.Result == home.NoCapacity:
		r.refused++
		r.slowest = max(r.slowest, took-objective)
	case o.Result == home.Cancelled && !started:
		r.held++
	}
}

// part is a share of the jobs.
func (r *result) part(n int) float64 { return float64(n) / float64(r.jobs) }

// play runs a pattern and returns what callers got.
func play(t *testing.T, pt pattern, seed uint64) *result {
	p := newPlace(t, 12)
	runs, poisoned := map[string]time.Duration{}, map[string]bool{}
	var mu sync.Mutex
	for i := range 4 {
		id := fmt.Sprintf("w%d", i)
		large := model.Resources{MilliCores: 96 * core, MemoryMB: 1500}
		w := p.listed[id]
		w.Capacity = large
		p.listed[id] = w
		p.workers[id].Capacity = large
	}
	for _, w := range p.workers {
		w.RunTime = func(task string) time.Duration {
			mu.Lock()
			defer mu.Unlock()
			return runs[jobOf(task)]
		}
		w.Fails = func(task string) bool {
			mu.Lock()
			defer mu.Unlock()
			return poisoned[jobOf(task)]
		}
	}
	h := p.ready(1)
	defer p.close(h)
	if pt.trouble != nil {
		time.AfterFunc(3*time.Second, func() { pt.trouble(p) })
	}

	draw := rand.New(rand.NewPCG(seed, 0))
	r := &result{}
	var callers sync.WaitGroup
	began := time.Now()
	for n := 0; time.Since(began) < replayLasts; n++ {
		rate := pt.rate
		if now := time.Since(began); pt.burst > 0 && now > 4*time.Second && now < 8*time.Second {
			rate *= pt.burst
		}
		time.Sleep(time.Duration(draw.ExpFloat64() / rate * float64(time.Second)))
		k := pick(draw)
		run := time.Duration(float64(k.run) * (0.6 + 0.8*draw.Float64()))
		s := submission(fmt.Sprintf("j%d", n), min(max(1, int(k.tasks*(0.4+1.2*draw.Float64())+0.5)), k.widest))
		s.Batch.Queue, s.Route.Name = k.name, k.name
		s.Batch.Steps[0].Estimate = time.Duration(float64(run) * (0.6 + 0.8*draw.Float64()))
		poison := draw.Float64() < pt.poison
		if draw.Float64() < pt.long {
			run *= 6
		}
		mu.Lock()
		runs[s.Batch.ID], poisoned[s.Batch.ID] = run, poison
		mu.Unlock()
		objective := time.Duration(s.Route.Stretch*float64(run)) + s.Route.Allowance
		if !poison {
			r.came = append(r.came, arrival{time.Since(began), s.Batch.Steps[0].Replicas, run, objective, k.worth})
		}
		callers.Go(func() {
			sent := time.Now()
			o := submit(h, s)
			if poison {
				return // nothing is owed
			}
			r.add(k, o, time.Since(sent), objective, p.allStarted(s.Batch))
		})
	}
	callers.Wait()
	p.check()
	return r
}

// allStarted reports whether every task of a job ran.
func (p *place) allStarted(b model.Batch) bool {
	for k := range b.Steps[0].Replicas {
		if p.ledger.Starts(b.TaskName(0, k)) == 0 {
			return false
		}
	}
	return true
}

func jobOf(task string) string { return task[:strings.Index(task, ".")] }

func pick(draw *rand.Rand) kind {
	at := draw.Float64()
	for _, k := range mix {
		if at -= k.share; at < 0 {
			return k
		}
	}
	return mix[len(mix)-1]
}

func everyWorker(f fakes.Faults) func(p *place) {
	return func(p *place) {
		for _, w := range p.workers {
			w.SetFaults(f)
		}
	}
}

func oneWorker(f fakes.Faults) func(p *place) {
	return func(p *place) { p.workers["w5"].SetFaults(f) }
}

var patterns = []pattern{
	{name: "calm", rate: 20, share: 0.98},
	{name: "busy", rate: 30, share: 0.9},
	{name: "burst", rate: 26, burst: 1.8, share: 0.75},
	{name: "above the capacity", rate: 60, share: 0.4},
	{name: "a worker fails all", rate: 26, trouble: oneWorker(fakes.Faults{FailAll: true}), share: 0.75},
	{name: "a worker stands still", rate: 26, trouble: oneWorker(fakes.Faults{StandStill: true}), share: 0.75},
	{name: "a worker is silent", rate: 26, trouble: oneWorker(fakes.Faults{Silent: true}), share: 0.75},
	{name: "a worker is six times slower", rate: 26, trouble: oneWorker(fakes.Faults{Slowdown: 6}), share: 0.75},
	{name: "a worker carries starts out late", rate: 26, trouble: oneWorker(fakes.Faults{CarryOutLate: 4 * time.Second}), share: 0.75},
	{name: "a tenth of all orders is carried out late", rate: 20, trouble: everyWorker(fakes.Faults{LateShare: 0.1}), share: 0.9},
	{name: "a third of all orders is carried out late", rate: 20, trouble: everyWorker(fakes.Faults{LateShare: 0.33}), share: 0.75},
	{name: "half of all orders are carried out late", rate: 20, trouble: everyWorker(fakes.Faults{LateShare: 0.5}), share: 0.5},
	{name: "a tenth of the jobs can never be done", rate: 26, poison: 0.1, share: 0.9},
	{name: "a third of the jobs can never be done", rate: 26, poison: 0.33, share: 0.9},
	{name: "a twentieth of the jobs takes six times as long", rate: 20, long: 0.05, share: 0.9},
	{name: "all workers are half as fast", rate: 20, trouble: everyWorker(fakes.Faults{Slowdown: 2}), share: 0.4},
}

var seeds = flag.Uint64("seeds", 1, "number of draws that each load pattern is replayed with")

func TestReplayOfLoadPatterns(t *testing.T) {
	for _, pt := range patterns {
		for seed := range *seeds {
			replay(t, pt, seed+1)
		}
	}
}

func replay(t *testing.T, pt pattern, seed uint64) {
	t.Run(fmt.Sprintf("%s/%d", pt.name, seed), func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			r := play(t, pt, seed)
			share := r.earned / r.owed
			t.Logf("%d jobs, worth %.3f, refused %.3f, held to the end %.3f, latest refusal %v after the objective, perfect knowledge %.3f",
				r.jobs, share, r.part(r.refused), r.part(r.held), r.slowest.Round(time.Millisecond), perfect(replayPlaces, r.came))
			if share < pt.share {
				t.Errorf("worth %.3f, want at least %.2f", share, pt.share)
			}
			if r.held > 0 && pt.trouble == nil {
				t.Errorf("%d jobs were held until their callers gave up", r.held)
			}
			// What can't be served is refused before its time is over, but for
			// the time between two reviews.
			if r.slowest > betweenReviews && pt.trouble == nil {
				t.Errorf("a refusal came %v after the objective", r.slowest)
			}
		})
	})
}

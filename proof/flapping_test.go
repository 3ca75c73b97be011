package proof

import (
	"context"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"
)

// The flapping test cuts a data centre off, restores its links for a moment, cuts it off again for longer, and
// so on: the day of review/7 over processes and the clock of the machine. FOXTAILMUX_SEED and FOXTAILMUX_SOAK are as for
// the soak. The first seeds play the times of the day with each kind of cut, others draw their times, with pauses and
// skews.

// flappingSeeds are the seeds that CI runs.
var flappingSeeds = []uint64{
	1,      // broke TWICE on 712dbc3
	2,      // on aec65eb homes were claimed in the cuts
	30_001, // likewise, with drawn times
}

// flappingSoakTime is shorter than a cycle of the day, so that CI plays one. A cycle ends with a rest of 3 s.
const flappingSoakTime = 10 * time.Second

// firstDrawnSeed is the first seed whose times are drawn.
const firstDrawnSeed = 30_000

// cutStyle is what happens to bytes and new connections in a cut. Datagrams are always dropped.
type cutStyle int

const (
	cutDropping cutStyle = iota // bytes arrive when TCP sends them again after the cut, dials hang
	cutSilent                   // bytes arrive after the cut, connections that are dialled in it carry none for good
	cutHeld                     // bytes arrive after the cut, also those of connections that are dialled in it
	cutReset                    // connections end as bytes arrive on them, also new ones
	cutStyles
)

// flapping is the course of a cycle.
type flapping struct {
	first, gap, second, rest time.Duration
	style                    cutStyle
	skew                     time.Duration // by which the links of each group follow the others at most
	pauses                   bool          // a home or another instance is paused now and then
}

// flappingOf returns the course of the cycles of a seed.
func (s *soak) flappingOf(seed uint64) flapping {
	f := flapping{first: 2 * time.Second, gap: 300 * time.Millisecond, second: 5500 * time.Millisecond, rest: 3 * time.Second, style: cutStyle(seed-1) % cutStyles}
	if seed < firstDrawnSeed {
		return f
	}
	return flapping{
		first: s.millis(1050, 2600), gap: s.millis(100, 800), second: s.millis(1100, 6500), rest: s.millis(1500, 4000),
		style: cutStyle(s.random.IntN(int(cutStyles))), skew: s.millis(0, 400), pauses: s.random.IntN(2) == 0,
	}
}

// flappingDataCentre is the one that is cut off, which has one instance.
const flappingDataCentre = "thrissur"

var (
	flappingInstances = []string{"kochi", "kochi", "tvm", "tvm", flappingDataCentre}
	flappingKinds     = []jobKind{
		{share: 24, tasks: 8, milliCores: 27_000, runTime: 60 * time.Millisecond, spread: 50 * time.Millisecond},
		{share: 66, tasks: 2, milliCores: 27_000, runTime: 200 * time.Millisecond, spread: 10 * time.Millisecond},
		{share: 5, tasks: 4, milliCores: 27_000, runTime: 900 * time.Millisecond, spread: 400 * time.Millisecond},
		{share: 5, tasks: 8, milliCores: 9_000, runTime: 2500 * time.Millisecond, spread: time.Second, timeout: 5 * time.Second},
	}
)

const (
	flappingWorkers     = 8 // of each data centre
	flappingJobInterval = 16 * time.Millisecond

	// reportInterval is the time between two reports of a worker to the store, and maxMissedReports the number of them
	// after which its row is removed.
	reportInterval   = 1500 * time.Millisecond
	maxMissedReports = 3
)

func newFlappingSoak(t *testing.T, seed uint64) *soak {
	s := newEmptySoak(t, seed)
	s.useKinds(flappingKinds, flappingJobInterval)
	var workers []string
	for range flappingWorkers {
		workers = append(workers, "kochi", "tvm", flappingDataCentre)
	}
	s.addAll(workers, flappingInstances)
	s.pickInstance = s.pickNear
	return s
}

// pickNear returns an instance of a random data centre for the first submission of a job, and any for the next ones.
func (s *soak) pickNear(random *rand.Rand, submission int) *soakInstance {
	list := s.instances
	if submission == 0 {
		dataCentre := []string{"kochi", "tvm", flappingDataCentre}[random.IntN(3)]
		list = slices.DeleteFunc(slices.Clone(list), func(i *soakInstance) bool { return i.dataCentre != dataCentre })
	}
	return list[random.IntN(len(list))]
}

// cutDataCentre cuts a data centre off from the others and the store, for a time.
func (s *soak) cutDataCentre(dataCentre string, f flapping, d time.Duration) {
	peers, workers, store := s.linkGroups(dataCentre)
	var g sync.WaitGroup
	for _, links := range [][]*faultProxy{peers, workers, store} {
		from, until := time.Duration(0), d
		if f.skew > 0 {
			from, until = s.millis(0, int(f.skew.Milliseconds())+1), d+s.millis(0, int(f.skew.Milliseconds())+1)
		}
		g.Go(func() {
			time.Sleep(from)
			s.setCut(links, f.style, true)
			time.Sleep(until - from)
			s.setCut(links, f.style, false)
		})
	}
	rows := s.expireRows(dataCentre, d)
	g.Wait()
	rows()
}

// linkGroups returns the links between a data centre and the rest by kind.
func (s *soak) linkGroups(dataCentre string) (peers, workers, store []*faultProxy) {
	for _, link := range s.dataCentreLinks(dataCentre) {
		owner := s.targets[link.target]
		switch {
		case slices.ContainsFunc(s.instances, func(i *soakInstance) bool { return i.storeProxy == link }):
			store = append(store, link)
		case s.isInstance(owner):
			peers = append(peers, link)
		default:
			workers = append(workers, link)
		}
	}
	return peers, workers, store
}

// setCut begins or ends a cut of links.
func (s *soak) setCut(links []*faultProxy, style cutStyle, cut bool) {
	var g sync.WaitGroup
	for _, link := range links {
		link.dropDatagrams.Store(cut)
		switch style {
		case cutReset:
			link.reset.Store(cut)
			if cut {
				link.resetClients()
			}
			continue
		case cutSilent:
			link.unreachable.Store(cut)
		case cutDropping:
			link.retransmit.Store(true)
			g.Go(func() {
				change := link.openDials
				if cut {
					change = link.closeDials
				}
				if err := change(); err != nil {
					s.t.Errorf("dials of a link: %v", err)
				}
			})
		}
		link.holdAll.Store(cut)
	}
	g.Wait()
}

// expireRows removes the rows of the workers that can't reach the store in a cut of that length, and returns a function
// that lets them report again.
func (s *soak) expireRows(dataCentre string, d time.Duration) func() {
	var timers []*time.Timer
	var reports []time.Duration
	for n := range s.workers {
		if s.dataCentres[n] != dataCentre {
			continue
		}
		silent := maxMissedReports*reportInterval - s.millis(0, int(reportInterval.Milliseconds()))
		timers = append(timers, time.AfterFunc(silent, func() { s.store.Delete(s.row(n).key) }))
		reports = append(reports, s.millis(0, int(reportInterval.Milliseconds())))
	}
	return func() {
		n := 0
		for w := range s.workers {
			if s.dataCentres[w] != dataCentre {
				continue
			}
			if !timers[n].Stop() {
				time.AfterFunc(reports[n], func() { s.writeRow(w) })
			}
			n++
		}
	}
}

// flap plays cycles until the context is done.
func (s *soak) flap(ctx context.Context, f flapping) {
	for ctx.Err() == nil {
		s.t.Logf("%s cut", time.Now().UTC().Format(logTime))
		s.cutDataCentre(flappingDataCentre, f, f.first)
		time.Sleep(f.gap)
		s.t.Logf("%s second cut", time.Now().UTC().Format(logTime))
		s.cutDataCentre(flappingDataCentre, f, f.second)
		time.Sleep(f.rest)
	}
}

// pauseNowAndThen pauses the home of the data centre that flaps, or another instance, until the context is done.
func (s *soak) pauseNowAndThen(ctx context.Context, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 2))
	for ctx.Err() == nil {
		time.Sleep(time.Duration(500+random.IntN(2500)) * time.Millisecond)
		i := s.instances[random.IntN(len(s.instances))]
		if random.IntN(2) == 0 {
			i = s.homeOf(flappingDataCentre)
		}
		s.pauseFor(i, time.Duration(100+random.IntN(1900))*time.Millisecond)
	}
}

// Guards against tasks that run twice at the same time in a data centre whose link flaps: the earlier home
// goes on in it while another instance claims it, or its jobs are submitted again elsewhere.
func TestFlappingDataCentreRunsEachTaskOnceAtATime(t *testing.T) {
	seeds, lasts := soakRange(t, flappingSeeds)
	if os.Getenv("FOXTAILMUX_SOAK") == "" {
		lasts = flappingSoakTime
	}
	for _, seed := range seeds {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			s := newFlappingSoak(t, seed)
			f := s.flappingOf(seed)
			t.Logf("%+v", f)
			s.waitRecovered()
			homes := s.store.Commits("homes")
			ctx, cancel := context.WithTimeout(context.Background(), lasts)
			defer cancel()
			jobs := s.startJobs(ctx, seed)
			var pauses sync.WaitGroup
			if f.pauses {
				pauses.Go(func() { s.pauseNowAndThen(ctx, seed) })
			}
			time.Sleep(time.Second)
			s.flap(ctx, f)
			pauses.Wait()
			jobs.Wait()
			time.Sleep(2 * time.Second) // until the last pause has ended
			s.waitRecovered()
			s.check()
			// Nothing outside can reach a data centre that is cut off as a whole, so that it keeps its home.
			if n := s.store.Commits("homes") - homes; n > 0 && seed < firstDrawnSeed {
				t.Errorf("%d homes were claimed", n)
			} else {
				t.Logf("%d homes were claimed", n)
			}
		})
	}
}

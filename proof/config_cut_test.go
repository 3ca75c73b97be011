package proof

import (
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/sourcegraph/conc"

	"foxtailmux/config"
	"foxtailmux/fakes"
	"foxtailmux/model"
	"foxtailmux/table"
)

// An instance that reaches neither the platform nor other data centres keeps its
// version of the configuration and serves jobs, and catches up once reconnected.
func TestCutOffDataCentreServesOnAndCatchesUp(t *testing.T) {
	t.Parallel()
	c := startCentre(t, 2, 1)
	proxy := startTCPProxy(t, c.platform.Addr())
	cutOff := startRemoteEntry(t, c, proxy)
	w := watchConfig(t, append(c.entries, cutOff)...)
	w.mustReach(1, time.Now(), cutOff)

	proxy.partition()
	var number int64
	for n := 1; n <= 3; n++ {
		number = mustApply(t, c.platform.Addr(), numberedFolder(t, n))
	}
	w.mustReach(number, time.Now(), c.entries...)
	waitFor(t, "the instance reports that it is cut off", func() bool {
		s := w.statusOf(cutOff)
		return s.Error != "" && s.PolledMillis > 3000
	})
	w.mustKeep(1, cutOff)
	a, err := newCaller(cutOff.field("callers")).submit(newJob("cut", 3, 10*time.Millisecond))
	if err != nil {
		t.Fatal(err)
	}
	checkComplete(t, "cut", 3, a)
	checkStatus(t, false, c.entries[0], cutOff)

	proxy.heal()
	w.mustReach(number, time.Now(), cutOff)
	checkStatus(t, true, c.entries[0], cutOff)
	cutOff.kill()
	checkStatus(t, false, c.entries[0], cutOff)
}

// startRemoteEntry starts an instance in another data centre, with one worker and
// without peers. It reaches the platform through the proxy.
func startRemoteEntry(t *testing.T, c *testCentre, platform *tcpProxy) *process {
	t.Helper()

	fleet, err := fakes.StartFleet(fakes.FleetOptions{
		Count: 1, Name: "far", Pool: "quoting", DataCentres: []string{"thrissur"},
		Capacity: model.Resources{Cores: 64, MemoryMB: 128_000},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(fleet.Close)
	for _, worker := range fleet.Workers {
		c.platform.PutWorker(worker.Describe())
	}

	p := startEntry(t, "far-1", platform.addr(), "--dataCentre", "thrissur")
	waitServing(t, p)
	return p
}

// checkStatus runs the command config status on the instances and checks that it
// reports one version for all of them if same is set, and else that it does not.
func checkStatus(t *testing.T, same bool, entries ...*process) {
	t.Helper()

	var addrs []string
	for _, p := range entries {
		addrs = append(addrs, p.field("operators"))
	}
	got := runCommand(t, "config", "status", "--json", "--operators", strings.Join(addrs, ","))
	var r config.StatusReport
	decodeOutput(t, got, &r)
	if diff := cmp.Diff(same, r.Same); diff != "" || (got.code == 0) != same {
		t.Errorf("code %d %s\n%s", got.code, diff, got.stdout)
	}
	if len(r.Instances) < len(entries) {
		t.Errorf("%d instances in %s", len(r.Instances), got.stdout)
	}
}

func TestInstanceCutOffFromThePlatformFollowsItsPeers(t *testing.T) {
	t.Parallel()
	c := startCentre(t, 2, 1)
	proxy := startTCPProxy(t, c.platform.Addr())
	cutOff := startEntry(t, "entry-3", proxy.addr(), "--peers.seeds", c.entries[0].field("peers"))
	w := watchConfig(t, append(c.entries, cutOff)...)
	waitServing(t, append(c.entries, cutOff)...)

	proxy.partition()
	for n := 1; n <= 3; n++ {
		number := mustApply(t, c.platform.Addr(), numberedFolder(t, n))
		w.mustReach(number, time.Now(), append(c.entries, cutOff)...)
	}
	if s := w.statusOf(cutOff); s.Error == "" {
		t.Errorf("the instance does not report that it is cut off: %+v", s)
	}
	checkStatus(t, true, c.entries[1])
}

// configChanges applies new versions of the configuration one after the other
// until it is stopped.
type configChanges struct {
	done   chan struct{}
	group  conc.WaitGroup
	mu     sync.Mutex
	number int64
	times  map[int64]time.Time // when a version was accepted, by its number
}

// startConfigChanges applies up to limit versions, with a pause after each.
func startConfigChanges(t *testing.T, platform string, pause time.Duration, limit int) *configChanges {
	t.Helper()

	ch := &configChanges{done: make(chan struct{}), times: map[int64]time.Time{}}
	store := table.NewClient(platform, 2*time.Second)
	ch.group.Go(func() {
		for n := 1; n <= limit; n++ {
			doc := config.Example()
			doc.Limits.MaxOpenJobs = 2000 + n
			applied, err := config.Apply(t.Context(), store, doc, "test", "day")
			if err != nil {
				t.Error(err)
				return
			}
			ch.record(applied.Entry.Number)
			select {
			case <-ch.done:
				return
			case <-time.After(pause):
			}
		}
	})
	return ch
}

func (ch *configChanges) record(number int64) {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	ch.number = number
	ch.times[number] = time.Now()
}

func (ch *configChanges) last() int64 {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	return ch.number
}

// wait waits until all changes are applied; stop ends them early.
func (ch *configChanges) wait() { ch.group.Wait() }

func (ch *configChanges) stop() {
	close(ch.done)
	ch.group.Wait()
}

func TestRestartOfEveryInstanceDuringChanges(t *testing.T) {
	c := startCentre(t, 3, 1)
	w := watchConfig(t, c.entries...)
	ch := startConfigChanges(t, c.platform.Addr(), 50*time.Millisecond, 10_000)
	for i := range c.entries {
		c.entries[i].send(syscall.SIGTERM)
		if diff := cmp.Diff(0, c.entries[i].waitExit()); diff != "" {
			t.Error(diff)
		}
		atStart := ch.last()
		started := time.Now()
		fresh := c.replace(t, i)
		w.add(fresh)
		w.mustReach(atStart, started, fresh)
	}
	ch.stop()

	w.mustReach(ch.last(), time.Now(), c.entries...)
	mustHaveHistory(t, c.platform.Addr(), int(ch.last()))
	checkStatus(t, true, c.entries[0])
}

func TestADayOfChangesIsInForceEverywhereInTime(t *testing.T) {
	const day = 1100
	c := startCentre(t, 3, 1)
	w := watchConfig(t, c.entries...)
	ch := startConfigChanges(t, c.platform.Addr(), 2*time.Millisecond, day)
	ch.wait()
	accepted := len(ch.times)
	if accepted != day {
		t.Fatalf("%d changes were accepted", accepted)
	}

	w.mustReach(ch.last(), time.Now(), c.entries...)
	var longest time.Duration
	for number, since := range ch.times {
		longest = max(longest, w.mustReach(number, since, c.entries...))
	}
	t.Logf("%d changes at %d instances, longest %v", accepted, len(c.entries), longest)
	mustHaveHistory(t, c.platform.Addr(), 1+day)
}

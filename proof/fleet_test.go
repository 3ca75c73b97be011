package proof

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
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
	"foxtailmux/platform"
	"foxtailmux/platform/stand"
)

// The soak test runs entry instances of two data centres as processes, on
// stand-ins for the users' platform. Callers submit jobs, and submit a job again
// if it gets no response or status 504, as the callers of the platform do, while
// overlapping faults are injected. FOXTAILMUX_SEED is the seed of the faults,
// FOXTAILMUX_SOAK how long they are injected for each seed. FOXTAILMUX_BIN is a folder of
// programs to test instead of those of this tree.
const (
	defaultSoakTime = 6 * time.Second
	resendDelay     = 1300 * time.Millisecond // from no response or status 504 to the next submission of the job
	maxSubmissions  = 3
	jobTimeout      = 2500 * time.Millisecond
	taskMilliCores  = 27_000 // two such tasks fit on a worker
)

// soakSeeds are the seeds that CI runs. A seed that has failed stays, with the
// cause of its failure.
var soakSeeds = []uint64{
	1,
	11, // deadlock: a home called the fleet under its lock, and the fleet called the home
	13, // run twice: a start request that reached a worker's next incarnation was taken for lost
	14, // the same deadlock as 11
	300,
	400,  // the first seed with low-bandwidth links
	418,  // two instances got the same port: a fault of this test
	7105, // a crashed worker carried out requests that it had received before: a fault of the fake
	9000, // the first seed with connections that go silent
	9200, // the first seed with workers that answer twice
	firstDrainSeed,
}

// Seeds draw from the first kinds of faults only, as many as there were when they were first used, so
// that they inject the same faults as at the time they failed.
func faultKinds(seed uint64) int {
	switch {
	case seed < 100:
		return 13
	case seed < 9000:
		return 17
	case seed < 9200:
		return 19
	case seed < firstDrainSeed:
		return 20
	}
	return 22
}

// firstDrainSeed is the first seed with drained data centres and configurations in quick succession.
const firstDrainSeed = 9300

// With seeds from firstLowBandwidthSeed on, instances are configured with
// low-bandwidth links, so that the origin of a job (the instance that holds the
// caller's connection) sends the start requests itself. A job's specification then
// has lowBandwidthSpecBytes bytes.
const (
	firstLowBandwidthSeed = 400
	lowBandwidthSpecBytes = 1000
)

// soak is a fleet of instances and workers under test, and the jobs submitted to it.
type soak struct {
	t             *testing.T
	random        *rand.Rand
	faultKinds    int    // number of kinds of faults that are injected
	linkMbits     int    // bandwidth in the instances' settings in Mbit/s; 0 if not known
	moreCallers   string // further settings of the instances, such as ", maxConnections: 9"
	moreLimits    string
	spec          string
	needs         func(task string) model.Resources // of tasks on workers that are added
	runTime       func(task string) time.Duration
	kinds         []jobKind     // of jobs of startJobs
	jobInterval   time.Duration // mean time between them
	pickInstance  func(random *rand.Rand, submission int) *soakInstance
	store         *stand.Store
	ledger        *fakes.Ledger
	workers       []*fakes.LeasedWorker
	workerServers []*httptest.Server
	workerProxies []*faultProxy
	dataCentres   []string // of the workers
	instances     []*soakInstance
	version       int
	jobCount      atomic.Int64
	callersLeave  atomic.Bool    // callers leave early
	restarts      sync.WaitGroup // of instances

	mu          sync.Mutex
	submissions map[string][]submitted // by job
	mixed       []string               // responses to jobs that succeeded before all of their tasks had
	links       map[linkKey]*faultProxy
	targets     map[string]string // name of an instance or a worker by address
}

// linkKey names both ends of a link: instances, workers, or callers.
type linkKey struct{ from, to string }

// callersEnd is the end of a link at which callers are.
const callersEnd = "callers"

// soakJob is a job of equal tasks.
type soakJob struct {
	id                string
	tasks, milliCores int
	estimate, timeout time.Duration
	label             string // that workers need, "" for none
}

// submitted is a submission of a job. The status is 0 without a response.
type submitted struct {
	instance    string
	sent, ended time.Time
	status      int
}

func (s submitted) String() string {
	return fmt.Sprintf("%s sent %s ended %s status %d", s.instance, s.sent.UTC().Format(logTime), s.ended.UTC().Format(logTime), s.status)
}

// logTime is the layout of times in the logs of the programs.
const logTime = "2006-01-02T15:04:05.000Z"

// workerRow is the row of a worker in the platform's store.
type workerRow struct{ key, value string }

// soakInstance is an entry instance, which keeps its addresses over restarts.
type soakInstance struct {
	name, dataCentre, settingsFile, callersAddr string

	storeProxy *faultProxy
	busy       atomic.Bool // a fault has ended the process and will start it again

	mu   sync.Mutex
	proc *process
}

// newSoak returns a soak with six workers and three instances in two data centres.
func newSoak(t *testing.T, seed uint64) *soak {
	s := newEmptySoak(t, seed)
	if seed >= firstLowBandwidthSeed {
		s.linkMbits, s.spec = 2, strings.Repeat("s", lowBandwidthSpecBytes)
	}
	s.addAll([]string{"kochi", "tvm", "kochi", "tvm", "kochi", "tvm"}, []string{"kochi", "kochi", "tvm"})
	return s
}

// newFleet returns a soak with a worker and an instance for each of the data centres, which has
// recovered.
func newFleet(t *testing.T, workers, instances []string) *soak {
	t.Helper()
	s := newEmptySoak(t, 1)
	s.addAll(workers, instances)
	s.waitRecovered()
	return s
}

func (s *soak) addAll(workers, instances []string) {
	for i, dc := range workers {
		s.addWorker(i, dc)
	}
	for i, dc := range instances {
		s.addInstance(fmt.Sprintf("entry-%d", i), dc)
	}
}

// Guards against slow elections after a restart of a large fleet: the store writes
// the rows of a table one after the other, so the homes' claims would wait behind
// the rows of the instances if all of those were written again.
func TestRestartedInstancesWriteOnlyTheirHomeClaims(t *testing.T) {
	s := newFleet(t, []string{"kochi"}, []string{"kochi", "kochi", "kochi"})
	before := []int{s.store.Commits("nodes"), s.store.Commits("homes")}
	for _, i := range s.instances {
		_ = i.process().cmd.Process.Kill()
	}
	for _, i := range s.instances {
		s.restart(i, syscall.SIGKILL)
	}
	s.waitRecovered()
	if n := s.store.Commits("nodes"); n != before[0] {
		t.Errorf("%d commits of instance rows, want %d as before the restart", n, before[0])
	}
	if n := s.store.Commits("homes"); n == before[1] {
		t.Error("no home was claimed")
	}
	s.check()
}

// newEmptySoak returns a soak without workers and instances, whose store holds a configuration.
func newEmptySoak(t *testing.T, seed uint64) *soak {
	s := &soak{
		t: t, random: rand.New(rand.NewPCG(seed, 0)), store: stand.NewStore(), ledger: fakes.NewLedger(),
		submissions: map[string][]submitted{}, links: map[linkKey]*faultProxy{}, targets: map[string]string{},
		faultKinds: faultKinds(seed), spec: "s",
		needs:   func(string) model.Resources { return model.Resources{MilliCores: taskMilliCores} },
		runTime: func(task string) time.Duration { return time.Duration(40+10*(len(task)%7)) * time.Millisecond },
	}
	s.pickInstance = func(random *rand.Rand, _ int) *soakInstance { return s.instances[random.IntN(len(s.instances))] }
	s.putConfig()
	return s
}

// A data centre gets a home (the one entry instance that owns its workers) also if
// its workers register after its instances have started and long after the other
// data centre has got its home.
func TestWorkersThatRegisterLateGetAHome(t *testing.T) {
	s := newFleet(t, []string{"kochi"}, []string{"kochi", "tvm"})
	time.Sleep(5 * time.Second) // until all instances have read the workers' table
	s.addWorker(1, "tvm")
	began := time.Now()
	waitFor(t, "the late worker gets lease renewals from a home", func() bool { return s.workers[1].Renewals() > 0 })
	if took := time.Since(began); took > 10*time.Second {
		t.Errorf("the late worker got a home after %v, want at most 10s", took)
	}
	s.check()
}

func (s *soak) addWorker(i int, dc string) {
	id := fmt.Sprintf("w%d", i)
	w := fakes.NewLeasedWorker(id, model.Resources{MilliCores: 64_000, MemoryMB: 1 << 10}, s.ledger)
	w.Needs, w.RunTime = s.needs, s.runTime
	server := httptest.NewServer(stand.Worker{Leased: w})
	s.t.Cleanup(func() {
		server.CloseClientConnections() // lease renewals may still wait for ended runs
		server.Close()
	})

	c := startFaultProxy(s.t, server.Listener.Addr().String())
	s.workers, s.workerServers, s.workerProxies = append(s.workers, w), append(s.workerServers, server), append(s.workerProxies, c)
	s.mu.Lock()
	s.targets[c.addr()] = id
	s.mu.Unlock()
	s.dataCentres = append(s.dataCentres, dc)
	s.writeRow(i)
}

// row returns the row by which the present incarnation of a worker describes itself.
func (s *soak) row(w int) workerRow {
	key, value := stand.WorkerRow(s.workers[w].ID, s.workerProxies[w].addr(), s.dataCentres[w], "a", 64_000, s.workers[w].Incarnation())
	return workerRow{key, value}
}

func (s *soak) writeRow(w int) {
	row := s.row(w)
	s.store.Put(row.key, row.value)
}

// crashWorker ends the process of a worker with its connections. The next one starts at once, and writes its row.
func (s *soak) crashWorker(w int) {
	s.workers[w].Crash()
	s.workerServers[w].CloseClientConnections()
	s.writeRow(w)
}

// putConfig stores the next version of the platform's configuration.
func (s *soak) putConfig() {
	s.version++
	s.store.Put(stand.ConfigRow(s.version))
}

// Instances keep their ports over restarts. The ports are below the range from
// which the kernel picks those of outgoing connections, since such a connection
// once took the port of an instance that was being restarted. Each run of the tests
// reserves a block of ports by listening on the first of them, so that concurrent
// runs never use the same port.
const (
	minPort   = 20_000
	maxPort   = 32_000
	portBlock = 800
)

var portRandom = rand.New(rand.NewPCG(uint64(os.Getpid()), uint64(time.Now().UnixNano())))

// ownPortBlock returns the first port of the block of this process, and the listener
// that reserves the block.
var ownPortBlock = sync.OnceValues(func() (int, net.Listener) { return takePortBlock() })

func takePortBlock() (first int, guard net.Listener) {
	for range maxPort - minPort {
		first := minPort + portBlock*portRandom.IntN((maxPort-minPort)/portBlock)
		if l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", first)); err == nil {
			return first, l
		}
	}
	return 0, nil
}

func TestTwoRunsTakeDifferentPorts(t *testing.T) {
	taken := map[int]bool{}
	for range 5 {
		first, guard := takePortBlock()
		if guard == nil {
			t.Fatal("no free block of ports")
		}
		defer guard.Close()
		if taken[first] {
			t.Errorf("block %d was taken twice", first)
		}
		taken[first] = true
	}
}

func TestNoAddressIsGivenTwice(t *testing.T) {
	given := map[string]bool{}
	for range 60 {
		addr := reserveAddr(t)
		if given[addr] {
			t.Errorf("%s was given twice", addr)
		}
		given[addr] = true
	}
}

// triedPorts is the number of ports of the block that reserveAddr has tried,
// whether they were free or not. It tries none twice.
var triedPorts atomic.Int32

// reserveAddr returns an address whose port is free for TCP and UDP. It never
// returns an address twice: while an instance restarts, its port looks free.
func reserveAddr(t *testing.T) string {
	t.Helper()
	first, guard := ownPortBlock()
	if guard == nil {
		t.Fatal("no free block of ports")
	}
	for {
		n := int(triedPorts.Add(1))
		if n >= portBlock {
			t.Fatal("no port of the block is left")
		}
		addr := fmt.Sprintf("127.0.0.1:%d", first+n)
		tcp, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		udp, err := net.ListenPacket("udp", addr)
		_ = tcp.Close()
		if err != nil {
			continue
		}
		_ = udp.Close()
		return addr
	}
}

func (s *soak) addInstance(name, dc string) {
	store := httptest.NewServer(s.store.View(func(key string, value []byte) []byte { return s.linked(name, key, value) }))
	s.t.Cleanup(store.Close)
	i := &soakInstance{
		name: name, dataCentre: dc, settingsFile: filepath.Join(s.t.TempDir(), name+".yaml"),
		callersAddr: reserveAddr(s.t), storeProxy: startFaultProxy(s.t, store.Listener.Addr().String()),
	}
	peers := reserveAddr(s.t)
	s.mu.Lock()
	s.targets[peers] = name
	s.mu.Unlock()
	text := fmt.Sprintf("instance: %s\ndataCentre: %s\ncallers: {addr: '%s', readyAddr: '%s'%s}\noperators: {addr: '%s'}\npeers: {addr: '%s'}\nplatform: {addr: '%s', adapter: users, timeout: 1s}\nlimits: {link: %d%s}\nstop: {drainDelay: 300ms, limit: 3s}\n",
		name, dc, i.callersAddr, reserveAddr(s.t), s.moreCallers, reserveAddr(s.t), peers, i.storeProxy.addr(), s.linkMbits, s.moreLimits)
	if err := os.WriteFile(i.settingsFile, []byte(text), 0o600); err != nil {
		s.t.Fatal(err)
	}
	s.instances = append(s.instances, i)
	i.run(s.t)
}

// link returns the proxy between an instance or the callers and an instance or a worker, by their
// names. It starts the proxy if there is none.
func (s *soak) link(from, to, addr string) *faultProxy {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := linkKey{from, to}
	if s.links[key] == nil {
		s.links[key] = startFaultProxy(s.t, addr)
	}
	return s.links[key]
}

// callersLink returns the proxy between callers and an instance.
func (s *soak) callersLink(i *soakInstance) *faultProxy {
	return s.link(callersEnd, i.name, i.callersAddr)
}

// linksOf returns the proxies of the links for which choose returns true.
func (s *soak) linksOf(choose func(from, to string) bool) []*faultProxy {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []*faultProxy
	for key, link := range s.links {
		if choose(key.from, key.to) {
			list = append(list, link)
		}
	}
	return list
}

func (s *soak) isInstance(name string) bool {
	return slices.ContainsFunc(s.instances, func(i *soakInstance) bool { return i.name == name })
}

// homeOf returns the instance that the store names as the home of a data centre.
func (s *soak) homeOf(dataCentre string) *soakInstance {
	var row struct {
		Instance string `json:"instance"`
	}
	if err := json.Unmarshal([]byte(s.store.Get("homes/"+dataCentre)), &row); err != nil {
		s.t.Errorf("home of %s: %v", dataCentre, err)
	}
	n := slices.IndexFunc(s.instances, func(i *soakInstance) bool { return i.name == row.Instance })
	return s.instances[max(n, 0)]
}

// linked returns the value of a row in which an instance finds the addresses of its own links to
// instances and workers.
func (s *soak) linked(instance, key string, value []byte) []byte {
	if key == "nodes/"+instance {
		return value
	}
	s.mu.Lock()
	targets := maps.Clone(s.targets)
	s.mu.Unlock()
	for addr, name := range targets {
		if quoted := []byte(strconv.Quote(addr)); bytes.Contains(value, quoted) {
			value = bytes.ReplaceAll(value, quoted, []byte(strconv.Quote(s.link(instance, name, addr).addr())))
		}
	}
	return value
}

func (i *soakInstance) run(t *testing.T) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.proc = startProcess(t, i.name, "foxtailmux", "serve", "-settings", i.settingsFile)
}

func (i *soakInstance) process() *process {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.proc
}

// newJob returns a new job of up to four tasks.
func (s *soak) newJob(tasks int) soakJob {
	id := fmt.Sprintf("%016x", s.jobCount.Add(1))
	return soakJob{id: id, tasks: tasks, milliCores: taskMilliCores, estimate: 70 * time.Millisecond, timeout: jobTimeout}
}

// submit submits a job, and submits it again until it gets a response other than status 502 or
// 504, at most maxSubmissions times, as the platform's callers do.
func (s *soak) submit(client *http.Client, random *rand.Rand, job soakJob) {
	for n := range maxSubmissions {
		leaveAfter := job.timeout
		if s.callersLeave.Load() {
			leaveAfter = time.Duration(20+random.IntN(400)) * time.Millisecond
		}
		switch s.post(client, job, s.pickInstance(random, n), leaveAfter) {
		case 0, http.StatusBadGateway, http.StatusGatewayTimeout:
			time.Sleep(resendDelay)
		default:
			return
		}
	}
}

// post submits a job once and returns the HTTP status, or 0 if the caller gets no response or leaves
// after the given time.
func (s *soak) post(client *http.Client, job soakJob, i *soakInstance, leaveAfter time.Duration) int {
	sent := time.Now()
	status, succeeded := s.exchange(client, job, i, leaveAfter)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.submissions[job.id] = append(s.submissions[job.id], submitted{i.name, sent, time.Now(), status})
	for n := range job.tasks {
		if task := fmt.Sprintf("%s.0.0.%d", job.id, n); succeeded && s.ledger.Done(task) == 0 {
			s.mixed = append(s.mixed, fmt.Sprintf("%s answered at %s as succeeded, but %s was not done", job.id, time.Now().UTC().Format(logTime), task))
		}
	}
	return status
}

// exchange sends the request of a job and reads the response.
func (s *soak) exchange(client *http.Client, job soakJob, i *soakInstance, leaveAfter time.Duration) (status int, succeeded bool) {
	ctx, cancel := context.WithTimeout(context.Background(), leaveAfter)
	defer cancel()
	addr := s.callersLink(i).addr()
	req, err := stand.NewJobRequest(addr, job.id, job.tasks, job.milliCores, job.estimate, job.timeout, s.spec, job.label)
	if err != nil {
		s.t.Error(err)
		return 0, false
	}
	resp, err := client.Do(req.WithContext(ctx))
	if err != nil {
		return 0, false
	}
	defer resp.Body.Close()
	var text bytes.Buffer
	if _, err := io.Copy(&text, resp.Body); err != nil {
		return 0, false
	}
	return resp.StatusCode, resp.StatusCode == http.StatusOK && bytes.Equal(text.Bytes(), platform.SucceededBody)
}

// injectFault injects a random fault, which ends by itself.
func (s *soak) injectFault() {
	w := s.random.IntN(len(s.workers))
	i := s.instances[s.random.IntN(len(s.instances))]
	duration := time.Duration(300+s.random.IntN(1700)) * time.Millisecond
	until := func(end func()) { time.AfterFunc(duration, end) }
	worker, proxy := s.workers[w], s.workerProxies[w]
	switch s.random.IntN(s.faultKinds) {
	case 0:
		s.restart(i, syscall.SIGKILL)
	case 1:
		s.restart(i, syscall.SIGTERM)
	case 2:
		p := i.process()
		p.send(syscall.SIGSTOP)
		until(func() { _ = p.cmd.Process.Signal(syscall.SIGCONT) })
	case 3:
		worker.SetFaults(fakes.LeasedWorkerFaults{LoseResponses: true})
		until(func() { worker.SetFaults(fakes.LeasedWorkerFaults{}) })
	case 4:
		worker.SetFaults(fakes.LeasedWorkerFaults{StartDelay: duration})
		until(func() { worker.SetFaults(fakes.LeasedWorkerFaults{}) })
	case 5:
		worker.SetFaults(fakes.LeasedWorkerFaults{Stalled: true})
		until(func() { worker.SetFaults(fakes.LeasedWorkerFaults{}) })
	case 6:
		s.crashWorker(w)
	case 7:
		proxy.holdAll.Store(true)
		until(func() { proxy.holdAll.Store(false) })
	case 8:
		proxy.reset.Store(true)
		until(func() { proxy.reset.Store(false) })
	case 9:
		s.store.SetFaults(stand.StoreFaults{Down: true})
		until(func() { s.store.SetFaults(stand.StoreFaults{}) })
	case 10:
		s.store.SetFaults(stand.StoreFaults{DropCommitResponses: true, TruncateHistory: true, Delay: 50 * time.Millisecond})
		until(func() { s.store.SetFaults(stand.StoreFaults{}) })
	case 11:
		s.putConfig()
	case 12:
		s.store.Delete(s.row(w).key)
		until(func() { s.writeRow(w) })
	case 13:
		for _, w := range s.workers {
			w.SetFaults(fakes.LeasedWorkerFaults{LateShare: 0.3})
			until(func() { w.SetFaults(fakes.LeasedWorkerFaults{}) })
		}
	case 14:
		i.storeProxy.holdAll.Store(true)
		until(func() { i.storeProxy.holdAll.Store(false) })
	case 15:
		proxy.holdResponses.Store(true)
		until(func() { proxy.holdResponses.Store(false) })
	case 16:
		proxy.delayReads.Store(true)
		until(func() { proxy.delayReads.Store(false) })
	case 17:
		proxy.goSilent()
	case 18:
		i.storeProxy.goSilent()
	case 19:
		proxy.stutter.Store(true)
		until(func() { proxy.stutter.Store(false) })
	case 20:
		key := platform.DrainPrefix + s.dataCentres[w]
		s.store.Put(key, "{}")
		until(func() { s.store.Delete(key) })
	case 21:
		for range 5 {
			s.putConfig()
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// restart ends an instance with a signal and starts it again.
func (s *soak) restart(i *soakInstance, signal syscall.Signal) {
	p := i.process()
	_ = p.cmd.Process.Signal(syscall.SIGCONT)
	_ = p.cmd.Process.Signal(signal)
	select {
	case <-p.exited:
	case <-time.After(waitLimit):
		s.t.Errorf("%s did not exit", i.name)
	}
	i.run(s.t)
}

// startLoad starts six callers that submit jobs until the context is done.
func (s *soak) startLoad(ctx context.Context, seed uint64) *sync.WaitGroup {
	var callers sync.WaitGroup
	for c := range 6 {
		random := rand.New(rand.NewPCG(seed, uint64(c)+1))
		client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}}
		callers.Go(func() {
			for ctx.Err() == nil {
				s.submit(client, random, s.newJob(1+random.IntN(4)))
				time.Sleep(time.Duration(random.IntN(60)) * time.Millisecond)
			}
		})
	}
	return &callers
}

// check compares the responses to callers with the runs on the workers.
func (s *soak) check() {
	s.t.Helper()
	if diff := cmp.Diff([]string(nil), s.ledger.Violations()); diff != "" {
		s.t.Errorf("violations (-want +got):\n%s", diff)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if diff := cmp.Diff([]string(nil), s.mixed); diff != "" {
		s.t.Errorf("responses before the end (-want +got):\n%s", diff)
	}
	counts := map[int]int{}
	for id, list := range s.submissions {
		for _, sub := range list {
			counts[sub.status]++
		}
		refused := !slices.ContainsFunc(list, func(sub submitted) bool { return sub.status != http.StatusServiceUnavailable })
		if refused && s.ledger.Starts(id+".0.0.0") > 0 {
			s.t.Errorf("job %s was refused, but ran", id)
		}
		ended := slices.ContainsFunc(list, func(sub submitted) bool { return sub.status == http.StatusOK })
		if ended && s.ledger.Starts(id+".0.0.0") == 0 {
			s.t.Errorf("job %s ended, but never ran", id)
		}
	}
	s.traceViolations()
	s.t.Logf("%d jobs, responses by status: %v", len(s.submissions), counts)
}

// traceViolations prints the submissions and runs of jobs with violations. The caller holds mu.
func (s *soak) traceViolations() {
	jobs := map[string]bool{}
	for _, runs := range s.ledger.Overlaps() {
		id, _, _ := strings.Cut(runs[0].Task, ".")
		jobs[id] = true
	}
	for _, text := range s.mixed {
		id, _, _ := strings.Cut(text, " ")
		jobs[id] = true
	}
	for id := range jobs {
		s.t.Logf("job %s: submissions %v", id, s.submissions[id])
		for n := range maxTracedTasks {
			for _, r := range s.ledger.Runs(fmt.Sprintf("%s.0.0.%d", id, n)) {
				key, owner := s.store.At(r.Token)
				s.t.Logf("%v, home %s %s", r, key, owner)
			}
		}
	}
}

// maxTracedTasks is the number of tasks of a job whose runs are printed.
const maxTracedTasks = 8

// waitRecovered resumes paused instances and waits until a job succeeds at each
// instance.
func (s *soak) waitRecovered() {
	s.t.Helper()
	client := &http.Client{}
	for _, i := range s.instances {
		_ = i.process().cmd.Process.Signal(syscall.SIGCONT)
		waitFor(s.t, "a job succeeds at "+i.name, func() bool {
			return s.post(client, s.newJob(1), i, jobTimeout) == http.StatusOK
		})
	}
}

func TestFleetSoak(t *testing.T) {
	seeds, lasts := soakRange(t, soakSeeds)
	for _, seed := range seeds {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			s := newSoak(t, seed)
			s.waitRecovered()
			ctx, cancel := context.WithTimeout(context.Background(), lasts)
			defer cancel()
			callers := s.startLoad(ctx, seed)
			for ctx.Err() == nil {
				s.injectFault()
				time.Sleep(time.Duration(100+s.random.IntN(500)) * time.Millisecond)
			}
			callers.Wait()
			time.Sleep(2 * time.Second) // until the last faults have ended
			s.waitRecovered()
			s.check()
		})
	}
}

// soakRange returns the seeds of a soak and how long faults are injected for each: those of the
// variables, or else the given seeds and defaultSoakTime.
func soakRange(t *testing.T, seeds []uint64) ([]uint64, time.Duration) {
	t.Helper()
	lasts := defaultSoakTime
	if text := os.Getenv("FOXTAILMUX_SEED"); text != "" {
		n, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		seeds = []uint64{n}
	}
	if text := os.Getenv("FOXTAILMUX_SOAK"); text != "" {
		d, err := time.ParseDuration(text)
		if err != nil {
			t.Fatal(err)
		}
		lasts = d
	}
	return seeds, lasts
}

package proof

import (
	"bytes"
	"context"
	"fmt"
	"io"
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
	}
	return 20
}

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
	faultKinds    int // number of kinds of faults that are injected
	linkMbits     int // bandwidth in the instances' settings in Mbit/s; 0 if not known
	spec          string
	store         *stand.Store
	ledger        *fakes.Ledger
	workers       []*fakes.LeasedWorker
	workerServers []*httptest.Server
	workerProxies []*faultProxy
	rows          []workerRow // the workers' rows in the store
	instances     []*soakInstance
	version       int

	mu       sync.Mutex
	statuses map[string][]int // HTTP status of each submission, 0 without a response, by job
	jobCount atomic.Int64
}

// workerRow is the row of a worker in the platform's store.
type workerRow struct{ key, value string }

// soakInstance is an entry instance, which keeps its addresses over restarts.
type soakInstance struct {
	name, settingsFile, callersAddr string

	storeProxy *faultProxy

	mu   sync.Mutex
	proc *process
}

// faultProxy is a TCP proxy in front of a worker or the store. It can hold back
// bytes, in both directions or only those of responses, delay them, or close its
// connections.
type faultProxy struct {
	listener      net.Listener
	target        string
	holdAll       atomic.Bool
	holdResponses atomic.Bool
	delayReads    atomic.Bool
	reset         atomic.Bool
	stutter       atomic.Bool // send each response twice, the second time late

	mu      sync.Mutex
	silence chan struct{} // closed when the open connections go silent
	closed  chan struct{}
}

// goSilent makes the open connections carry no more bytes, without a reset. New ones work.
func (fp *faultProxy) goSilent() {
	fp.mu.Lock()
	defer fp.mu.Unlock()
	close(fp.silence)
	fp.silence = make(chan struct{})
}

// readDelay delays each read of a proxy with delayReads.
const readDelay = 40 * time.Millisecond

func startFaultProxy(t *testing.T, target string) *faultProxy {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	fp := &faultProxy{listener: listener, target: target, silence: make(chan struct{}), closed: make(chan struct{})}
	go fp.serve()
	t.Cleanup(func() {
		_ = listener.Close()
		close(fp.closed)
	})
	return fp
}

func (fp *faultProxy) serve() {
	for {
		in, err := fp.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", fp.target)
		if err != nil {
			_ = in.Close()
			continue
		}
		fp.mu.Lock()
		silence := fp.silence
		fp.mu.Unlock()
		go fp.copy(&stutteringConn{Conn: in, stutter: &fp.stutter}, out, &fp.holdResponses, silence)
		go fp.copy(out, in, &fp.holdAll, silence)
	}
}

// stutteringConn writes everything twice while stutter is set, the second time after a random delay.
type stutteringConn struct {
	net.Conn
	stutter *atomic.Bool
}

// maxStutter is the longest delay of a second response.
const maxStutter = 60 * time.Millisecond

// Write writes the bytes, and again later.
func (c *stutteringConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err == nil && c.stutter.Load() {
		again := bytes.Clone(p)
		time.AfterFunc(rand.N(maxStutter), func() { _, _ = c.Conn.Write(again) }) // it may be closed by then
	}
	return n, err
}

// copy forwards bytes from one connection to another, until silence is closed. It holds
// them back while holdAll or held is set.
func (fp *faultProxy) copy(to, from net.Conn, held *atomic.Bool, silence <-chan struct{}) {
	defer to.Close()
	defer from.Close()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if fp.reset.Load() {
			return
		}
		select {
		case <-silence:
			<-fp.closed
			return
		default:
		}
		if fp.delayReads.Load() {
			time.Sleep(readDelay)
		}
		for fp.holdAll.Load() || held.Load() {
			time.Sleep(10 * time.Millisecond)
		}
		if _, failed := to.Write(buffer[:n]); err != nil || failed != nil {
			return
		}
	}
}

// newSoak returns a soak with six workers and three instances in two data centres.
func newSoak(t *testing.T, seed uint64) *soak {
	s, store := newEmptySoak(t, seed)
	if seed >= firstLowBandwidthSeed {
		s.linkMbits, s.spec = 2, strings.Repeat("s", lowBandwidthSpecBytes)
	}
	for i := range 6 {
		s.addWorker(i, []string{"kochi", "tvm"}[i%2])
	}
	for i, dc := range []string{"kochi", "kochi", "tvm"} {
		s.addInstance(fmt.Sprintf("entry-%d", i), dc, store)
	}
	return s
}

// Guards against slow elections after a restart of a large fleet: the store writes
// the rows of a table one after the other, so the homes' claims would wait behind
// the rows of the instances if all of those were written again.
func TestRestartedInstancesWriteOnlyTheirHomeClaims(t *testing.T) {
	s, store := newEmptySoak(t, 1)
	s.addWorker(0, "kochi")
	for i := range 3 {
		s.addInstance(fmt.Sprintf("entry-%d", i), "kochi", store)
	}
	s.waitRecovered()
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

// newEmptySoak returns a soak without workers and instances, and the address of
// its store, which holds a configuration.
func newEmptySoak(t *testing.T, seed uint64) (s *soak, store string) {
	s = &soak{
		t: t, random: rand.New(rand.NewPCG(seed, 0)), store: stand.NewStore(), ledger: fakes.NewLedger(),
		statuses: map[string][]int{}, faultKinds: faultKinds(seed), spec: "s",
	}
	server := httptest.NewServer(s.store)
	t.Cleanup(server.Close)
	s.putConfig()
	return s, server.Listener.Addr().String()
}

// A data centre gets a home (the one entry instance that owns its workers) also if
// its workers register after its instances have started and long after the other
// data centre has got its home.
func TestWorkersThatRegisterLateGetAHome(t *testing.T) {
	s, store := newEmptySoak(t, 1)
	s.addWorker(0, "kochi")
	s.addInstance("entry-0", "kochi", store)
	s.addInstance("entry-1", "tvm", store)
	s.waitRecovered()
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
	w.Needs = func(string) model.Resources { return model.Resources{MilliCores: taskMilliCores} }
	w.RunTime = func(task string) time.Duration { return time.Duration(40+10*(len(task)%7)) * time.Millisecond }
	server := httptest.NewServer(stand.Worker{Leased: w})
	s.t.Cleanup(func() {
		server.CloseClientConnections() // lease renewals may still wait for ended runs
		server.Close()
	})

	c := startFaultProxy(s.t, server.Listener.Addr().String())
	s.workers, s.workerServers, s.workerProxies = append(s.workers, w), append(s.workerServers, server), append(s.workerProxies, c)
	key, value := stand.WorkerRow(id, c.listener.Addr().String(), dc, 64_000)
	s.rows = append(s.rows, workerRow{key, value})
	s.store.Put(key, value)
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
	portBlock = 600
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

func (s *soak) addInstance(name, dc, store string) {
	i := &soakInstance{name: name, callersAddr: reserveAddr(s.t), storeProxy: startFaultProxy(s.t, store), settingsFile: filepath.Join(s.t.TempDir(), name+".yaml")}
	text := fmt.Sprintf("instance: %s\ndataCentre: %s\ncallers: {addr: '%s', readyAddr: '%s'}\noperators: {addr: '%s'}\npeers: {addr: '%s'}\nplatform: {addr: '%s', adapter: users, timeout: 1s}\nlimits: {link: %d}\nstop: {drainDelay: 300ms, limit: 3s}\n",
		name, dc, i.callersAddr, reserveAddr(s.t), reserveAddr(s.t), reserveAddr(s.t), i.storeProxy.listener.Addr(), s.linkMbits)
	if err := os.WriteFile(i.settingsFile, []byte(text), 0o600); err != nil {
		s.t.Fatal(err)
	}
	s.instances = append(s.instances, i)
	i.run(s.t)
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

// submit submits a new job, and submits it again until it gets a response other
// than status 504, at most maxSubmissions times, as the platform's callers do.
func (s *soak) submit(client *http.Client, random *rand.Rand) {
	id := fmt.Sprintf("%016x", s.jobCount.Add(1))
	for range maxSubmissions {
		status := s.post(client, id, s.instances[random.IntN(len(s.instances))].callersAddr, 1+random.IntN(4))
		s.mu.Lock()
		s.statuses[id] = append(s.statuses[id], status)
		s.mu.Unlock()
		if status != 0 && status != http.StatusGatewayTimeout {
			return
		}
		time.Sleep(resendDelay)
	}
}

// post submits a job once and returns the HTTP status, or 0 without a response.
func (s *soak) post(client *http.Client, id, addr string, tasks int) int {
	ctx, cancel := context.WithTimeout(context.Background(), jobTimeout)
	defer cancel()
	req, err := stand.NewJobRequest(addr, id, tasks, taskMilliCores, 70*time.Millisecond, jobTimeout, s.spec)
	if err != nil {
		s.t.Error(err)
		return 0
	}
	resp, err := client.Do(req.WithContext(ctx))
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	var text bytes.Buffer
	if _, err := io.Copy(&text, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
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
		worker.Crash()
		s.workerServers[w].CloseClientConnections() // those of a process end with it
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
		row := s.rows[w]
		s.store.Delete(row.key)
		until(func() { s.store.Put(row.key, row.value) })
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
				s.submit(client, random)
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
	counts := map[int]int{}
	for id, statuses := range s.statuses {
		for _, status := range statuses {
			counts[status]++
		}
		refused := !slices.ContainsFunc(statuses, func(n int) bool { return n != http.StatusServiceUnavailable })
		if refused && s.ledger.Starts(id+".0.0.0") > 0 {
			s.t.Errorf("job %s was refused, but ran", id)
		}
		if slices.Contains(statuses, http.StatusOK) && s.ledger.Starts(id+".0.0.0") == 0 {
			s.t.Errorf("job %s succeeded, but never ran", id)
		}
	}
	s.t.Logf("%d jobs, responses by status: %v", len(s.statuses), counts)
}

// waitRecovered resumes paused instances and waits until a job succeeds at each
// instance.
func (s *soak) waitRecovered() {
	s.t.Helper()
	client := &http.Client{}
	for _, i := range s.instances {
		_ = i.process().cmd.Process.Signal(syscall.SIGCONT)
		waitFor(s.t, "a job succeeds at "+i.name, func() bool {
			id := fmt.Sprintf("%016x", s.jobCount.Add(1))
			return s.post(client, id, i.callersAddr, 1) == http.StatusOK
		})
	}
}

func TestFleetSoak(t *testing.T) {
	seeds, lasts := soakSeeds, defaultSoakTime
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

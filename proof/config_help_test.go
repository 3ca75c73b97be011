package proof

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"foxtailmux/config"
)

const (
	// maxInForceDelay bounds the time from the acceptance of a version until
	// every reachable instance has it in force.
	maxInForceDelay = 9 * time.Second

	watchPeriod   = 10 * time.Millisecond
	exampleFolder = "../config/testdata/example"
)

// seedOf returns the seed of a test, FOXTAILMUX_SEED or 1, and logs it.
func seedOf(t *testing.T) uint64 {
	t.Helper()

	seed := uint64(1)
	if text := os.Getenv("FOXTAILMUX_SEED"); text != "" {
		parsed, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		seed = parsed
	}
	t.Logf("FOXTAILMUX_SEED=%d", seed)
	return seed
}

// newRandom returns a random source with the seed of the test.
func newRandom(t *testing.T) *rand.Rand {
	t.Helper()

	return rand.New(rand.NewPCG(seedOf(t), 0))
}

// configFolder returns a copy of the example configuration with one more file.
func configFolder(t *testing.T, text string) string {
	t.Helper()

	dir := t.TempDir()
	if err := os.CopyFS(dir, os.DirFS(exampleFolder)); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(dir, "zz.yaml"), []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return dir
}

// numberedFolder returns a configuration folder whose content depends on n.
func numberedFolder(t *testing.T, n int) string {
	t.Helper()
	return configFolder(t, fmt.Sprintf("limits:\n  maxOpenJobs: %d\n", 1000+n))
}

// commandError is the output of a config command that fails.
type commandError struct {
	Error struct {
		Kind   config.Kind   `json:"kind"`
		Reason string        `json:"reason"`
		Winner *config.Entry `json:"winner"`
	} `json:"error"`
}

// applyFolder runs config apply and returns its result or its error.
func applyFolder(t *testing.T, platform, folder string, flags ...string) (config.ApplyResult, *commandError) {
	t.Helper()

	args := append([]string{"config", "apply", folder, "--json", "--why", "proof", "--platform", platform}, flags...)
	got := runCommand(t, args...)
	if got.code == 0 {
		var applied config.ApplyResult
		decodeOutput(t, got, &applied)
		return applied, nil
	}
	var refused commandError
	decodeOutput(t, got, &refused)
	if got.code != 1 {
		t.Errorf("exit code %d: %+v", got.code, got)
	}
	return config.ApplyResult{}, &refused
}

// mustApply applies a folder as a new version and returns the version's number.
func mustApply(t *testing.T, platform, folder string, flags ...string) int64 {
	t.Helper()

	applied, refused := applyFolder(t, platform, folder, flags...)
	if refused != nil || applied.Unchanged {
		t.Fatalf("apply: %+v %+v", applied, refused)
	}
	return applied.Entry.Number
}

func decodeOutput(t *testing.T, f commandResult, into any) {
	t.Helper()
	if err := json.Unmarshal([]byte(f.stdout), into); err != nil {
		t.Fatalf("%v in %+v", err, f)
	}
}

// mustHaveHistory checks with config history that the chain of versions is intact
// and has that many entries, and returns them.
func mustHaveHistory(t *testing.T, platform string, count int) []config.Entry {
	t.Helper()

	got := runCommand(t, "config", "history", "--changes", "--json", "--platform", platform)
	var r config.HistoryReport
	decodeOutput(t, got, &r)
	if got.code != 0 || !r.Verified || len(r.Entries) != count {
		t.Fatalf("code %d, verified %t, %d entries, want %d: %v", got.code, r.Verified, len(r.Entries), count, r.Problems)
	}
	return r.Entries
}

// versionSeen is the time at which an instance first reported a version.
type versionSeen struct {
	number int64
	at     time.Time
}

// configWatcher polls the instances for the version that they have in force. It
// fails the test if an instance goes back to a lower version, or if two documents
// have the same version number.
type configWatcher struct {
	t    *testing.T
	http http.Client

	mu      sync.Mutex
	seen    map[string][]versionSeen // by instance
	digests map[int64]string

	stopped atomic.Bool
	pollers sync.WaitGroup
}

func watchConfig(t *testing.T, entries ...*process) *configWatcher {
	t.Helper()

	w := &configWatcher{
		t:       t,
		http:    http.Client{Timeout: time.Second},
		seen:    map[string][]versionSeen{},
		digests: map[int64]string{},
	}
	for _, p := range entries {
		w.add(p)
	}
	t.Cleanup(w.stop)
	return w
}

// add polls an instance until its process ends. A process that replaces it under
// the same name must not start with a lower version.
func (w *configWatcher) add(p *process) {
	addr := p.field("operators")
	w.pollers.Go(func() {
		for !w.stopped.Load() && !p.ended() {
			if s, err := w.status(addr); err == nil && s.Version > 0 {
				w.record(s)
			}
			time.Sleep(watchPeriod)
		}
	})
}

func (w *configWatcher) stop() {
	w.stopped.Store(true)
	w.pollers.Wait()
}

func (w *configWatcher) status(addr string) (config.Status, error) {
	var s config.Status
	response, err := w.http.Get("http://" + addr + config.StatusPath)
	if err != nil {
		return s, err
	}
	defer func() { _ = response.Body.Close() }()
	return s, json.NewDecoder(response.Body).Decode(&s)
}

// record checks a status against those before and stores a new version.
func (w *configWatcher) record(s config.Status) {
	w.mu.Lock()
	defer w.mu.Unlock()

	if known, ok := w.digests[s.Version]; ok && known != s.Digest {
		w.t.Errorf("version %d has the digests %s and, on %s, %s", s.Version, known, s.Instance, s.Digest)
	}
	w.digests[s.Version] = s.Digest

	list := w.seen[s.Instance]
	last := int64(0)
	if len(list) > 0 {
		last = list[len(list)-1].number
	}
	if s.Version < last {
		w.t.Errorf("%s went back from version %d to %d", s.Instance, last, s.Version)
	}
	if s.Version > last {
		w.seen[s.Instance] = append(list, versionSeen{s.Version, time.Now()})
	}
}

// firstSeen returns when an instance first reported that version or a later one.
func (w *configWatcher) firstSeen(name string, number int64) (time.Time, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()

	for _, s := range w.seen[name] {
		if s.number >= number {
			return s.at, true
		}
	}
	return time.Time{}, false
}

// mustReach waits until the instances have the version or a later one in force, and
// checks that each had it at most maxInForceDelay after since. It returns the time
// that the last one took.
func (w *configWatcher) mustReach(number int64, since time.Time, entries ...*process) time.Duration {
	w.t.Helper()

	var longest time.Duration
	for _, p := range entries {
		waitFor(w.t, fmt.Sprintf("version %d at %s", number, p.name), func() bool {
			_, ok := w.firstSeen(p.name, number)
			return ok
		})
		at, _ := w.firstSeen(p.name, number)
		took := at.Sub(since)
		longest = max(longest, took)
		if took > maxInForceDelay {
			w.t.Errorf("%s had version %d in force after %v", p.name, number, took)
		}
	}
	return longest
}

// mustKeep checks that the instances have exactly that version in force.
func (w *configWatcher) mustKeep(number int64, entries ...*process) {
	w.t.Helper()

	for _, p := range entries {
		s, err := w.status(p.field("operators"))
		if err != nil || s.Version != number {
			w.t.Errorf("%s has version %d in force, want %d: %v", p.name, s.Version, number, err)
		}
	}
}

// statusOf returns the configuration status that an instance reports.
func (w *configWatcher) statusOf(p *process) config.Status {
	w.t.Helper()

	s, err := w.status(p.field("operators"))
	if err != nil {
		w.t.Fatal(err)
	}
	return s
}

// tcpProxy forwards TCP connections to an address. While it simulates a network
// partition, it drops all bytes and keeps the connections open.
type tcpProxy struct {
	target      string
	listener    net.Listener
	partitioned atomic.Bool
	bytes       atomic.Int64 // forwarded in both directions, without packet headers
	group       conc.WaitGroup

	mu    sync.Mutex
	conns []net.Conn
}

func startTCPProxy(t *testing.T, target string) *tcpProxy {
	t.Helper()

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &tcpProxy{target: target, listener: listener}
	p.group.Go(p.accept)
	t.Cleanup(func() {
		_ = listener.Close()
		p.closeAll()
		p.group.Wait()
	})
	return p
}

func (p *tcpProxy) addr() string { return p.listener.Addr().String() }

func (p *tcpProxy) accept() {
	for {
		near, err := p.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		p.track(near)
		far, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = near.Close()
			continue
		}
		p.track(far)
		p.group.Go(func() { p.forward(near, far) })
		p.group.Go(func() { p.forward(far, near) })
	}
}

func (p *tcpProxy) track(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns = append(p.conns, c)
}

func (p *tcpProxy) forward(from, to net.Conn) {
	defer func() { _ = to.Close() }()
	_, _ = io.Copy(partitionableConn{to, p}, from)
}

// partitionableConn drops the bytes written to it during a partition.
type partitionableConn struct {
	net.Conn
	proxy *tcpProxy
}

// Write forwards bytes, or drops them during a partition.
func (c partitionableConn) Write(b []byte) (int, error) {
	if c.proxy.partitioned.Load() {
		return len(b), nil
	}
	c.proxy.bytes.Add(int64(len(b)))
	return c.Conn.Write(b)
}

func (p *tcpProxy) partition() { p.partitioned.Store(true) }

// heal ends the partition. It closes all connections, since they may have lost
// bytes.
func (p *tcpProxy) heal() {
	p.closeAll()
	p.partitioned.Store(false)
}

func (p *tcpProxy) closeAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		_ = c.Close()
	}
	p.conns = nil
}

// lossyProxy forwards requests to the platform. It drops the responses to some
// writes, which the platform has then executed.
type lossyProxy struct {
	target        string
	server        *httptest.Server
	lostResponses atomic.Int64

	mu     sync.Mutex
	toLose map[string]int // number of responses that are still to be dropped, by the prefix of the path
}

func startLossyProxy(t *testing.T, target string) *lossyProxy {
	t.Helper()

	p := &lossyProxy{target: target, toLose: map[string]int{}}
	p.server = httptest.NewServer(http.HandlerFunc(p.serve))
	t.Cleanup(p.server.Close)
	return p
}

func (p *lossyProxy) addr() string { return p.server.Listener.Addr().String() }

// loseResponses drops the responses to the next count writes below the path.
func (p *lossyProxy) loseResponses(path string, count int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.toLose[path] = count
}

func (p *lossyProxy) losesResponse(r *http.Request) bool {
	p.mu.Lock()
	defer p.mu.Unlock()

	for path, count := range p.toLose {
		if r.Method != http.MethodGet && strings.HasPrefix(r.URL.Path, path) && count > 0 {
			p.toLose[path]--
			return true
		}
	}
	return false
}

func (p *lossyProxy) serve(w http.ResponseWriter, r *http.Request) {
	onward := r.Clone(r.Context())
	onward.RequestURI = ""
	onward.URL.Scheme, onward.URL.Host = "http", p.target
	response, err := http.DefaultTransport.RoundTrip(onward)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = response.Body.Close() }()
	if p.losesResponse(r) {
		p.lostResponses.Add(1)
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(response.StatusCode)
	_, _ = io.Copy(w, response.Body)
}

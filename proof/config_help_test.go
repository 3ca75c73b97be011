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
	// inForceBound is the time from the acceptance of a version to the moment
	// that every instance in reach has it in force.
	inForceBound = 9 * time.Second

	watchPeriod   = 10 * time.Millisecond
	exampleFolder = "../config/testdata/example"
)

// seedOf returns the seed of a test, from FOXTAILMUX_SEED or 1, and logs it.
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

// seeded returns a source of random choices.
func seeded(t *testing.T) *rand.Rand {
	t.Helper()

	return rand.New(rand.NewPCG(seedOf(t), 0))
}

// confFolder returns a copy of the example with one more file.
func confFolder(t *testing.T, text string) string {
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

// numbered returns a folder whose document differs with n.
func numbered(t *testing.T, n int) string {
	t.Helper()
	return confFolder(t, fmt.Sprintf("limits:\n  maxOpenJobs: %d\n", 1000+n))
}

// refusal is what a config command prints when it fails.
type refusal struct {
	Error struct {
		Kind   config.Kind   `json:"kind"`
		Reason string        `json:"reason"`
		Winner *config.Entry `json:"winner"`
	} `json:"error"`
}

// applyFolder runs the apply command and returns its entry or its refusal.
func applyFolder(t *testing.T, platform, folder string, flags ...string) (config.ApplyResult, *refusal) {
	t.Helper()

	args := append([]string{"config", "apply", folder, "--json", "--why", "proof", "--platform", platform}, flags...)
	got := command(t, args...)
	if got.code == 0 {
		var applied config.ApplyResult
		decode(t, got, &applied)
		return applied, nil
	}
	var refused refusal
	decode(t, got, &refused)
	if got.code != 1 {
		t.Errorf("exit code %d: %+v", got.code, got)
	}
	return config.ApplyResult{}, &refused
}

// mustApply makes a folder the next version and returns its number.
func mustApply(t *testing.T, platform, folder string, flags ...string) int64 {
	t.Helper()

	applied, refused := applyFolder(t, platform, folder, flags...)
	if refused != nil || applied.Unchanged {
		t.Fatalf("apply: %+v %+v", applied, refused)
	}
	return applied.Entry.Number
}

func decode(t *testing.T, f finished, into any) {
	t.Helper()
	if err := json.Unmarshal([]byte(f.stdout), into); err != nil {
		t.Fatalf("%v in %+v", err, f)
	}
}

// mustHaveHistory checks the chain by the command and returns its entries.
func mustHaveHistory(t *testing.T, platform string, count int) []config.Entry {
	t.Helper()

	got := command(t, "config", "history", "--changes", "--json", "--platform", platform)
	var r config.HistoryReport
	decode(t, got, &r)
	if got.code != 0 || !r.Verified || len(r.Entries) != count {
		t.Fatalf("code %d, verified %t, %d entries, want %d: %v", got.code, r.Verified, len(r.Entries), count, r.Problems)
	}
	return r.Entries
}

// sighting is when an instance first showed a version.
type sighting struct {
	number int64
	at     time.Time
}

// configWatch asks every instance again and again what it has in force. It
// fails the test if a version falls, or if one number has two digests.
type configWatch struct {
	t    *testing.T
	http http.Client

	mu      sync.Mutex
	seen    map[string][]sighting // by instance
	digests map[int64]string

	stopped atomic.Bool
	workers sync.WaitGroup
}

func watchConfig(t *testing.T, entries ...*process) *configWatch {
	t.Helper()

	w := &configWatch{
		t:       t,
		http:    http.Client{Timeout: time.Second},
		seen:    map[string][]sighting{},
		digests: map[int64]string{},
	}
	for _, p := range entries {
		w.add(p)
	}
	t.Cleanup(w.stop)
	return w
}

// add watches an instance until its process ends. A new process under the
// same name goes on where the one before ended.
func (w *configWatch) add(p *process) {
	addr := p.field("operators")
	w.workers.Go(func() {
		for !w.stopped.Load() && !p.ended() {
			if s, err := w.status(addr); err == nil && s.Version > 0 {
				w.note(s)
			}
			time.Sleep(watchPeriod)
		}
	})
}

func (w *configWatch) stop() {
	w.stopped.Store(true)
	w.workers.Wait()
}

func (w *configWatch) status(addr string) (config.Status, error) {
	var s config.Status
	response, err := w.http.Get("http://" + addr + config.StatusPath)
	if err != nil {
		return s, err
	}
	defer func() { _ = response.Body.Close() }()
	return s, json.NewDecoder(response.Body).Decode(&s)
}

func (w *configWatch) note(s config.Status) {
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
		w.t.Errorf("%s fell from version %d to %d", s.Instance, last, s.Version)
	}
	if s.Version > last {
		w.seen[s.Instance] = append(list, sighting{s.Version, time.Now()})
	}
}

// inForce returns when an instance first showed that version or a later one.
func (w *configWatch) inForce(name string, number int64) (time.Time, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()

	for _, s := range w.seen[name] {
		if s.number >= number {
			return s.at, true
		}
	}
	return time.Time{}, false
}

// mustReach waits until the instances have the version in force and checks
// that it took no longer than the bound.
func (w *configWatch) mustReach(number int64, since time.Time, entries ...*process) time.Duration {
	w.t.Helper()

	var longest time.Duration
	for _, p := range entries {
		waitFor(w.t, fmt.Sprintf("version %d at %s", number, p.name), func() bool {
			_, ok := w.inForce(p.name, number)
			return ok
		})
		at, _ := w.inForce(p.name, number)
		took := at.Sub(since)
		longest = max(longest, took)
		if took > inForceBound {
			w.t.Errorf("%s had version %d in force after %v", p.name, number, took)
		}
	}
	return longest
}

// mustKeep checks that the instances have exactly that version in force.
func (w *configWatch) mustKeep(number int64, entries ...*process) {
	w.t.Helper()

	for _, p := range entries {
		s, err := w.status(p.field("operators"))
		if err != nil || s.Version != number {
			w.t.Errorf("%s has version %d in force, want %d: %v", p.name, s.Version, number, err)
		}
	}
}

// statusOf returns what an instance says of its configuration.
func (w *configWatch) statusOf(p *process) config.Status {
	w.t.Helper()

	s, err := w.status(p.field("operators"))
	if err != nil {
		w.t.Fatal(err)
	}
	return s
}

// wire forwards TCP connections to an address. While it is cut, bytes are
// lost both ways and connections stay open.
type wire struct {
	target   string
	listener net.Listener
	isCut    atomic.Bool
	bytes    atomic.Int64 // both ways, without the headers of packets
	group    conc.WaitGroup

	mu    sync.Mutex
	conns []net.Conn
}

func startWire(t *testing.T, target string) *wire {
	t.Helper()

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	w := &wire{target: target, listener: listener}
	w.group.Go(w.accept)
	t.Cleanup(func() {
		_ = listener.Close()
		w.closeAll()
		w.group.Wait()
	})
	return w
}

func (w *wire) addr() string { return w.listener.Addr().String() }

func (w *wire) accept() {
	for {
		near, err := w.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		w.keep(near)
		far, err := net.Dial("tcp", w.target)
		if err != nil {
			_ = near.Close()
			continue
		}
		w.keep(far)
		w.group.Go(func() { w.forward(near, far) })
		w.group.Go(func() { w.forward(far, near) })
	}
}

func (w *wire) keep(c net.Conn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.conns = append(w.conns, c)
}

func (w *wire) forward(from, to net.Conn) {
	defer func() { _ = to.Close() }()
	_, _ = io.Copy(lossy{to, w}, from)
}

// lossy drops what is written while the wire is cut.
type lossy struct {
	net.Conn
	wire *wire
}

// Write passes bytes on unless the wire is cut.
func (l lossy) Write(p []byte) (int, error) {
	if l.wire.isCut.Load() {
		return len(p), nil
	}
	l.wire.bytes.Add(int64(len(p)))
	return l.Conn.Write(p)
}

func (w *wire) cut() { w.isCut.Store(true) }

// heal lets new connections through; those that lost bytes are closed.
func (w *wire) heal() {
	w.closeAll()
	w.isCut.Store(false)
}

func (w *wire) closeAll() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, c := range w.conns {
		_ = c.Close()
	}
	w.conns = nil
}

// forgetful passes requests on to the platform and loses the answers of some
// writes after they took effect.
type forgetful struct {
	target string
	server *httptest.Server
	lost   atomic.Int64

	mu   sync.Mutex
	left map[string]int // answers still to be lost, by the start of the path
}

func startForgetful(t *testing.T, target string) *forgetful {
	t.Helper()

	f := &forgetful{target: target, left: map[string]int{}}
	f.server = httptest.NewServer(http.HandlerFunc(f.serve))
	t.Cleanup(f.server.Close)
	return f
}

func (f *forgetful) addr() string { return f.server.Listener.Addr().String() }

func (f *forgetful) lose(path string, count int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.left[path] = count
}

func (f *forgetful) loses(r *http.Request) bool {
	f.mu.Lock()
	defer f.mu.Unlock()

	for path, count := range f.left {
		if r.Method != http.MethodGet && strings.HasPrefix(r.URL.Path, path) && count > 0 {
			f.left[path]--
			return true
		}
	}
	return false
}

func (f *forgetful) serve(w http.ResponseWriter, r *http.Request) {
	onward := r.Clone(r.Context())
	onward.RequestURI = ""
	onward.URL.Scheme, onward.URL.Host = "http", f.target
	response, err := http.DefaultTransport.RoundTrip(onward)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = response.Body.Close() }()
	if f.loses(r) {
		f.lost.Add(1)
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(response.StatusCode)
	_, _ = io.Copy(w, response.Body)
}

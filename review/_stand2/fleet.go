package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"foxtailmux/platform/stand"
)

// StoreRows is the platform's store.
type StoreRows = stand.Store

var (
	noteMu sync.Mutex
	notes  io.Writer = os.Stdout
	noteT0           = time.Now()
)

// Note writes a line to the record.
func Note(format string, args ...any) {
	noteMu.Lock()
	defer noteMu.Unlock()
	_, _ = fmt.Fprintf(notes, "%8.3f %s\n", time.Since(noteT0).Seconds(), fmt.Sprintf(format, args...))
}

// Fleet is a small deployment: the store, workers and entry instances.
type Fleet struct {
	Store     *StoreRows
	Ledger    *Ledger
	Workers   []*Worker
	Instances []*Instance
	Routes    []Route
	version   int
	binary    string
	dir       string

	mu    sync.Mutex
	links map[[2]string]*PeerProxy // between instances, and from instances to workers
}

// Route is a queue of the configuration.
type Route struct {
	Name, Host, Prefix, Service string
	Attempts                    int
}

// Instance is an entry instance of the program under test.
type Instance struct {
	Name, Zone                       string
	Callers, Ready, Peers, Operators string
	Metrics                          string
	StoreLink                        *Proxy
	settings                         string
	fleet                            *Fleet

	mu      sync.Mutex
	cmd     *exec.Cmd
	gone    chan struct{}
	want    bool // it is to be restarted when it ends
	Ends    int  // how often it ended by itself
	stopped bool
}

// NewFleet returns a fleet without workers and instances.
func NewFleet(binary string) *Fleet {
	dir, err := os.MkdirTemp("", "stand2-")
	if err != nil {
		panic(err)
	}
	return &Fleet{Store: stand.NewStore(), Ledger: NewLedger(), binary: binary, dir: dir, links: map[[2]string]*PeerProxy{}}
}

// PutConfig writes the next version of the configuration.
func (f *Fleet) PutConfig() {
	f.version += 3
	var routes []map[string]any
	services := map[string]bool{}
	for _, r := range f.Routes {
		routes = append(routes, map[string]any{
			"name": r.Name, "host": r.Host, "path-prefix": r.Prefix, "backend": r.Service, "timeout-ms": 30000, "slo-ms": 1500,
			"priority": 0, "attempts": r.Attempts, "stretch": 3,
		})
		services[r.Service] = true
	}
	var list []map[string]any
	for s := range services {
		list = append(list, map[string]any{"name": s, "max-conns": 64, "admission-check": false})
	}
	f.Store.Put("op/config", encode(map[string]any{
		"version": f.version, "routes": routes, "services": list,
		"limits": map[string]any{"max-body-bytes": 262144, "max-header-bytes": 16384},
	}))
	Note("config %d: %d routes", f.version, len(routes))
}

// AddWorker adds a worker and starts it.
func (f *Fleet) AddWorker(id, zone, service string, milliCores int, labels ...string) *Worker {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	w := &Worker{ID: id, Addr: l.Addr().String(), Zone: zone, Service: service, Labels: labels, MilliCores: milliCores, ledger: f.Ledger, store: f.Store, listener: l}
	w.Boot()
	w.server = &http.Server{Handler: w, ErrorLog: nil}
	go func() { _ = w.server.Serve(l) }()
	go func() {
		for {
			w.Report()
			time.Sleep(1500 * time.Millisecond)
		}
	}()
	f.Workers = append(f.Workers, w)
	return w
}

// Ports of instances are below the range from which the kernel picks those of outgoing connections, so that no
// connection takes the port of an instance that is being restarted.
const (
	minPort = 20_000
	maxPort = 32_000
)

var givenPorts = map[int]bool{}

func freePort() string {
	for {
		port := minPort + int(rand.Uint32N(maxPort-minPort))
		addr := fmt.Sprintf("127.0.0.1:%d", port)
		if givenPorts[port] {
			continue
		}
		l, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		c, err := net.ListenPacket("udp", addr)
		_ = l.Close()
		if err == nil {
			_ = c.Close()
			givenPorts[port] = true
			return addr
		}
	}
}

// link returns the proxy from an instance to an address, whose owner is named.
func (f *Fleet) link(from, to, addr string) *PeerProxy {
	f.mu.Lock()
	defer f.mu.Unlock()
	k := [2]string{from, to}
	if f.links[k] == nil {
		f.links[k] = NewPeerProxy(addr)
	}
	return f.links[k]
}

// Links returns the links for which choose returns true.
func (f *Fleet) Links(choose func(from, to string) bool) []*PeerProxy {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []*PeerProxy
	for k, p := range f.links {
		if choose(k[0], k[1]) {
			list = append(list, p)
		}
	}
	return list
}

// view returns the value of a row as an instance reads it: others have the addresses of links.
func (f *Fleet) view(reader, key string, value []byte) []byte {
	table, name, _ := strings.Cut(key, "/")
	field := map[string]string{"nodes": "addr", "servers": "address"}[table]
	if field == "" || name == reader || len(value) == 0 {
		return value
	}
	var row map[string]any
	if json.Unmarshal(value, &row) != nil {
		return value
	}
	addr, ok := row[field].(string)
	if !ok {
		return value
	}
	row[field] = f.link(reader, name, addr).Addr()
	return []byte(encode(row))
}

// AddInstance adds an entry instance and starts it.
func (f *Fleet) AddInstance(name, zone, extra string) *Instance {
	h := f.Store.View(func(key string, value []byte) []byte { return f.view(name, key, value) })
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	go func() { _ = http.Serve(l, h) }()
	i := &Instance{
		Name: name, Zone: zone, Callers: freePort(), Ready: freePort(), Peers: freePort(), Operators: freePort(), Metrics: freePort(),
		StoreLink: NewProxy(l.Addr().String()), settings: filepath.Join(f.dir, name+".yaml"), fleet: f,
	}
	text := fmt.Sprintf(`instance: %s
dataCentre: %s
callers:
  addr: %s
  readyAddr: %s
  maxBodyBytes: 1048576
  maxConnections: 2000
operators:
  addr: %s
  metricsAddr: %s
peers:
  addr: %s
platform:
  addr: %s
  adapter: users
  timeout: 1s
  maxLease: 1000ms
limits:
  processor: 0.4
  link: %s
placement:
  speeds: true
stop:
  drainDelay: 2200ms
  limit: 5700ms
`, name, zone, i.Callers, i.Ready, i.Operators, i.Metrics, i.Peers, i.StoreLink.Addr(), extra)
	if err := os.WriteFile(i.settings, []byte(text), 0o600); err != nil {
		panic(err)
	}
	f.Instances = append(f.Instances, i)
	i.Start()
	return i
}

// Start starts the process, which is started again when it ends.
func (i *Instance) Start() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.want = true
	i.startLocked()
}

func (i *Instance) startLocked() {
	log, err := os.OpenFile(filepath.Join(i.fleet.dir, i.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		panic(err)
	}
	cmd := exec.Command(i.fleet.binary, "serve")
	cmd.Env = []string{
		"PATH=/usr/bin:/bin", "HOME=" + i.fleet.dir, "FOXTAILMUX_CONFIG=" + i.settings,
		"GOGC=200", "FOXTAILMUX_LIMITS_MEMORY=284", "FOXTAILMUX_LIMITS_DESCRIPTORS=4100", "FOXTAILMUX_PLACEMENT_FARFACTOR=1.5",
	}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		panic(err)
	}
	gone := make(chan struct{})
	i.cmd, i.gone = cmd, gone
	go func() {
		err := cmd.Wait()
		_ = log.Close()
		close(gone)
		i.mu.Lock()
		defer i.mu.Unlock()
		if i.cmd == cmd && i.want {
			i.Ends++
			i.fleet.Ledger.Break("FAULT", "%s ended by itself: %v", i.Name, err)
			time.Sleep(200 * time.Millisecond)
			i.startLocked()
		}
	}()
}

// Signal sends a signal.
func (i *Instance) Signal(s syscall.Signal) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.cmd != nil {
		_ = i.cmd.Process.Signal(s)
	}
}

// Kill ends the process.
func (i *Instance) Kill() {
	i.mu.Lock()
	i.want = false
	gone := i.gone
	_ = i.cmd.Process.Kill()
	i.mu.Unlock()
	<-gone
}

// Terminate stops the process, after grace with SIGKILL.
func (i *Instance) Terminate(grace time.Duration) {
	i.mu.Lock()
	i.want = false
	gone := i.gone
	_ = i.cmd.Process.Signal(syscall.SIGTERM)
	i.mu.Unlock()
	select {
	case <-gone:
	case <-time.After(grace):
		_ = i.cmd.Process.Kill()
		<-gone
	}
}

// Pid returns the process id.
func (i *Instance) Pid() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.cmd.Process.Pid
}

// Close ends all processes.
func (f *Fleet) Close(keep bool) {
	for _, i := range f.Instances {
		i.Signal(syscall.SIGCONT)
		i.Kill()
	}
	if !keep {
		_ = os.RemoveAll(f.dir)
	}
}

// HomeOf returns the instance that the store names as the home of a zone.
func (f *Fleet) HomeOf(zone string) *Instance {
	var row struct {
		Instance string `json:"instance"`
	}
	_ = json.Unmarshal([]byte(f.Store.Get("homes/"+zone)), &row)
	for _, i := range f.Instances {
		if i.Name == row.Instance {
			return i
		}
	}
	return nil
}

// IsReady asks as the balancer does.
func (i *Instance) IsReady() bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + i.Ready + "/-/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == 200
}

// AwaitReady waits until all instances are ready and each zone has a home.
func (f *Fleet) AwaitReady(zones ...string) bool {
	until := time.Now().Add(25 * time.Second)
	for time.Now().Before(until) {
		ok := true
		for _, i := range f.Instances {
			ok = ok && i.IsReady()
		}
		for _, z := range zones {
			ok = ok && f.HomeOf(z) != nil
		}
		if ok {
			time.Sleep(1500 * time.Millisecond)
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

// Answer is what a client gets for one attempt. The status is 0 without an answer.
type Answer struct {
	Status int
	State  string
	Err    error
	Took   time.Duration
	At     string
}

// Submit hands a job in once, on a connection of its own.
func (i *Instance) Submit(ctx context.Context, j *Job) Answer {
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, j.Timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+i.Callers+j.Prefix+j.ID, strings.NewReader(j.body()))
	if err != nil {
		panic(err)
	}
	req.Host = j.Host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Timeout-Ms", strconv.FormatInt(j.Timeout.Milliseconds(), 10))
	t := &http.Transport{DisableKeepAlives: true}
	defer t.CloseIdleConnections()
	Note("send %s to %s", j.ID, i.Name)
	resp, err := (&http.Client{Transport: t}).Do(req)
	a := Answer{At: i.Name}
	if err == nil {
		var text []byte
		text, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err == nil {
			a.Status = resp.StatusCode
			var body struct {
				State string `json:"state"`
			}
			_ = json.NewDecoder(bytes.NewReader(text)).Decode(&body)
			a.State = body.State
			if a.State == "" {
				a.State = strings.TrimSpace(string(text[:min(len(text), 120)]))
			}
		}
	}
	a.Err, a.Took = err, time.Since(began)
	if err != nil && errors.Is(err, context.DeadlineExceeded) {
		a.Err = errors.New("no answer in time")
	}
	Note("answer %s from %s: %d %s %v after %d ms", j.ID, i.Name, a.Status, a.State, a.Err, a.Took.Milliseconds())
	return a
}

// Check compares the answers of a job with what ran, after the end of the job.
func (f *Fleet) Check(j *Job, answers []Answer) {
	rejected := len(answers) > 0
	for _, a := range answers {
		if a.Status == 200 && a.State == "succeeded" && !f.Ledger.AllDone(j) {
			f.Ledger.Break("MIXED", "%s is shown as succeeded, and not all tasks are done", j.ID)
		}
		rejected = rejected && (a.Status == 429 || a.Status == 503 || a.Status == 404)
	}
	if rejected && f.Ledger.Started(j.ID) > 0 {
		f.Ledger.Break("REFUSED", "%s was rejected and ran", j.ID)
	}
}

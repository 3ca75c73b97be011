package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	unable = 2
)

// env is what a case runs on: stand-ins and processes of the project.
type env struct {
	trouble   bool
	tmp       string
	rec       *record
	store     *store
	jobs      *jobBook
	workers   []*worker
	instances []*instance
	network   string // first three bytes of the instances' addresses
}

// instance is one process of the project.
type instance struct {
	env                  *env
	name, zone, ip       string
	front, ready         string
	control, peers, file string
	proxy                *proxy
	cmd                  *exec.Cmd
	done                 chan struct{}
}

func newEnv(dir string) *env {
	rec, err := newRecord(filepath.Join(dir, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(unable)
	}
	e := &env{trouble: os.Getenv("TROUBLE") != "0", rec: rec, jobs: &jobBook{jobs: map[string]*jobSpec{}}}
	if e.tmp, err = os.MkdirTemp("", "review"); err != nil {
		e.fail("%v", err)
	}
	if e.store, err = startStore(); err != nil {
		e.fail("%v", err)
	}
	e.network = fmt.Sprintf("127.%d.%d", 20+rand.Intn(200), 1+rand.Intn(250))
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		e.fail("interrupted")
	}()
	rec.note("trouble: %v", e.trouble)
	return e
}

// fail ends a case that could not run.
func (e *env) fail(format string, args ...any) {
	e.finish(unable, "%s", "could not run: "+fmt.Sprintf(format, args...))
}

// finish ends all processes and the case.
func (e *env) finish(code int, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	e.rec.note("RESULT %d: %s", code, text)
	fmt.Println(text)
	for _, in := range e.instances {
		in.kill()
	}
	if os.Getenv("KEEP") == "" && e.tmp != "" {
		_ = os.RemoveAll(e.tmp)
	}
	os.Exit(code)
}

// freePorts returns n different free addresses.
func freePorts(ip string, n int) []string {
	var list []string
	for range n {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return make([]string, n)
		}
		defer l.Close()
		list = append(list, l.Addr().String())
	}
	return list
}

// addInstance starts an instance. ViaProxy puts a proxy between it and the store.
func (e *env) addInstance(name, zone string, viaProxy bool) *instance {
	in := &instance{env: e, name: name, zone: zone, ip: fmt.Sprintf("%s.%d", e.network, 10+len(e.instances))}
	ports := freePorts(in.ip, 4)
	in.front, in.ready, in.control, in.peers = ports[0], ports[1], ports[2], ports[3]
	storeAddr := e.store.addr
	if viaProxy {
		p, err := startProxy(e.store.addr)
		if err != nil {
			e.fail("%v", err)
		}
		in.proxy, storeAddr = p, p.addr
	}
	template, err := os.ReadFile("deploy/settings.yaml")
	if err != nil {
		e.fail("%v", err)
	}
	_, peersPort, _ := net.SplitHostPort(in.peers)
	text := strings.NewReplacer(
		"{{node-name}}", name, "{{zone}}", zone, "{{listen.front}}", in.front, "{{listen.ready}}", in.ready,
		"{{listen.control}}", in.control, "{{ip}}", in.ip, "{{port-range.0}}", peersPort,
		"{{platform.address}}", storeAddr, "{{bounds.hold-max-ms}}", "1000",
		"{{bounds.far-x}}", "2", "{{limits.cpu-share}}", "0.4", "{{limits.link-mbps}}", "1000.0",
	).Replace(string(template))
	in.file = filepath.Join(e.tmp, name+".yaml")
	if err := os.WriteFile(in.file, []byte(text), 0o600); err != nil {
		e.fail("%v", err)
	}
	e.instances = append(e.instances, in)
	in.start()
	return in
}

// start runs the command of the deploy file.
func (in *instance) start() {
	log, err := os.OpenFile(filepath.Join(in.env.tmp, in.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		in.env.fail("%v", err)
	}
	in.cmd = exec.Command("target/foxtailmux", "serve")
	in.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "GOGC=200", "FOXTAILMUX_CONFIG=" + in.file}
	in.cmd.Stdout, in.cmd.Stderr = log, log
	in.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := in.cmd.Start(); err != nil {
		in.env.fail("start of the deploy file's command: %v", err)
	}
	in.done = make(chan struct{})
	cmd, done := in.cmd, in.done
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
	in.env.rec.note("instance %s of %s started, callers at %s", in.name, in.zone, in.front)
}

// kill sends SIGKILL and waits for the end of the process.
func (in *instance) kill() {
	if in.cmd == nil || in.cmd.Process == nil {
		return
	}
	_ = in.cmd.Process.Kill()
	<-in.done
}

// awaitReady waits until all instances are ready and each zone has a home.
func (e *env) awaitReady(zones ...string) {
	deadline := time.Now().Add(20 * time.Second)
	client := &http.Client{Timeout: time.Second}
	for _, in := range e.instances {
		for {
			resp, err := client.Get("http://" + in.ready + "/-/ready")
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				e.fail("%s is not ready", in.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	for _, z := range zones {
		for e.homeOf(z) == nil {
			if time.Now().After(deadline) {
				e.fail("%s has no home", z)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(5 * time.Second) // a steady state: homes in their own zones, all workers known
	for _, z := range zones {
		e.rec.note("home of %s: %s", z, e.homeOf(z).name)
	}
}

// homeOf returns the instance that the store names as the home of a zone. It is only used to
// choose the instances that a case talks to.
func (e *env) homeOf(zone string) *instance {
	var h struct {
		Instance string `json:"instance"`
	}
	if json.Unmarshal(e.store.get("homes", zone), &h) != nil {
		return nil
	}
	for _, in := range e.instances {
		if in.name == h.Instance {
			return in
		}
	}
	return nil
}

// route is a queue of the configuration.
type route struct {
	name, prefix string
}

const host = "q1.example"

// configure writes a configuration and returns when the store has acknowledged it.
func (e *env) configure(version int, routes ...route) time.Time {
	var list []map[string]any
	var names []string
	for i, r := range routes {
		list = append(list, map[string]any{
			"name": r.name, "host": host, "path-prefix": r.prefix, "type": "non_idempotent", "timeout-ms": 1500,
			"slo-ms": 60, "priority": i, "backend": service, "attempts": 2, "stretch": 1.6,
		})
		names = append(names, r.prefix)
	}
	e.store.put("op", "config", map[string]any{
		"version": version, "routes": list,
		"services": []map[string]any{{
			"name": service, "health-path": "/healthz", "max-conns": 64, "protocol": "h1", "tls": false,
			"admission-check": false, "standby": false,
		}},
		"limits": map[string]any{
			"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000,
		},
	})
	at := time.Now()
	e.rec.note("configuration %d acknowledged, routes %v", version, names)
	return at
}

// jobSpec is a job of one step. Work is how long each task really takes.
type jobSpec struct {
	id           string
	prefix       string
	tasks, cpu   int
	estimate     time.Duration
	work         time.Duration
	requires     string
	maxPerServer int
	timeout      time.Duration
}

// reply is what a client sees.
type reply struct {
	status int // 0 if there was no answer
	body   string
	err    error
	sent   time.Time
	took   time.Duration
}

func (r reply) String() string {
	if r.err != nil {
		return fmt.Sprintf("no answer (%v) after %d ms", r.err, r.took.Milliseconds())
	}
	return fmt.Sprintf("%d %s after %d ms", r.status, strings.TrimSpace(r.body), r.took.Milliseconds())
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// submit sends a job to an instance on a new channel and waits for the answer.
func (e *env) submit(in *instance, j jobSpec) reply {
	e.jobs.mu.Lock()
	e.jobs.jobs[j.id] = &j
	e.jobs.mu.Unlock()
	step := map[string]any{"replicas": j.tasks, "cpu": j.cpu, "mem-mb": 64, "estimate-ms": j.estimate.Milliseconds()}
	if j.requires != "" {
		step["requires"] = j.requires
	}
	if j.maxPerServer > 0 {
		step["max-per-server"] = j.maxPerServer
	}
	body, _ := json.Marshal(map[string]any{"spec": "work", "best-effort": true, "steps": []any{step}})
	return e.call(in, http.MethodPost, j.prefix+j.id, body, j.timeout)
}

// call sends one request of a client on a channel of its own.
func (e *env) call(in *instance, method, path string, body []byte, timeout time.Duration) reply {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+in.front+path, bytes.NewReader(body))
	if err != nil {
		return reply{err: err}
	}
	req.Host = host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Timeout-Ms", fmt.Sprint(timeout.Milliseconds()))
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	r := reply{sent: time.Now()}
	e.rec.note("client: %s %s to %s", method, path, in.name)
	resp, err := transport.RoundTrip(req)
	if err == nil {
		var b []byte
		b, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		r.status, r.body = resp.StatusCode, string(b)
	}
	r.err, r.took = err, time.Since(r.sent)
	e.rec.note("client: %s %s from %s: %v", method, path, in.name, r)
	return r
}

// proxy forwards channels to an address. Channels that are open at a silence go silent for good,
// without a reset; later ones work.
type proxy struct {
	addr   string
	target string
	mu     sync.Mutex
	quiet  []chan struct{}
}

func startProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{addr: l.Addr().String(), target: target}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return p, nil
}

func (p *proxy) serve(c net.Conn) {
	out, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = c.Close()
		return
	}
	quiet := make(chan struct{})
	p.mu.Lock()
	p.quiet = append(p.quiet, quiet)
	p.mu.Unlock()
	copyUntil := func(to, from net.Conn) {
		buffer := make([]byte, 64<<10)
		for {
			n, err := from.Read(buffer)
			select {
			case <-quiet:
				return // nothing passes any more, not even the end of the channel
			default:
			}
			if n > 0 {
				if _, err := to.Write(buffer[:n]); err != nil {
					_ = from.Close()
					return
				}
			}
			if err != nil {
				_ = to.Close()
				return
			}
		}
	}
	go copyUntil(out, c)
	copyUntil(c, out)
}

// silence makes all open channels go silent.
func (p *proxy) silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, q := range p.quiet {
		close(q)
	}
	p.quiet = nil
}

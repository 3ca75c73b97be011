package main

import (
	"bufio"
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
	"strings"
	"sync"
	"time"

	"foxtailmux/fakes"
	"foxtailmux/platform/stand"
)

// Ports of an instance. Each instance has a loopback address of its own, as the machines of a deployment do.
const (
	callersPort   = 28161
	readyPort     = 28167
	operatorsPort = 28166
	peersPort     = 27720
	metricsPort   = 9464 // fixed in the deploy file
)

// machine is what the platform knows of an entry machine.
type machine struct {
	name, dataCentre string
	linkMbps         float64
	cores            float64
	memoryMB         int
}

// fleet is a small deployment: the store, the workers, and entry instances as processes.
type fleet struct {
	dir       string // for settings and logs
	net       string // the first three bytes of all addresses
	store     *stand.Store
	storeAddr string
	ledger    *fakes.Ledger
	record    *record
	workers   []*worker
	instances []*instance
	closers   []func()
	version   int
}

// newFleet starts the store and writes the configuration.
func newFleet(r *record) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review3")
	if err != nil {
		return nil, err
	}
	f := &fleet{dir: dir, store: stand.NewStore(), ledger: fakes.NewLedger(), record: r}
	f.closers = append(f.closers, func() { _ = os.RemoveAll(dir) })
	if f.net, err = freeNet(); err != nil {
		return nil, err
	}
	addr, err := f.serve("1:0", f.store)
	f.storeAddr = addr
	return f, err
}

// freeNet returns the first three bytes of loopback addresses of which the ports of an instance are free.
func freeNet() (string, error) {
	for range 100 {
		prefix := fmt.Sprintf("127.%d.%d.", 1+rand.IntN(254), 1+rand.IntN(254))
		l, err := net.Listen("tcp", fmt.Sprintf("%s10:%d", prefix, metricsPort))
		if err == nil {
			return prefix, l.Close()
		}
	}
	return "", errors.New("no free loopback addresses")
}

// serve serves HTTP at an address below the fleet's first three bytes.
func (f *fleet) serve(addr string, h http.Handler) (string, error) {
	l, err := net.Listen("tcp", f.net+addr)
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h, ErrorLog: quiet}
	go func() { _ = server.Serve(l) }()
	f.closers = append(f.closers, func() { _ = server.Close() })
	return l.Addr().String(), nil
}

// putConfig writes the next version of the configuration.
func (f *fleet) putConfig(routes []map[string]any, services ...string) {
	f.version++
	list := []map[string]any{}
	for _, s := range services {
		list = append(list, map[string]any{"name": s, "health-path": "/healthz", "max-conns": 64, "admission-check": false})
	}
	text, _ := json.Marshal(map[string]any{
		"version": f.version, "routes": routes, "services": list,
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 262144},
	})
	f.store.Put("op/config", string(text))
}

// route returns a queue of the configuration.
func route(name, service string) map[string]any {
	return map[string]any{
		"name": name, "host": queueHost, "path-prefix": "/" + name + "/", "backend": service, "timeout-ms": 20000,
		"slo-ms": 60, "priority": 0, "attempts": 4, "stretch": 1.6,
	}
}

// instance is an entry instance, a process of the deploy file.
type instance struct {
	machine
	fleet    *fleet
	ip       string
	settings string

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

// smallMachine returns an entry machine like those of the sheet of Tihi Zvok.
func smallMachine(name string) machine {
	return machine{name: name, dataCentre: "osr-a", linkMbps: 1000, cores: 0.4, memoryMB: 284}
}

// addInstance starts an entry instance with the command, the template and the environment of the deploy file.
func (f *fleet) addInstance(m machine) (*instance, error) {
	i := &instance{machine: m, fleet: f, ip: fmt.Sprintf("%s%d", f.net, 10+len(f.instances))}
	template, err := os.ReadFile("deploy/settings.yaml")
	if err != nil {
		return nil, err
	}
	text := strings.NewReplacer(
		"{{node-name}}", m.name, "{{zone}}", m.dataCentre, "{{ip}}", i.ip,
		"{{listen.front}}", i.addr(callersPort), "{{listen.ready}}", i.addr(readyPort), "{{listen.control}}", i.addr(operatorsPort),
		"{{port-range.0}}", fmt.Sprint(peersPort), "{{platform.address}}", f.storeAddr, "{{bounds.hold-max-ms}}", "1000",
		"{{limits.cpu-share}}", fmt.Sprint(m.cores), "{{limits.link-mbps}}", fmt.Sprint(m.linkMbps),
	).Replace(string(template))
	if strings.Contains(text, "{{") {
		return nil, fmt.Errorf("the template has a field that this stand-in does not know:\n%s", text)
	}
	i.settings = filepath.Join(f.dir, m.name+".yaml")
	if err := os.WriteFile(i.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	f.instances = append(f.instances, i)
	return i, i.start()
}

func (i *instance) addr(port int) string { return fmt.Sprintf("%s:%d", i.ip, port) }

// start starts the process. Its log goes to the fleet's folder, and to stderr if REVIEW_LOG is set.
func (i *instance) start() error {
	cmd := exec.Command("target/foxtailmux", "serve")
	cmd.Env = []string{
		"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "FOXTAILMUX_CONFIG=" + i.settings,
		"GOGC=200", fmt.Sprintf("FOXTAILMUX_LIMITS_MEMORY=%d", i.memoryMB), "FOXTAILMUX_LIMITS_DESCRIPTORS=4100", "FOXTAILMUX_PLACEMENT_FARFACTOR=1.5",
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		return err
	}
	cmd.Stderr = cmd.Stdout
	if err := cmd.Start(); err != nil {
		return err
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.cmd, i.exited = cmd, make(chan struct{})
	go i.follow(out, cmd, i.exited)
	return nil
}

func (i *instance) follow(out io.Reader, cmd *exec.Cmd, exited chan struct{}) {
	lines := bufio.NewScanner(out)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		if os.Getenv("REVIEW_LOG") != "" {
			fmt.Fprintf(os.Stderr, "%s %s\n", i.name, lines.Text())
		}
	}
	_ = cmd.Wait()
	close(exited)
}

// signal sends a signal to the process.
func (i *instance) signal(s os.Signal) {
	i.mu.Lock()
	defer i.mu.Unlock()
	_ = i.cmd.Process.Signal(s)
}

// kill kills the process, if it was started, and waits for its end.
func (i *instance) kill() {
	if i.cmd == nil {
		return
	}
	i.signal(os.Kill)
	<-i.exited
}

// waitReady waits until the instance tells the balancer that it accepts connections.
func (i *instance) waitReady() error {
	for range 200 {
		resp, err := http.Get("http://" + i.addr(readyPort) + "/-/ready")
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("%s is not ready after 20 s", i.name)
}

// homeOf returns the instance that the store names as the home of a data centre.
func (f *fleet) homeOf(dataCentre string) *instance {
	var row struct {
		Instance string `json:"instance"`
	}
	_ = json.Unmarshal([]byte(f.store.Get("homes/"+dataCentre)), &row)
	for _, i := range f.instances {
		if i.name == row.Instance {
			return i
		}
	}
	return nil
}

// waitHome waits until a data centre has a home whose instance is ready.
func (f *fleet) waitHome(dataCentre string) (*instance, error) {
	for range 200 {
		if h := f.homeOf(dataCentre); h != nil {
			return h, h.waitReady()
		}
		time.Sleep(100 * time.Millisecond)
	}
	return nil, fmt.Errorf("%s has no home after 20 s", dataCentre)
}

// close ends all processes and stand-ins.
func (f *fleet) close() {
	for _, i := range f.instances {
		i.kill()
	}
	for _, w := range f.workers {
		w.close()
	}
	for _, c := range f.closers {
		c()
	}
}

// heartbeats writes the rows of all workers that are up every 1.5 s, spread over that time.
func (f *fleet) heartbeats(ctx context.Context) {
	for n, w := range f.workers {
		go func() {
			time.Sleep(heartbeatInterval * time.Duration(n) / time.Duration(len(f.workers)))
			ticker := time.NewTicker(heartbeatInterval)
			defer ticker.Stop()
			for {
				w.beat()
				select {
				case <-ticker.C:
				case <-ctx.Done():
					return
				}
			}
		}()
	}
}

// worker returns the worker with an id.
func (f *fleet) worker(id string) *worker {
	for _, w := range f.workers {
		if w.id == id {
			return w
		}
	}
	return nil
}

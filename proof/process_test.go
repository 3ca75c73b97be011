// Package proof checks the promises of the system over its real processes.
package proof

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// waitLimit bounds every wait for a condition. A test that reaches it fails.
const waitLimit = 60 * time.Second

// binaries is the folder of the programs under test.
var binaries string

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "foxtailmux-proof")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()

	binaries = dir
	build := exec.Command("go", "build", "-o", dir+string(filepath.Separator), "foxtailmux", "foxtailmux/cmd/...")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "build the programs:", err)
		return 1
	}
	return m.Run()
}

// process is a program that the test started. Its lines of output are JSON.
type process struct {
	t    *testing.T
	name string
	cmd  *exec.Cmd

	mu    sync.Mutex
	lines []map[string]any
	raw   []string
	exit  chan struct{} // closed when the process has ended
}

// start runs one of the programs. It is killed when the test ends.
func start(t *testing.T, name, program string, args ...string) *process {
	t.Helper()

	p := &process{t: t, name: name, exit: make(chan struct{})}
	p.cmd = exec.Command(filepath.Join(binaries, program), args...)
	p.cmd.Env = slices.DeleteFunc(os.Environ(), func(v string) bool {
		return strings.HasPrefix(v, "FOXTAILMUX_") // settings of the tests, not of the program
	})
	stdout, err := p.cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	stderr, err := p.cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}

	var readers sync.WaitGroup
	readers.Go(func() { p.read(stdout) })
	readers.Go(func() { p.read(stderr) })
	go func() {
		readers.Wait()
		_ = p.cmd.Wait()
		close(p.exit)
	}()
	t.Cleanup(p.cleanUp)
	return p
}

func (p *process) read(r io.Reader) {
	s := bufio.NewScanner(r)
	for s.Scan() {
		p.add(s.Text())
	}
}

func (p *process) add(text string) {
	var line map[string]any
	_ = json.Unmarshal([]byte(text), &line) // a line that is not JSON is only kept as text

	p.mu.Lock()
	defer p.mu.Unlock()
	p.raw = append(p.raw, text)
	if line != nil {
		p.lines = append(p.lines, line)
	}
}

// cleanUp ends a process that still runs and prints its log if the test failed.
func (p *process) cleanUp() {
	_ = p.cmd.Process.Signal(syscall.SIGCONT)
	_ = p.cmd.Process.Kill()

	if !p.t.Failed() {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, text := range p.raw {
		p.t.Logf("%s: %s", p.name, text)
	}
}

// send sends a signal to the process.
func (p *process) send(s syscall.Signal) {
	p.t.Helper()

	if err := p.cmd.Process.Signal(s); err != nil {
		p.t.Fatalf("signal %s: %v", p.name, err)
	}
}

// kill ends the process at once and waits for its end.
func (p *process) kill() {
	p.t.Helper()

	p.send(syscall.SIGKILL)
	p.waitExit()
}

func (p *process) ended() bool {
	select {
	case <-p.exit:
		return true
	default:
		return false
	}
}

// waitExit waits for the end of the process and returns its exit code.
func (p *process) waitExit() int {
	p.t.Helper()

	select {
	case <-p.exit:
		return p.cmd.ProcessState.ExitCode()
	case <-time.After(waitLimit):
		p.t.Fatalf("%s did not end", p.name)
		return -1
	}
}

// field waits for a line with the key and returns its value.
func (p *process) field(key string) string {
	p.t.Helper()

	var found string
	waitFor(p.t, p.name+" prints "+key, func() bool {
		gone := p.ended()
		value, ok := p.find(key)
		found = value
		return ok || gone
	})
	if found == "" {
		p.t.Fatalf("%s ended without printing %s", p.name, key)
	}
	return found
}

func (p *process) find(key string) (string, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()

	for _, line := range p.lines {
		if value, ok := line[key]; ok {
			return fmt.Sprint(value), true
		}
	}
	return "", false
}

// waitFor polls until the condition holds.
func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()

	limit := time.Now().Add(waitLimit)
	for !condition() {
		if time.Now().After(limit) {
			t.Fatalf("waited in vain: %s", what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// Package proof tests the guarantees of the system end to end. The programs run
// as processes; the platform and the workers are stand-ins, mostly in the process
// of the test.
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

	"golang.org/x/sys/unix"
)

// waitLimit bounds each wait for a condition; a test that reaches it fails.
const waitLimit = 60 * time.Second

// binDir is the folder of the programs under test, which TestMain builds unless FOXTAILMUX_BIN
// names a folder with programs that were built before, such as those of another commit.
var binDir string

func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	if dir := os.Getenv("FOXTAILMUX_BIN"); dir != "" {
		binDir = dir
		fmt.Fprintln(os.Stderr, "programs under test:", dir)
		return m.Run()
	}
	dir, err := os.MkdirTemp("", "foxtailmux-proof")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()

	binDir = dir
	build := exec.Command("go", "build", "-o", dir+string(filepath.Separator), "foxtailmux", "foxtailmux/cmd/...")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "build programs:", err)
		return 1
	}
	return m.Run()
}

// process is a program that a test has started. It logs in JSON, one object a
// line.
type process struct {
	t    *testing.T
	name string
	cmd  *exec.Cmd

	mu        sync.Mutex
	jsonLines []map[string]any
	rawLines  []string
	exited    chan struct{} // closed when the process has ended
}

// startProcess starts one of the programs. It is killed when the test ends.
func startProcess(t *testing.T, name, program string, args ...string) *process {
	t.Helper()

	p := &process{t: t, name: name, exited: make(chan struct{})}
	p.cmd = exec.Command(filepath.Join(binDir, program), args...)
	p.cmd.Env = slices.DeleteFunc(os.Environ(), func(v string) bool {
		return strings.HasPrefix(v, "FOXTAILMUX_") // these are settings of the tests, not of the program
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
		close(p.exited)
	}()
	t.Cleanup(p.cleanUp)
	return p
}

func (p *process) read(r io.Reader) {
	s := bufio.NewScanner(r)
	for s.Scan() {
		p.addLine(s.Text())
	}
}

func (p *process) addLine(text string) {
	var line map[string]any
	_ = json.Unmarshal([]byte(text), &line) // a line that is not JSON is kept as text only

	p.mu.Lock()
	defer p.mu.Unlock()
	p.rawLines = append(p.rawLines, text)
	if line != nil {
		p.jsonLines = append(p.jsonLines, line)
	}
}

// cleanUp kills the process, if it still runs, and prints its output if the test
// has failed.
func (p *process) cleanUp() {
	_ = p.cmd.Process.Signal(syscall.SIGCONT)
	_ = p.cmd.Process.Kill()

	if !p.t.Failed() {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, text := range p.rawLines {
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

// pause sends SIGSTOP to the process and waits until it has stopped: its threads run on for a
// moment after the signal was sent.
func (p *process) pause() {
	p.t.Helper()

	p.send(syscall.SIGSTOP)
	waitFor(p.t, p.name+" stops", func() bool {
		var info unix.Siginfo
		err := unix.Waitid(unix.P_PID, p.cmd.Process.Pid, &info, unix.WSTOPPED|unix.WNOHANG, nil)
		return err == nil && info.Signo != 0
	})
}

// kill sends SIGKILL to the process and waits until it has exited.
func (p *process) kill() {
	p.t.Helper()

	p.send(syscall.SIGKILL)
	p.waitExit()
}

func (p *process) ended() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// waitExit waits until the process has exited and returns its exit code.
func (p *process) waitExit() int {
	p.t.Helper()

	select {
	case <-p.exited:
		return p.cmd.ProcessState.ExitCode()
	case <-time.After(waitLimit):
		p.t.Fatalf("%s did not exit", p.name)
		return -1
	}
}

// field waits for a line of output that has the key and returns the value.
func (p *process) field(key string) string {
	p.t.Helper()

	var found string
	waitFor(p.t, p.name+" prints "+key, func() bool {
		ended := p.ended()
		value, ok := p.find(key)
		found = value
		return ok || ended
	})
	if found == "" {
		p.t.Fatalf("%s exited without printing %s", p.name, key)
	}
	return found
}

func (p *process) find(key string) (string, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()

	for _, line := range p.jsonLines {
		if value, ok := line[key]; ok {
			return fmt.Sprint(value), true
		}
	}
	return "", false
}

// waitFor polls until the condition holds. It fails the test after waitLimit.
func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()

	limit := time.Now().Add(waitLimit)
	for !condition() {
		if time.Now().After(limit) {
			t.Fatalf("timed out waiting: %s", what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

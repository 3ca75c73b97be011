package proof

import (
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"foxtailmux/config"
	"foxtailmux/daemon"
	"foxtailmux/member"
	"foxtailmux/table"
)

// startEntry starts an entry instance on free ports of 127.0.0.1.
func startEntry(t *testing.T, name, platform string, flags ...string) *process {
	t.Helper()

	args := []string{
		"serve",
		"--instance", name,
		"--dataCentre", "kochi",
		"--platform.addr", platform,
		"--callers.addr", "127.0.0.1:0",
		"--operators.addr", "127.0.0.1:0",
		"--peers.addr", "127.0.0.1:0",
		"--stop.drainDelay", "100ms",
	}
	return startProcess(t, name, "foxtailmux", append(args, flags...)...)
}

// applyExample applies the example configuration as the first version.
func applyExample(t *testing.T, platform string) {
	t.Helper()

	store := table.NewClient(platform, 5*time.Second)
	if _, err := config.Apply(t.Context(), store, config.Example(), "test", "first version"); err != nil {
		t.Fatal(err)
	}
}

// waitServing waits until each instance is ready, sees as many live instances as are
// given, and has slots on which a task can run.
func waitServing(t *testing.T, entries ...*process) {
	t.Helper()

	for _, p := range entries {
		addr := p.field("operators")
		waitFor(t, p.name+" serves", func() bool {
			s, err := stateOf(addr)
			return err == nil && s.Ready && reachableSlots(s) > 0 && aliveMembers(s) == len(entries)
		})
	}
}

// stateOf reads the state dump of an instance.
func stateOf(addr string) (daemon.State, error) {
	var s daemon.State
	response, err := http.Get("http://" + addr + "/state")
	if err != nil {
		return s, err
	}
	defer func() { _ = response.Body.Close() }()
	return s, json.NewDecoder(response.Body).Decode(&s)
}

// reachableSlots returns the number of slots of the instance's own workers and of
// those that its peers report.
func reachableSlots(s daemon.State) int {
	var n int
	for _, w := range s.Scheduler.Workers {
		n += w.Slots
	}
	for _, m := range s.Members {
		if m.Entry.ID != s.Self.ID {
			n += m.Load.Slots
		}
	}
	return n
}

func aliveMembers(s daemon.State) int {
	var n int
	for _, m := range s.Members {
		if m.State == member.StateAlive {
			n++
		}
	}
	return n
}

func TestInstancesServeOnWhenOneIsKilled(t *testing.T) {
	platform := startProcess(t, "platform", "fakeplatform").field("addr")
	applyExample(t, platform)
	startProcess(t, "workers", "fakeworker", "--count", "4", "--pool", "quoting", "--dataCentre", "kochi",
		"--cores", "64", "--memoryMB", "128000", "--platform", platform).field("addr")

	first := startEntry(t, "entry-1", platform)
	second := startEntry(t, "entry-2", platform, "--peers.seeds", first.field("peers"))
	addrs := []string{first.field("callers"), second.field("callers")}
	waitServing(t, first, second)

	both := newCaller(addrs...)
	for i := range 10 {
		id := fmt.Sprintf("both-%d", i)
		a, err := both.submit(newJob(id, 5, 10*time.Millisecond))
		if err != nil {
			t.Fatal(err)
		}
		checkComplete(t, id, 5, a)
	}

	first.kill()

	rest := newCaller(addrs[1])
	for i := range 10 {
		id := fmt.Sprintf("rest-%d", i)
		a, err := rest.submit(newJob(id, 5, 10*time.Millisecond))
		if err != nil {
			t.Fatal(err)
		}
		checkComplete(t, id, 5, a)
	}
}

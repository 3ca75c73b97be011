package proof

import (
	"fmt"
	"slices"
	"syscall"
	"testing"
	"time"

	"foxtailmux/fakes"
	"foxtailmux/model"
)

// startTwoCentres starts two data centres on one platform, each with two instances.
func startTwoCentres(t *testing.T) (near, far *testCentre) {
	t.Helper()

	platform, err := fakes.StartPlatform(fakes.PlatformOptions{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(platform.Close)
	applyExample(t, platform.Addr())

	near = newCentre(t, platform, "kochi", 4)
	near.add(t, 0)
	near.add(t, 1)
	far = newCentre(t, platform, "thrissur", 4)
	far.seeds = []string{near.entries[0].field("peers")}
	far.add(t, 0)
	far.add(t, 1)
	waitServing(t, slices.Concat(near.entries, far.entries)...)
	return near, far
}

// pause pauses the processes of the data centre's instances. Their connections
// stay open.
func (c *testCentre) pause(t *testing.T) {
	t.Helper()

	for _, p := range c.entries {
		p.pause()
	}
}

// resume resumes the processes of the data centre's instances.
func (c *testCentre) resume(t *testing.T) {
	t.Helper()

	for _, p := range c.entries {
		p.send(syscall.SIGCONT)
	}
}

// Guards against a data centre that stops serving when it reaches neither the
// platform nor the other data centre, and against double starts afterwards.
func TestDataCentreServesOnWhenCutOff(t *testing.T) {
	near, far := startTwoCentres(t)
	near.platform.SetFaults(fakes.PlatformFaults{Down: true, ListDown: true})
	far.pause(t)

	began := time.Now()
	served := submitWhile(t, near, "cut", func(n int) bool {
		return time.Since(began) < 8*time.Second || n < 100
	})
	if served < 100 {
		t.Errorf("%d jobs were served, want at least 100", served)
	}

	far.resume(t)
	near.platform.SetFaults(fakes.PlatformFaults{})
	waitServing(t, slices.Concat(near.entries, far.entries)...)
	submitWhile(t, near, "near", func(n int) bool { return n < 20 })
	submitWhile(t, far, "far", func(n int) bool { return n < 20 })

	starts := near.starts(t)
	for id, n := range far.starts(t) {
		starts[id] += n
	}
	for id, n := range starts {
		if n != 1 {
			t.Errorf("task %s started %d times", id, n)
		}
	}
}

// submitWhile submits jobs, every other one with a ticket, while more returns true.
// Each job must complete. It returns the number of jobs.
func submitWhile(t *testing.T, c *testCentre, name string, more func(n int) bool) int {
	t.Helper()

	n := 0
	for ; more(n); n++ {
		id := fmt.Sprintf("%s-%d", name, n)
		addr := c.addrs[n%len(c.addrs)]
		job := newJob(id, 3, 10*time.Millisecond)
		if n%2 == 0 {
			job.Ticket = c.ticket(t, c.addrs[(n/2)%len(c.addrs)])
		}

		var a model.Answer
		if err := newCaller().postTo(addr, "/v1/jobs", job, &a); err != nil {
			t.Errorf("%s: %v", id, err)
			continue
		}
		checkComplete(t, id, 3, a)
	}
	return n
}

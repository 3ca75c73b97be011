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

// startTwoCells starts two data centres of two instances each that share a
// platform.
func startTwoCells(t *testing.T) (near, far *cell) {
	t.Helper()

	platform, err := fakes.StartPlatform(fakes.PlatformOptions{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(platform.Close)
	applyExample(t, platform.Addr())

	near = newCell(t, platform, "kochi", 4)
	near.add(t, 0)
	near.add(t, 1)
	far = newCell(t, platform, "thrissur", 4)
	far.seeds = []string{near.entries[0].field("peers")}
	far.add(t, 0)
	far.add(t, 1)
	waitServing(t, slices.Concat(near.entries, far.entries)...)
	return near, far
}

// freeze stops the instances of a data centre without closing anything.
func (c *cell) freeze(t *testing.T) {
	t.Helper()

	for _, p := range c.entries {
		p.send(syscall.SIGSTOP)
	}
}

func (c *cell) thaw(t *testing.T) {
	t.Helper()

	for _, p := range c.entries {
		p.send(syscall.SIGCONT)
	}
}

func TestDataCentreServesOnWhenCutOff(t *testing.T) {
	near, far := startTwoCells(t)
	near.platform.SetFaults(fakes.PlatformFaults{Down: true, ListDown: true})
	far.freeze(t)

	began := time.Now()
	served := submitRound(t, near, "cut", func(n int) bool {
		return time.Since(began) < 8*time.Second || n < 100
	})
	if served < 100 {
		t.Errorf("%d jobs were served, want 100 or more", served)
	}

	far.thaw(t)
	near.platform.SetFaults(fakes.PlatformFaults{})
	waitServing(t, slices.Concat(near.entries, far.entries)...)
	submitRound(t, near, "near", func(n int) bool { return n < 20 })
	submitRound(t, far, "far", func(n int) bool { return n < 20 })

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

// submitRound submits plain and ticketed jobs while more says so, and returns
// how many there were. Every one must be answered whole.
func submitRound(t *testing.T, c *cell, name string, more func(n int) bool) int {
	t.Helper()

	n := 0
	for ; more(n); n++ {
		id := fmt.Sprintf("%s-%d", name, n)
		addr := c.addrs[n%len(c.addrs)]
		job := quote(id, 3, 10*time.Millisecond)
		if n%2 == 0 {
			job.Ticket = c.ticket(t, c.addrs[(n/2)%len(c.addrs)])
		}

		var a model.Answer
		if err := newCaller().postTo(addr, "/v1/jobs", job, &a); err != nil {
			t.Errorf("%s: %v", id, err)
			continue
		}
		checkWhole(t, id, 3, a)
	}
	return n
}

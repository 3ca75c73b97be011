package main

import (
	"context"
	"fmt"
	"strings"
	"time"

	"foxtailmux/model"
)

// Rounds and times of thinLink.
const (
	thinRounds = 6
	idleClose  = 7 * time.Second // after which an instance has closed its connections to an idle worker
)

// thinLink crashes an idle worker that has the label a, and starts it again without that label, where the home has a link
// of low bandwidth, so that the instance that holds a job's request sends the starts. Jobs that require the label must
// not start a task on it.
func thinLink(f *fleet, trouble bool) (broken int, err error) {
	f.putConfig([]map[string]any{route("quotes", "desk")}, "desk")
	needs := func(string) model.Resources { return model.Resources{MilliCores: 1000, MemoryMB: 64} }
	runTime := func(string) time.Duration { return 60 * time.Millisecond }
	a := kind{label: "a", rack: "r1", capacity: model.Resources{MilliCores: 16_000, MemoryMB: 65_536}}
	b := kind{label: "b", rack: "r1", capacity: a.capacity}
	for n := range 6 {
		k := b
		if n == 0 {
			k = a
		}
		if _, err := f.addWorker(fmt.Sprintf("i-%08x", 0x7f3a91c0+n), "desk", "osr-a", k, needs, runTime); err != nil {
			return 0, err
		}
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	f.heartbeats(ctx)

	home, err := f.addInstance(machine{name: "edge-osr-a-1", dataCentre: "osr-a", linkMbps: 25, cores: 0.192, memoryMB: 184})
	if err != nil {
		return 0, err
	}
	if _, err := f.waitHome("osr-a"); err != nil {
		return 0, err
	}
	origin, err := f.addInstance(machine{name: "edge-osr-a-2", dataCentre: "osr-a", linkMbps: 200, cores: 0.8, memoryMB: 536})
	if err != nil {
		return 0, err
	}
	if err := origin.waitReady(); err != nil {
		return 0, err
	}
	time.Sleep(settleTime)

	w, c := f.workers[0], newClient(f.record)
	for range thinRounds {
		if h := f.homeOf("osr-a"); h != home {
			return broken, fmt.Errorf("the home is %s", h.name)
		}
		time.Sleep(idleClose)
		jobs := []job{newThinJob(), newThinJob()}
		c.submit(home, jobs[0])
		time.Sleep(idleTime)
		if trouble {
			w.crash()
			time.Sleep(downTime)
			if err := w.start(b); err != nil {
				return broken, err
			}
			time.Sleep(returnTime)
		}
		c.submit(origin, jobs[1])
		broken += f.countOtherKind(jobs)
		if trouble {
			w.crash()
			time.Sleep(downTime)
			if err := w.start(a); err != nil {
				return broken, err
			}
		}
	}
	return broken, nil
}

// newThinJob returns a job of three tasks that require the label a, with a specification of nearly the largest size.
func newThinJob() job {
	j := newLabelJob(3)
	j.Spec = strings.Repeat("q", 3900)
	return j
}

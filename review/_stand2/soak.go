package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"syscall"
	"time"
)

func soak(binary string, seed uint64, length time.Duration, kinds string) int {
	random.r = rand.New(rand.NewPCG(seed, 7))
	f := NewFleet(binary)
	zones := []string{"kochi", "tvm"}
	for z, zone := range zones {
		for k := range 4 {
			f.AddWorker(fmt.Sprintf("w%d%d", z, k), zone, "desk", 64000, []string{"a", "b"}[k%2], fmt.Sprintf("r%d-%d", z, k/2))
		}
	}
	f.Routes = []Route{{"q", "q.example", "/q/", "desk", 3}, {"p", "q.example", "/p/", "desk", 3}}
	f.PutConfig()
	for n := range 4 {
		f.AddInstance(fmt.Sprintf("entry-%d", n), zones[n%2], "1000")
	}
	if !f.AwaitReady(zones...) {
		Note("not ready")
		f.Close(true)
		return 2
	}
	ctx, cancel := context.WithTimeout(context.Background(), length)
	defer cancel()
	var g sync.WaitGroup
	counts := map[string]int{}
	var mu sync.Mutex
	n := 0
	g.Go(func() {
		for ctx.Err() == nil {
			time.Sleep(random.Between(5, 60))
			n++
			j := newSoakJob(seed, n)
			f.Ledger.Register(j)
			g.Go(func() {
				c, leave := context.WithCancel(context.Background())
				defer leave()
				if random.Float64() < 0.1 {
					time.AfterFunc(random.Between(20, 1500), leave)
				}
				list := f.SubmitUntilAnswered(c, j, 3, func(int) *Instance { return f.Instances[random.IntN(len(f.Instances))] })
				time.Sleep(2500 * time.Millisecond)
				f.Check(j, list)
				mu.Lock()
				last := list[len(list)-1]
				counts[fmt.Sprintf("%d %s", last.Status, map[bool]string{true: last.State}[last.Status == 200])]++
				mu.Unlock()
			})
		}
	})
	g.Go(func() {
		for ctx.Err() == nil {
			time.Sleep(random.Between(300, 1800))
			k := kinds[random.IntN(len(kinds))]
			g.Go(func() { disrupt(f, k) })
		}
	})
	g.Wait()
	broken := f.Ledger.Broken()
	f.Close(len(broken) > 0)
	fmt.Fprintf(os.Stderr, "seed %d jobs %d answers %v broken %d dir %s\n", seed, n, counts, len(broken), f.dir)
	for k, b := range broken {
		if k < 12 {
			fmt.Fprintln(os.Stderr, "   ", b)
		}
	}
	if len(broken) > 0 {
		return 1
	}
	return 0
}

func newSoakJob(seed uint64, n int) *Job {
	j := &Job{ID: fmt.Sprintf("%08x%08x", seed, n), Host: "q.example", Prefix: "/q/", Service: "desk", Spec: fmt.Sprintf("spec %d <&> \u2028 %d", n, random.IntN(1000)), Timeout: random.Between(400, 6000)}
	if random.Float64() < 0.3 {
		j.Prefix = "/p/"
	}
	steps := 1 + random.IntN(4)
	for i := range steps {
		s := Step{Replicas: 1 + random.IntN(6), CPU: 500 + random.IntN(5000), MemMB: 64, RunTime: random.Between(20, []int{200, 700, 2500}[random.IntN(3)])}
		s.Estimate = int(float64(s.RunTime.Milliseconds()) * (0.6 + 0.8*random.Float64()))
		if i > 0 && random.Float64() < 0.8 {
			s.After = []int{random.IntN(i)}
			if i > 1 && random.Float64() < 0.5 {
				s.After = append(s.After, i-1)
			}
		}
		if random.Float64() < 0.25 {
			s.Requires = []string{"a", "b"}[random.IntN(2)]
		}
		if random.Float64() < 0.25 {
			s.Max = 1 + random.IntN(2)
			s.Replicas = min(s.Replicas, 4)
		}
		j.Steps = append(j.Steps, s)
	}
	return j
}

// disrupt brings one disruption about and ends it.
func disrupt(f *Fleet, kind byte) {
	i := f.Instances[random.IntN(len(f.Instances))]
	w := f.Workers[random.IntN(len(f.Workers))]
	if random.Float64() < 0.5 {
		if h := f.HomeOf([]string{"kochi", "tvm"}[random.IntN(2)]); h != nil {
			i = h
		}
	}
	busy := func(do func()) {
		if !i.lockBusy() {
			return
		}
		defer i.unlockBusy()
		do()
	}
	switch kind {
	case 'k':
		busy(func() {
			Note("kill %s", i.Name)
			i.Kill()
			time.Sleep(random.Between(50, 3000))
			i.Start()
			time.Sleep(2 * time.Second)
		})
	case 't':
		busy(func() {
			Note("term %s", i.Name)
			i.Terminate(6 * time.Second)
			time.Sleep(200 * time.Millisecond)
			i.Start()
			time.Sleep(2 * time.Second)
		})
	case 'f':
		busy(func() {
			Note("freeze %s", i.Name)
			i.Signal(syscall.SIGSTOP)
			time.Sleep(random.Between(200, 4000))
			i.Signal(syscall.SIGCONT)
			Note("thaw %s", i.Name)
			time.Sleep(2 * time.Second)
		})
	case 's':
		Note("store held for %s", i.Name)
		i.StoreLink.held.Store(true)
		time.Sleep(random.Between(300, 5000))
		i.StoreLink.held.Store(false)
		if random.Float64() < 0.5 {
			i.StoreLink.Reset()
		}
	case 'c':
		Note("cut %s from the other instances", i.Name)
		links := f.Links(func(a, b string) bool { return (a == i.Name || b == i.Name) && b[0] == 'e' })
		for _, l := range links {
			l.Cut(true)
		}
		if random.Float64() < 0.5 {
			i.StoreLink.held.Store(true)
		}
		time.Sleep(random.Between(300, 5000))
		for _, l := range links {
			l.Cut(false)
		}
		i.StoreLink.held.Store(false)
		Note("heal %s", i.Name)
	case 'w':
		Note("cut %s from %s", w.ID, i.Name)
		links := f.Links(func(a, b string) bool { return a == i.Name && b == w.ID })
		for _, l := range links {
			l.Cut(true)
		}
		time.Sleep(random.Between(100, 4000))
		for _, l := range links {
			l.Cut(false)
		}
	case 'W':
		Note("cut %s from all", w.ID)
		links := f.Links(func(a, b string) bool { return b == w.ID })
		for _, l := range links {
			l.Cut(true)
		}
		time.Sleep(random.Between(100, 4000))
		for _, l := range links {
			l.Cut(false)
		}
	case 'x':
		if !w.busy.CompareAndSwap(false, true) {
			return
		}
		defer w.busy.Store(false)
		Note("crash %s", w.ID)
		w.Crash()
		for _, l := range f.Links(func(a, b string) bool { return b == w.ID }) {
			l.Reset()
		}
		time.Sleep(random.Between(50, 2000))
		w.Boot()
		w.Report()
	case 'l':
		w.SetFaults(WorkerFaults{Lose: 0.3})
		time.Sleep(random.Between(500, 5000))
		w.SetFaults(WorkerFaults{})
	case 'a':
		for _, w := range f.Workers {
			w.SetFaults(WorkerFaults{Late: 0.055})
		}
		time.Sleep(5500 * time.Millisecond)
		for _, w := range f.Workers {
			w.SetFaults(WorkerFaults{})
		}
	case 'A':
		w.SetFaults(WorkerFaults{Late: 0.5})
		time.Sleep(5500 * time.Millisecond)
		w.SetFaults(WorkerFaults{})
	case 'F':
		w.SetFaults(WorkerFaults{Fail: true})
		time.Sleep(random.Between(500, 5000))
		w.SetFaults(WorkerFaults{})
	case 'd':
		Note("drain %s", w.ID)
		w.SetState("draining")
		time.Sleep(random.Between(2000, 5000))
		w.SetState("ready")
	case 'g':
		f.mu.Lock()
		if len(f.Routes) == 2 {
			f.Routes = append(f.Routes, Route{"z", "q.example", "/q/z", "desk", 2})
		} else {
			f.Routes = f.Routes[:2]
		}
		f.PutConfig()
		f.mu.Unlock()
	case 'z':
		zone := []string{"kochi", "tvm"}[random.IntN(2)]
		inside := f.Inside(zone)
		for range 1 + random.IntN(3) {
			Note("cut zone %s", zone)
			f.CutZone(inside, true)
			time.Sleep(random.Between(300, 4000))
			f.CutZone(inside, false)
			Note("heal zone %s", zone)
			time.Sleep(random.Between(100, 1200))
		}
	case 'h':
		if !f.herd.CompareAndSwap(false, true) {
			return
		}
		defer f.herd.Store(false)
		var g sync.WaitGroup
		for _, i := range f.Instances {
			g.Go(func() {
				if i.lockBusy() {
					defer i.unlockBusy()
					Note("kill %s", i.Name)
					i.Kill()
					time.Sleep(random.Between(50, 1500))
					i.Start()
				}
			})
		}
		g.Wait()
	case 'p':
		Note("store down")
		for _, i := range f.Instances {
			i.StoreLink.held.Store(true)
		}
		time.Sleep(random.Between(300, 4500))
		for _, i := range f.Instances {
			i.StoreLink.held.Store(false)
		}
	case 'S':
		part := random.IntN(3)
		Note("open connections go silent %d", part)
		for _, l := range f.Links(func(a, b string) bool { return part == 0 || part == 1 && b[0] == 'e' || part == 2 && b[0] != 'e' }) {
			l.silent.Add(1)
		}
		if part == 0 {
			for _, i := range f.Instances {
				i.StoreLink.silent.Add(1)
			}
		}
		time.Sleep(2 * time.Second)
	case 'r':
		Note("reset the connections of %s", i.Name)
		for _, l := range f.Links(func(a, b string) bool { return a == i.Name || b == i.Name }) {
			l.Reset()
		}
	}
}

func (i *Instance) lockBusy() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.stopped {
		return false
	}
	i.stopped = true
	return true
}

func (i *Instance) unlockBusy() { i.mu.Lock(); i.stopped = false; i.mu.Unlock() }

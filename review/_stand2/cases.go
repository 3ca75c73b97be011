package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"strings"
	"sync"
	"syscall"
	"time"
)

// runCase runs a case and returns the code with which its script exits.
func runCase(name, binary, record string) int {
	out, err := os.Create(record)
	if err != nil {
		return 2
	}
	defer out.Close()
	notes = out
	random.r = rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), 0))
	f := NewFleet(binary)
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stop
		f.Close(false)
		os.Exit(2)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	Note("case %s, trouble %t", name, trouble)
	ok := map[string]func(*Fleet, bool) bool{"isolated": isolated, "scaled": scaled}[name](f, trouble)
	for _, i := range f.Instances {
		if i.Ends > 0 {
			ok = false // it could not start, such as since a port was taken
		}
	}
	f.Close(os.Getenv("KEEP_LOGS") != "")
	broken := f.Ledger.Broken()
	code := 0
	switch {
	case !ok:
		code = 2
	case len(broken) > 0:
		code = 1
	}
	Note("%d breaks, exit %d", len(broken), code)
	fmt.Printf("%s trouble %t: %d breaks, exit %d\n", name, trouble, len(broken), code)
	return code
}

// smallFleet starts two zones: kochi, with four workers and two instances, and tvm, with two of both.
func smallFleet(f *Fleet) bool {
	for k := range 4 {
		f.AddWorker(fmt.Sprintf("w%d", k+1), "kochi", "desk", 64000, "a", fmt.Sprintf("r1-%d", k/2))
	}
	for k := range 2 {
		f.AddWorker(fmt.Sprintf("v%d", k+1), "tvm", "desk", 64000, "a", "r2-0")
	}
	f.Routes = []Route{{"q", "q.example", "/q/", "desk", 2}}
	f.PutConfig()
	for _, n := range []string{"entry-kochi-1", "entry-kochi-2"} {
		f.AddInstance(n, "kochi", "1000")
	}
	for _, n := range []string{"entry-tvm-1", "entry-tvm-2"} {
		f.AddInstance(n, "tvm", "1000")
	}
	if !f.AwaitReady("kochi", "tvm") {
		Note("the fleet is not ready")
		return false
	}
	return true
}

// logRuns writes what ran of a job to the record.
func (f *Fleet) logRuns(j *Job) {
	for i, s := range j.Steps {
		for k := range s.Replicas {
			for _, r := range f.Ledger.RunsOf(fmt.Sprintf("%s.0.%d.%d", j.ID, i, k)) {
				end := "in progress"
				if !r.Ended.IsZero() {
					end = fmt.Sprintf("%.3f %s", r.Ended.Sub(noteT0).Seconds(), r.How)
				}
				Note("run %s number %d token %d on %s from %.3f to %s", r.Task, r.Number, r.Token, r.Worker, r.Began.Sub(noteT0).Seconds(), end)
			}
		}
	}
}

// isolated cuts the home of a zone off from the other instances and the store, while the next home has no path to one
// worker.
func isolated(f *Fleet, trouble bool) bool {
	if !smallFleet(f) {
		return false
	}
	home, next := f.HomeOf("kochi"), f.Instances[0]
	if next == home {
		next = f.Instances[1]
	}
	Note("home of kochi: %s", home.Name)
	var g sync.WaitGroup
	for n := range 4 {
		j := &Job{
			ID: fmt.Sprintf("%016x", 0xc0de00+n), Host: "q.example", Prefix: "/q/", Service: "desk", Spec: "quote", Timeout: 15 * time.Second,
			Steps: []Step{{Replicas: 1, CPU: 6000, MemMB: 64, Estimate: 6000, RunTime: 6 * time.Second}},
		}
		f.Ledger.Register(j)
		g.Go(func() {
			f.Check(j, []Answer{home.Submit(context.Background(), j)})
			f.logRuns(j)
		})
	}
	time.Sleep(700 * time.Millisecond)
	if trouble {
		const workerCut, homeCut = 5 * time.Second, 2600 * time.Millisecond
		others := f.Links(func(from, to string) bool {
			return strings.HasPrefix(to, "entry") && (from == home.Name) != (to == home.Name)
		})
		path := f.Links(func(from, to string) bool { return from == next.Name && to == "w1" })
		Note("w1 loses the path to %s, %s is cut off from the other instances and the store", next.Name, home.Name)
		cut := func(links []*PeerProxy, on bool) {
			for _, l := range links {
				l.Cut(on)
			}
		}
		cut(path, true)
		cut(others, true)
		home.StoreLink.held.Store(true)
		time.Sleep(homeCut)
		cut(others, false)
		home.StoreLink.held.Store(false)
		Note("%s is back", home.Name)
		time.Sleep(workerCut - homeCut)
		cut(path, false)
		Note("w1 has its path to %s again", next.Name)
	}
	g.Wait()
	return true
}

// scaled stops the only instance of a zone, as planned, while workers are added there.
func scaled(f *Fleet, trouble bool) bool {
	const base, added = 24, 8
	for k := range base {
		f.AddWorker(fmt.Sprintf("w%02d", k), "kochi", "desk", 64000, "a", fmt.Sprintf("r1-%d", k/6))
		f.AddWorker(fmt.Sprintf("v%02d", k), "tvm", "desk", 64000, "a", fmt.Sprintf("r2-%d", k/6))
	}
	f.Routes = []Route{{"q", "q.example", "/q/", "desk", 2}}
	f.PutConfig()
	f.AddInstance("entry-kochi-1", "kochi", "1000")
	time.Sleep(random.Between(0, 300))
	f.AddInstance("entry-tvm-1", "tvm", "1000")
	if !f.AwaitReady("kochi", "tvm") {
		Note("the fleet is not ready")
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), 88*time.Second)
	defer cancel()
	var g sync.WaitGroup
	n := 0
	g.Go(func() {
		for ctx.Err() == nil {
			time.Sleep(18 * time.Millisecond)
			n++
			at := f.Instances[n%3/2] // two of three jobs come to kochi
			j := &Job{
				ID: fmt.Sprintf("%016x", 0x5ca1e000+n), Host: "q.example", Prefix: "/q/", Service: "desk", Spec: "quote", Timeout: 5 * time.Second,
				Steps: []Step{{Replicas: 4, CPU: 27000, MemMB: 64, Estimate: 1100, RunTime: random.Between(800, 1500)}},
			}
			f.Ledger.Register(j)
			g.Go(func() { f.Check(j, []Answer{at.Submit(context.Background(), j)}) })
		}
	})
	home := f.Instances[0]
	time.Sleep(16 * time.Second) // the instances have known the workers for long
	for round := 0; trouble && ctx.Err() == nil && len(f.Ledger.Broken()) == 0; round++ {
		time.Sleep(time.Second)
		for f.HomeOf("kochi") != home && ctx.Err() == nil {
			time.Sleep(50 * time.Millisecond)
		}
		time.Sleep(random.Between(0, 700))
		Note("%s is stopped, %d workers are added", home.Name, added)
		g.Go(func() {
			home.Terminate(6 * time.Second)
			Note("%s has ended", home.Name)
			time.Sleep(random.Between(200, 900))
			home.Start()
		})
		for k := range added {
			f.AddWorker(fmt.Sprintf("n%02d%02d", round, k), "kochi", "desk", 64000, "a", "r1-9")
			time.Sleep(2 * time.Second / added)
		}
		time.Sleep(4 * time.Second)
	}
	cancel()
	g.Wait()
	return true
}

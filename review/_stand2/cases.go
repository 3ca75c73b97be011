package main

import (
	"context"
	"fmt"
	"net/http"
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
	ok := map[string]func(*Fleet, bool) bool{"flap": flap, "isolated": isolated, "cancel": cancelRunning}[name](f, trouble)
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

// flap cuts a zone off whose link comes back for a moment.
func flap(f *Fleet, trouble bool) bool {
	if !smallFleet(f) {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), 80*time.Second)
	defer cancel()
	var g sync.WaitGroup
	n := 0
	g.Go(func() {
		for ctx.Err() == nil {
			time.Sleep(120 * time.Millisecond)
			n++
			at := f.Instances[n%2] // of kochi
			j := &Job{
				ID: fmt.Sprintf("%016x", 0xf1a900+n), Host: "q.example", Prefix: "/q/", Service: "desk", Spec: "quote", Timeout: 6 * time.Second,
				Steps: []Step{{Replicas: 4, CPU: 4000, MemMB: 64, Estimate: 900, RunTime: 900 * time.Millisecond}},
			}
			f.Ledger.Register(j)
			g.Go(func() {
				f.Check(j, f.SubmitUntilAnswered(context.Background(), j, 2, func(try int) *Instance {
					if try == 0 {
						return at
					}
					return f.Instances[(n+try)%len(f.Instances)]
				}))
			})
		}
	})
	inside := f.Inside("kochi")
	for trouble && ctx.Err() == nil && len(f.Ledger.Broken()) == 0 {
		for _, cut := range []time.Duration{2 * time.Second, 5500 * time.Millisecond} {
			Note("kochi is cut off")
			f.CutZone(inside, true)
			time.Sleep(cut)
			f.CutZone(inside, false)
			Note("kochi is back")
			time.Sleep(300 * time.Millisecond)
		}
		time.Sleep(2700 * time.Millisecond)
	}
	if len(f.Ledger.Broken()) > 0 {
		cancel()
	}
	g.Wait()
	return true
}

// cancelRunning cancels a job that runs, and looks what runs of it later than the platform's bounds allow.
func cancelRunning(f *Fleet, trouble bool) bool {
	const cancelBound, stopBound = 3 * time.Second, 50 * time.Millisecond
	if !smallFleet(f) {
		return false
	}
	var g sync.WaitGroup
	for n, at := range f.Instances {
		j := &Job{
			ID: fmt.Sprintf("%016x", 0xca0ce1+n), Host: "q.example", Prefix: "/q/", Service: "desk", Spec: "session", Timeout: 15 * time.Second,
			Steps: []Step{
				{Replicas: 2, CPU: 6000, MemMB: 64, Estimate: 5000, RunTime: 5 * time.Second},
				{Replicas: 2, CPU: 6000, MemMB: 64, Estimate: 1000, After: []int{0}, RunTime: time.Second},
			},
		}
		f.Ledger.Register(j)
		g.Go(func() { f.Check(j, []Answer{at.Submit(context.Background(), j)}); f.logRuns(j) })
		if !trouble {
			continue
		}
		g.Go(func() {
			time.Sleep(time.Second)
			if f.Ledger.Running(j.ID) == 0 {
				Note("%s does not run", j.ID)
				return
			}
			status := at.Delete(j)
			if status != 410 && status/100 != 2 {
				return
			}
			acked := time.Now()
			time.Sleep(cancelBound + stopBound + 200*time.Millisecond)
			if k := f.Ledger.Running(j.ID); k > 0 {
				f.Ledger.Break("UNASKED", "%d tasks of %s run %d ms after its cancelling was acknowledged with %d", k, j.ID, time.Since(acked).Milliseconds(), status)
			}
			before := f.Ledger.Started(j.ID)
			time.Sleep(2500 * time.Millisecond)
			if k := f.Ledger.Started(j.ID) - before; k > 0 {
				f.Ledger.Break("UNASKED", "%d tasks of %s start later than %v after its cancelling was acknowledged with %d", k, j.ID, cancelBound, status)
			}
		})
	}
	g.Wait()
	return true
}

// Delete cancels a job, and returns the status, 0 without an answer.
func (i *Instance) Delete(j *Job) int {
	req, err := http.NewRequest(http.MethodDelete, "http://"+i.Callers+j.Prefix+j.ID, nil)
	if err != nil {
		panic(err)
	}
	req.Host = j.Host
	Note("cancel %s at %s", j.ID, i.Name)
	resp, err := (&http.Client{Timeout: 3 * time.Second}).Do(req)
	if err != nil {
		Note("cancel %s: %v", j.ID, err)
		return 0
	}
	_ = resp.Body.Close()
	Note("cancel %s: %d", j.ID, resp.StatusCode)
	return resp.StatusCode
}

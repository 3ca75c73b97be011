package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"foxtailmux/model"
)

// Rounds and times of lostTwice.
const (
	lostRounds  = 5
	lostRun     = 2500 * time.Millisecond
	lostAfter   = 50 * time.Millisecond   // from the request to the freeze of its instance and the reset of its channel
	killAfter   = 680 * time.Millisecond  // from that to the kill of the home
	retryAfter  = 1300 * time.Millisecond // retry-ms
	recoverTime = 8 * time.Second
)

// lostTwice freezes the instance that holds a job's request, resets the client's channel, and kills the home that runs
// the job. The client sends the job again to an instance of another zone.
func lostTwice(f *fleet, trouble bool) (broken int, err error) {
	f.putConfig([]map[string]any{route("quotes", "desk")}, "desk")
	needs := func(string) model.Resources { return model.Resources{MilliCores: 1000, MemoryMB: 64} }
	runTime := func(string) time.Duration { return lostRun }
	k := kind{label: "a", rack: "r1", capacity: model.Resources{MilliCores: 16_000, MemoryMB: 32_768}}
	zones := []string{"osr-a", "osr-b"}
	for n := range 8 {
		if _, err := f.addWorker(fmt.Sprintf("i-%08x", 0x7f3a91c0+n), "desk", zones[n%2], k, needs, runTime); err != nil {
			return 0, err
		}
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	f.heartbeats(ctx)
	for n := range 5 {
		m := smallMachine(fmt.Sprintf("edge-%s-%d", zones[n%2], n))
		m.dataCentre = zones[n%2]
		if _, err := f.addInstance(m); err != nil {
			return 0, err
		}
	}
	c := newClient(f.record)
	for range lostRounds {
		home, err := f.waitHome("osr-a")
		if err != nil {
			return broken, err
		}
		if _, err := f.waitHome("osr-b"); err != nil {
			return broken, err
		}
		var origin, other *instance
		for _, i := range f.instances {
			switch {
			case i.dataCentre == "osr-b":
				other = i
			case i != home:
				origin = i
			}
		}
		time.Sleep(settleTime)
		p, err := f.proxyTo(origin)
		if err != nil {
			return broken, err
		}
		j := job{
			ID: newID(), Queue: "quotes", Spec: "quote", Timeout: 5 * time.Second,
			Steps: []step{{Replicas: 4, CPU: 1000, MemMB: 64, EstimateMS: int(lostRun.Milliseconds())}},
		}
		var first sync.WaitGroup
		first.Go(func() { c.submitAt(p.addr, origin.name, j) })
		time.Sleep(lostAfter)
		if trouble {
			f.record.printf("%s freezes, and the client's channel is reset", origin.name)
			origin.signal(syscall.SIGSTOP)
			p.reset()
			first.Wait()
			broke := time.Now()
			time.Sleep(killAfter)
			f.record.printf("%s, the home of osr-a, is killed", home.name)
			home.kill()
			time.Sleep(time.Until(broke.Add(retryAfter)))
			c.submit(other, j)
			origin.signal(syscall.SIGCONT)
			if err := home.start(); err != nil {
				return broken, err
			}
		}
		first.Wait()
		p.close()
		broken += f.countOverlaps(j)
		if trouble {
			time.Sleep(recoverTime)
		}
	}
	return broken, nil
}

// countOverlaps records the runs of a job, and counts those that began beside another run of their task.
func (f *fleet) countOverlaps(j job) (broken int) {
	for n := range j.Steps[0].Replicas {
		runs := f.ledger.Runs(j.task(0, n))
		for i, r := range runs {
			verdict := ""
			for _, other := range runs[:i] {
				if other.Ended.IsZero() || other.Ended.After(r.Began) {
					verdict = fmt.Sprintf(": TWICE is broken, for %d ms beside the run on %s", other.Ended.Sub(r.Began).Milliseconds(), other.Worker)
					broken++
				}
			}
			f.record.printf("run of %s on %s from %s to %s (%s)%s", r.Task, r.Worker, f.record.at(r.Began), f.record.at(r.Ended), r.Reason, verdict)
		}
	}
	return broken
}

// proxy passes the channels of clients on to an instance.
type proxy struct {
	addr     string
	listener net.Listener

	mu    sync.Mutex
	conns []*net.TCPConn // of clients
}

// proxyTo starts a proxy to the callers' port of an instance.
func (f *fleet) proxyTo(i *instance) (*proxy, error) {
	l, err := net.Listen("tcp", f.net+"2:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{addr: l.Addr().String(), listener: l}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			p.mu.Lock()
			p.conns = append(p.conns, conn.(*net.TCPConn))
			p.mu.Unlock()
			go p.pass(conn, i.addr(callersPort))
		}
	}()
	return p, nil
}

func (p *proxy) pass(client net.Conn, addr string) {
	server, err := net.Dial("tcp", addr)
	if err != nil {
		_ = client.Close()
		return
	}
	go func() {
		_, _ = io.Copy(server, client)
		_ = server.Close()
	}()
	_, _ = io.Copy(client, server)
	_ = client.Close()
}

// reset resets the channels of the clients, at both ends.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		_ = c.SetLinger(0)
		_ = c.Close()
	}
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.reset()
}

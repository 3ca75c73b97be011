package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"

	"foxtailmux/fakes"
	"foxtailmux/model"
	"foxtailmux/platform/stand"
)

// heartbeatInterval is heartbeat-ms of the settings page.
const heartbeatInterval = 1500 * time.Millisecond

// kind is what a boot of a worker is like.
type kind struct {
	label    string
	rack     string
	capacity model.Resources
}

// worker is a stand-in for a worker, at one address over all of its boots.
type worker struct {
	fleet   *fleet
	id      string
	service string
	zone    string
	needs   func(task string) model.Resources
	runTime func(task string) time.Duration

	mu     sync.Mutex
	addr   string
	boots  []boot
	server *http.Server // nil while the worker is down
	seq    int
}

// boot is one life of a worker.
type boot struct {
	kind
	began  time.Time
	leased *fakes.LeasedWorker
}

// addWorker starts a worker.
func (f *fleet) addWorker(id, service, zone string, k kind, needs func(task string) model.Resources, runTime func(task string) time.Duration) (*worker, error) {
	w := &worker{fleet: f, id: id, service: service, zone: zone, needs: needs, runTime: runTime, addr: f.net + "200:0"}
	f.workers = append(f.workers, w)
	return w, w.start(k)
}

// start starts a boot of the worker, under its id and at its address, and writes its row.
func (w *worker) start(k kind) error {
	leased := fakes.NewLeasedWorker(w.id, k.capacity, w.fleet.ledger)
	leased.Needs, leased.RunTime = w.needs, w.runTime
	l, err := net.Listen("tcp", w.addr)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: stand.Worker{Leased: leased}, ErrorLog: quiet}
	w.mu.Lock()
	w.addr, w.server, w.seq = l.Addr().String(), server, 0
	w.boots = append(w.boots, boot{k, time.Now(), leased})
	w.mu.Unlock()
	go func() { _ = server.Serve(l) }()
	w.beat()
	w.fleet.record.printf("worker %s is up, born %d, label %s, %d thousandths of a core", w.id, leased.Incarnation(), k.label, k.capacity.MilliCores)
	return nil
}

// beat writes the row of a worker that is up.
func (w *worker) beat() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.server == nil {
		return
	}
	w.seq++
	b := w.boots[len(w.boots)-1]
	text, _ := json.Marshal(map[string]any{
		"backend": w.service, "address": w.addr, "zone": w.zone, "version": "1", "slots": 8, "state": "ready", "cold-ms": 0, "seq": w.seq,
		"capacity": map[string]int{"cpu": b.capacity.MilliCores, "mem-mb": b.capacity.MemoryMB},
		"labels":   []string{b.label, b.rack}, "born": b.leased.Incarnation(),
	})
	w.fleet.store.Put("servers/"+w.id, string(text))
}

// crash ends the present boot with all that it runs. The worker sends nothing to the store.
func (w *worker) crash() {
	w.fleet.record.printf("worker %s crashes", w.id)
	w.close()
}

// close closes the port and the connections of a worker that is up, as the end of its process does, and ends its runs.
func (w *worker) close() {
	w.mu.Lock()
	server := w.server
	w.server = nil
	w.mu.Unlock()
	if server == nil {
		return
	}
	_ = server.Close()
	w.leased().Crash()
}

// leased returns the present boot.
func (w *worker) leased() *fakes.LeasedWorker {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.boots[len(w.boots)-1].leased
}

// kindAt returns the kind of the worker's boot at a time.
func (w *worker) kindAt(at time.Time) kind {
	w.mu.Lock()
	defer w.mu.Unlock()
	k := w.boots[0].kind
	for _, b := range w.boots {
		if !b.began.After(at) {
			k = b.kind
		}
	}
	return k
}

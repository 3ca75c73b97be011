package member

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"foxtailmux/model"

	"github.com/rotisserie/eris"
)

// latency is the one-way delay of the test network.
const latency = time.Millisecond

// frameOverhead is the number of bytes that a call takes besides its parameters and
// result: 100 of JSON-RPC, and 52 of TCP and IP headers for each of three packets.
const frameOverhead = 100 + 3*52

// seed returns the random seed of the run: FOXTAILMUX_SEED, or 1 if it is not set.
func seed(t testing.TB) uint64 {
	t.Helper()
	n := uint64(1)
	if text := os.Getenv("FOXTAILMUX_SEED"); text != "" {
		var err error
		if n, err = strconv.ParseUint(text, 10, 64); err != nil {
			t.Fatal(err)
		}
	}
	t.Logf("FOXTAILMUX_SEED=%d", n)
	return n
}

// network carries calls between nodes in memory. blocked, if set, reports whether
// two nodes can't reach each other.
type network struct {
	mu      sync.Mutex
	nodes   map[string]*node // by peer address
	blocked func(a, b *node) bool
	seed    uint64
}

func newNetwork(t testing.TB) *network {
	return &network{nodes: map[string]*node{}, seed: seed(t)}
}

// setBlocked blocks calls between the pairs of nodes for which blocked returns
// true. nil unblocks all.
func (w *network) setBlocked(blocked func(a, b *node) bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.blocked = blocked
}

func (w *network) find(from *node, addr string) *node {
	w.mu.Lock()
	defer w.mu.Unlock()
	to := w.nodes[addr]
	if to == nil || w.blocked != nil && w.blocked(from, to) {
		return nil
	}
	return to
}

// node is one entry instance and its Transport.
type node struct {
	*Group
	network *network
	entry   model.Entry
	bytes   atomic.Int64 // sent and received, overheads included

	mu      sync.Mutex
	handler func(ctx context.Context, params json.RawMessage) (any, error)
	addrs   map[string]string
	resumed chan struct{} // not nil while the node is paused; closed by resume
	load    model.Load
	digest  string
	number  int64
}

func entry(index int, dataCentre string, incarnation int) model.Entry {
	return model.Entry{
		ID:          fmt.Sprintf("entry%02d", index),
		Incarnation: fmt.Sprintf("%016x", index<<16+incarnation),
		DataCentre:  dataCentre,
		CallerAddr:  fmt.Sprintf("10.0.0.%d:8080", index),
		PeerAddr:    fmt.Sprintf("10.0.0.%d:7000", index),
		AdminAddr:   fmt.Sprintf("10.0.0.%d:9000", index),
	}
}

// start starts a node at the peer address of its entry. It replaces a node that is
// already there.
func (w *network) start(e model.Entry, seeds ...string) *node {
	n := &node{network: w, entry: e, addrs: map[string]string{}, number: 1, digest: "0123456789abcdef0123456789abcdef"}
	n.Group = New(Options{
		Self:       e,
		Seeds:      seeds,
		Transport:  n,
		Load:       n.currentLoad,
		Config:     n.config,
		RandomSeed: w.seed + uint64(len(e.ID)) + uint64(e.ID[len(e.ID)-1]),
	})
	w.mu.Lock()
	w.nodes[e.PeerAddr] = n
	w.mu.Unlock()
	n.Start()
	return n
}

// startMany starts count nodes spread over the data centres. The first node is the
// seed of all.
func (w *network) startMany(count int, dataCentres ...string) []*node {
	list := make([]*node, count)
	for i := range list {
		list[i] = w.start(entry(i, dataCentres[i%len(dataCentres)], 0), entry(0, "", 0).PeerAddr)
	}
	return list
}

// kill stops a node that has not announced that it leaves.
func (n *node) kill() {
	n.network.mu.Lock()
	if n.network.nodes[n.entry.PeerAddr] == n {
		delete(n.network.nodes, n.entry.PeerAddr)
	}
	n.network.mu.Unlock()
	n.Close()
}

func killAll(nodes []*node) {
	for _, n := range nodes {
		n.kill()
	}
}

// pause stops the loop and the handler of the node until resume.
func (n *node) pause() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.resumed = make(chan struct{})
}

func (n *node) resume() {
	n.mu.Lock()
	defer n.mu.Unlock()
	close(n.resumed)
	n.resumed = nil
}

func (n *node) waitWhilePaused() {
	n.mu.Lock()
	resumed := n.resumed
	n.mu.Unlock()
	if resumed != nil {
		<-resumed
	}
}

func (n *node) currentLoad() model.Load {
	n.waitWhilePaused()
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.load
}

func (n *node) config() (int64, string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.number, n.digest
}

func (n *node) Handle(_ string, handler func(ctx context.Context, params json.RawMessage) (any, error)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.handler = handler
}

func (n *node) SetPeer(id, addr string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.addrs[id] = addr
}

func (n *node) RemovePeer(id string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.addrs, id)
}

func (n *node) addrOf(id string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.addrs[id]
}

// CallWithoutProbe delivers a request. If the request or its response is blocked, it returns
// when the context ends, as on a network that drops packets.
func (n *node) CallWithoutProbe(ctx context.Context, peerID, _ string, params, result any) error {
	addr := n.addrOf(peerID)
	if err := sleep(ctx, latency); err != nil {
		return err
	}
	to := n.network.find(n, addr)
	if to == nil {
		<-ctx.Done()
		return ctx.Err()
	}

	errs := make(chan error, 1)
	var response any
	go func() {
		var err error
		response, err = to.respond(params.(json.RawMessage))
		errs <- err
	}()
	select {
	case err := <-errs:
		if err != nil {
			return err
		}
	case <-ctx.Done():
		return ctx.Err()
	}

	if err := sleep(ctx, latency); err != nil {
		return err
	}
	if n.network.find(to, n.entry.PeerAddr) != n {
		<-ctx.Done()
		return ctx.Err()
	}
	size := int64(len(params.(json.RawMessage)) + len(response.(json.RawMessage)) + frameOverhead)
	n.bytes.Add(size)
	to.bytes.Add(size)
	*result.(*json.RawMessage) = slices.Clone(response.(json.RawMessage))
	return nil
}

func (n *node) respond(params json.RawMessage) (any, error) {
	n.waitWhilePaused()
	if n.ctx.Err() != nil {
		return nil, eris.New("closed")
	}
	return n.handler(context.Background(), slices.Clone(params))
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// states returns the state of each member as seen by the node, itself included.
func (n *node) states() map[string]State {
	states := map[string]State{}
	for _, m := range n.Members() {
		states[m.Entry.ID] = m.State
	}
	return states
}

func statesOf(state State, nodes ...*node) map[string]State {
	states := map[string]State{}
	for _, n := range nodes {
		states[n.entry.ID] = state
	}
	return states
}

// advance lets d pass in the synctest bubble, then waits until every goroutine in
// it is blocked.
func advance(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

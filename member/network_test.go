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

// frameOverhead is the bytes around the parameters and the result of a call:
// 100 of JSON-RPC and 52 of TCP and IP headers for each of three packets.
const frameOverhead = 100 + 3*52

// seed returns the seed of the run, from FOXTAILMUX_SEED when that is set.
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

// network carries calls between nodes in memory.
type network struct {
	mu    sync.Mutex
	nodes map[string]*node // by peer address
	cut   func(a, b *node) bool
	seed  uint64
}

func newNetwork(t testing.TB) *network {
	return &network{nodes: map[string]*node{}, seed: seed(t)}
}

// setCut makes pairs of nodes unreachable for each other; nil heals.
func (w *network) setCut(cut func(a, b *node) bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut = cut
}

func (w *network) find(from *node, addr string) *node {
	w.mu.Lock()
	defer w.mu.Unlock()
	to := w.nodes[addr]
	if to == nil || w.cut != nil && w.cut(from, to) {
		return nil
	}
	return to
}

// node is one instance and its Transport.
type node struct {
	*Group
	network *network
	entry   model.Entry
	bytes   atomic.Int64 // sent and received, with all overheads

	mu      sync.Mutex
	handler func(ctx context.Context, params json.RawMessage) (any, error)
	addrs   map[string]string
	thaw    chan struct{} // open while the node is paused
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

// start starts a node at the address of its entry, in place of one there.
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

// startMany starts count nodes that are spread over the data centres and know
// the first one.
func (w *network) startMany(count int, dataCentres ...string) []*node {
	list := make([]*node, count)
	for i := range list {
		list[i] = w.start(entry(i, dataCentres[i%len(dataCentres)], 0), entry(0, "", 0).PeerAddr)
	}
	return list
}

// kill ends a node without a word.
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
	n.thaw = make(chan struct{})
}

func (n *node) resume() {
	n.mu.Lock()
	defer n.mu.Unlock()
	close(n.thaw)
	n.thaw = nil
}

func (n *node) waitThaw() {
	n.mu.Lock()
	thaw := n.thaw
	n.mu.Unlock()
	if thaw != nil {
		<-thaw
	}
}

func (n *node) currentLoad() model.Load {
	n.waitThaw()
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

// Ask delivers a request. A request to a node that is cut off, and one whose
// answer is cut off, wait for the end of the context like on a silent network.
func (n *node) Ask(ctx context.Context, peerID, _ string, params, result any) error {
	addr := n.addrOf(peerID)
	if err := sleep(ctx, latency); err != nil {
		return err
	}
	to := n.network.find(n, addr)
	if to == nil {
		<-ctx.Done()
		return ctx.Err()
	}

	answers := make(chan error, 1)
	var answer any
	go func() {
		var err error
		answer, err = to.answer(params.(json.RawMessage))
		answers <- err
	}()
	select {
	case err := <-answers:
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
	size := int64(len(params.(json.RawMessage)) + len(answer.(json.RawMessage)) + frameOverhead)
	n.bytes.Add(size)
	to.bytes.Add(size)
	*result.(*json.RawMessage) = slices.Clone(answer.(json.RawMessage))
	return nil
}

func (n *node) answer(params json.RawMessage) (any, error) {
	n.waitThaw()
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

// states returns what a node believes of all members, itself included.
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

// settle lets time pass in the bubble.
func settle(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

package peer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
)

// heldProxy forwards connections to a target. While it is held it forwards no byte.
type heldProxy struct {
	net.Listener
	target string
	mu     sync.Mutex
	free   chan struct{} // closed while the proxy is not held
	conns  []net.Conn
	group  conc.WaitGroup
}

func startHeldProxy(t *testing.T, target string) *heldProxy {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &heldProxy{Listener: l, target: target, free: make(chan struct{})}
	close(p.free)
	p.group.Go(p.accept)
	t.Cleanup(func() {
		_ = l.Close()
		p.reset()
		p.group.Wait()
	})
	return p
}

func (p *heldProxy) accept() {
	for {
		near, err := p.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = near.Close()
			continue
		}
		p.mu.Lock()
		p.conns = append(p.conns, near, far)
		p.mu.Unlock()
		p.group.Go(func() { p.forward(near, far) })
		p.group.Go(func() { p.forward(far, near) })
	}
}

// forward copies bytes until either connection ends, which ends both.
func (p *heldProxy) forward(from, to net.Conn) {
	defer from.Close()
	defer to.Close()
	buffer := make([]byte, 4096)
	for {
		<-p.gate()
		n, err := from.Read(buffer)
		<-p.gate()
		if _, writeErr := to.Write(buffer[:n]); err != nil || writeErr != nil {
			return
		}
	}
}

func (p *heldProxy) gate() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.free
}

// hold holds the proxy for a time.
func (p *heldProxy) hold(d time.Duration) {
	p.mu.Lock()
	p.free = make(chan struct{})
	held := p.free
	p.mu.Unlock()
	time.Sleep(d)
	close(held)
}

// reset resets all connections.
func (p *heldProxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
	p.conns = nil
}

// callRecord is what became of one call.
type callRecord struct {
	kind    Kind // empty for a call that got its result
	code    int64
	handled bool
	result  bool // the handler returned a result
}

// Guards against one submission that is sent to two homes: a call counts as not sent or as refused, and
// its handler runs nevertheless.
func TestUnsentOrRefusedCallIsNotHandled(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			playUnsentCalls(t, seed)
		})
	}
}

// playUnsentCalls makes calls through a proxy that is held and resets its connections at times.
func playUnsentCalls(t *testing.T, seed uint64) {
	draw := rand.New(rand.NewPCG(seed, 0))
	caller, callee := optionsFor("a"), optionsFor("b")
	caller.WriteTimeout, caller.ProbeInterval, caller.ProbeTimeout = 60*time.Millisecond, 50*time.Millisecond, 50*time.Millisecond
	caller.MaxOpenCalls, callee.MaxOpenRequests, callee.MaxFrame = 120, 10, 200_000
	caller.MaxBackoff = 30 * time.Millisecond
	caller.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
		c, err := dialTCP(ctx, addr)
		if err == nil {
			err = c.(*net.TCPConn).SetWriteBuffer(4096)
		}
		return c, err
	}
	a, b := startGroup(t, caller), startGroup(t, callee)
	proxy := startHeldProxy(t, b.Addr())

	const calls = 300
	var records [calls]callRecord
	var mu sync.Mutex
	b.Handle("work", func(ctx context.Context, params json.RawMessage) (any, error) {
		var r struct{ Number, Kind, Answer int }
		if err := json.Unmarshal(params, &r); err != nil {
			return nil, err
		}
		mu.Lock()
		records[r.Number].handled, records[r.Number].result = true, r.Kind != 0
		mu.Unlock()
		if r.Kind == 0 {
			return nil, errors.New("not here")
		}
		time.Sleep(time.Duration(r.Kind) * time.Millisecond)
		return make([]byte, r.Answer), nil
	})
	a.SetPeer("b", proxy.Addr().String())

	var group conc.WaitGroup
	var stopped atomic.Bool
	group.Go(func() {
		faults := rand.New(rand.NewPCG(seed, 1))
		for !stopped.Load() {
			time.Sleep(time.Duration(50+faults.IntN(200)) * time.Millisecond)
			if faults.IntN(3) == 0 {
				proxy.reset()
			} else {
				proxy.hold(time.Duration(faults.IntN(150)) * time.Millisecond)
			}
		}
	})
	var callers conc.WaitGroup
	for n := range calls {
		params := map[string]any{"number": n, "kind": draw.IntN(12), "answer": []int{0, 0, 0, 300_000}[draw.IntN(4)], "pad": strings.Repeat("x", draw.IntN(9_000))}
		limit := time.Duration(20+draw.IntN(300)) * time.Millisecond
		callers.Go(func() {
			ctx, cancel := context.WithTimeout(t.Context(), limit)
			defer cancel()
			err := a.Call(ctx, "b", "work", params, nil)
			if err == nil {
				return
			}
			o := outcomeOf(t, err)
			mu.Lock()
			defer mu.Unlock()
			records[n].kind, records[n].code = o.Kind, o.Code
		})
		time.Sleep(time.Duration(draw.IntN(14)) * time.Millisecond)
	}
	callers.Wait()
	stopped.Store(true)
	group.Wait()
	time.Sleep(300 * time.Millisecond) // until the requests on their way are handled

	mu.Lock()
	counts := map[Kind]int{}
	for n, r := range records {
		counts[r.kind]++
		switch {
		case r.kind == NotSent && r.handled,
			r.kind == Refused && r.result,
			r.kind == Refused && (r.code == CodeBusy || r.code == CodeMethodNotFound) && r.handled:
			t.Errorf("seed %d, call %d: %+v", seed, n, r)
		}
	}
	mu.Unlock()
	t.Logf("seed %d: %v", seed, counts)
}

package peer

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"foxtailmux/model"

	"github.com/google/go-cmp/cmp"
	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"
)

// testTimeout bounds the waits of a test that is about to fail.
const testTimeout = 20 * time.Second

func startGroup(t *testing.T, o Options) *Group {
	t.Helper()
	o.ListenAddr = "127.0.0.1:0"
	g := New(o)
	if err := g.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closeGroup(t, g) })
	return g
}

func closeGroup(t *testing.T, g *Group) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	if err := g.Close(ctx); err != nil {
		t.Error(err)
	}
	<-g.Done()
}

// optionsFor returns the options of an instance with that id.
func optionsFor(id string) Options {
	return Options{Self: model.Entry{ID: id, Incarnation: id + "-1"}}
}

func echo(_ context.Context, params json.RawMessage) (any, error) {
	return params, nil
}

func call(t *testing.T, g *Group, id, method string, params, result any) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	return g.Call(ctx, id, method, params, result)
}

// outcome holds the properties of an error that callers use.
type outcome struct {
	Kind Kind
	Sent bool
	Code int64
}

func outcomeOf(t *testing.T, err error) outcome {
	t.Helper()
	var failure *Error
	if !errors.As(err, &failure) {
		t.Fatalf("got %v, want an *Error", err)
	}
	return outcome{Kind: failure.Kind, Sent: failure.Sent(), Code: failure.Code}
}

func wantOutcome(t *testing.T, err error, want outcome) {
	t.Helper()
	if diff := cmp.Diff(want, outcomeOf(t, err)); diff != "" {
		t.Errorf("%v: (-want +got)\n%s", err, diff)
	}
}

func TestConcurrentCallsGetTheirOwnResponses(t *testing.T) {
	a, b := startGroup(t, optionsFor("a")), startGroup(t, optionsFor("b"))
	for _, g := range []*Group{a, b} {
		g.Handle("echo", echo)
	}
	a.SetPeer("b", b.Addr())
	b.SetPeer("a", a.Addr())

	const calls = 500
	var wg conc.WaitGroup
	for i := range calls {
		wg.Go(func() {
			var got int
			if err := call(t, a, "b", "echo", i, &got); err != nil || got != i {
				t.Errorf("a to b: got %d, %v, want %d", got, err, i)
			}
		})
		wg.Go(func() {
			var got int
			if err := call(t, b, "a", "echo", -i, &got); err != nil || got != -i {
				t.Errorf("b to a: got %d, %v, want %d", got, err, -i)
			}
		})
	}
	wg.Wait()
}

func TestErrorsOfHandlersAreRefusals(t *testing.T) {
	a, b := startGroup(t, optionsFor("a")), startGroup(t, optionsFor("b"))
	b.Handle("fail", func(context.Context, json.RawMessage) (any, error) { return nil, eris.New("broken") })
	a.SetPeer("b", b.Addr())

	for method, code := range map[string]int64{
		"fail": CodeHandlerFailed, "absent": CodeMethodNotFound,
	} {
		wantOutcome(t, call(t, a, "b", method, nil, nil), outcome{Kind: Refused, Sent: true, Code: code})
	}
}

// A handler that panicked may have done a part of its work, so the calling instance must
// not treat the call as refused. The peer continues to serve requests.
func TestPanicOfAHandlerLeavesTheCallUnconfirmed(t *testing.T) {
	a, b := startGroup(t, optionsFor("a")), startGroup(t, optionsFor("b"))
	b.Handle("panic", func(context.Context, json.RawMessage) (any, error) { panic("broken") })
	b.Handle("echo", func(_ context.Context, p json.RawMessage) (any, error) { return p, nil })
	a.SetPeer("b", b.Addr())
	wantOutcome(t, call(t, a, "b", "panic", nil, nil), outcome{Kind: Unconfirmed, Sent: true, Code: CodeHandlerPanicked})
	var got int
	if err := call(t, a, "b", "echo", 7, &got); err != nil || got != 7 {
		t.Errorf("got %d, %v", got, err)
	}
}

func TestUnknownPeerAndRefusedConnectionAreNotSent(t *testing.T) {
	a := startGroup(t, optionsFor("a"))
	wantOutcome(t, call(t, a, "b", "echo", 1, nil), outcome{Kind: UnknownPeer})

	unused, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = unused.Close()
	a.SetPeer("b", unused.Addr().String())
	wantOutcome(t, call(t, a, "b", "echo", 1, nil), outcome{Kind: NotSent})
	wantOutcome(t, call(t, a, "b", "echo", func() {}, nil), outcome{Kind: NotSent})
}

// After an address was reused by another instance, calls for the earlier one must not
// reach it.
func TestAnotherInstanceAtTheAddressGetsNoCalls(t *testing.T) {
	a, b := startGroup(t, optionsFor("a")), startGroup(t, optionsFor("b"))
	b.Handle("echo", echo)
	a.SetPeer("c", b.Addr())
	wantOutcome(t, call(t, a, "c", "echo", 1, nil), outcome{Kind: NotSent})

	a.SetPeer(b.Addr(), b.Addr())
	if err := call(t, a, b.Addr(), "echo", 1, nil); err != nil {
		t.Errorf("a call by address failed: %v", err)
	}
}

func TestCallWithoutResponseIsUnconfirmed(t *testing.T) {
	a, b := startGroup(t, optionsFor("a")), startGroup(t, optionsFor("b"))
	var handled atomic.Int64
	entered := make(chan struct{})
	b.Handle("hang", func(ctx context.Context, _ json.RawMessage) (any, error) {
		handled.Add(1)
		close(entered)
		<-ctx.Done()
		return nil, ctx.Err()
	})
	a.SetPeer("b", b.Addr())

	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-entered
		cancel()
	}()
	wantOutcome(t, a.Call(ctx, "b", "hang", nil, nil), outcome{Kind: Unconfirmed, Sent: true})
	wantOutcome(t, a.Call(ctx, "b", "hang", nil, nil), outcome{Kind: NotSent})
	if diff := cmp.Diff(int64(1), handled.Load()); diff != "" {
		t.Errorf("handled calls (-want +got)\n%s", diff)
	}
}

func TestCloseEndsOpenCallsAsUnconfirmed(t *testing.T) {
	for _, side := range []string{"caller", "callee"} {
		t.Run(side, func(t *testing.T) {
			a, b := startGroup(t, optionsFor("a")), startGroup(t, optionsFor("b"))
			entered := make(chan struct{})
			b.Handle("hang", func(ctx context.Context, _ json.RawMessage) (any, error) {
				close(entered)
				<-ctx.Done()
				return nil, ctx.Err()
			})
			a.SetPeer("b", b.Addr())

			failed := make(chan error, 1)
			go func() { failed <- call(t, a, "b", "hang", nil, nil) }()
			<-entered
			closeGroup(t, map[string]*Group{"caller": a, "callee": b}[side])
			wantOutcome(t, <-failed, outcome{Kind: Unconfirmed, Sent: true})
		})
	}
}

func TestOversizedMessagesAreRejected(t *testing.T) {
	const limit = 10_000 // bytes
	small, large := optionsFor("a"), optionsFor("b")
	small.MaxFrame = limit
	a, b := startGroup(t, small), startGroup(t, large)
	var handled atomic.Int64
	count := func(_ context.Context, params json.RawMessage) (any, error) {
		handled.Add(1)
		return params, nil
	}
	a.Handle("echo", count)
	b.Handle("echo", count)
	b.Handle("grow", func(context.Context, json.RawMessage) (any, error) { return make([]byte, limit), nil })
	a.SetPeer("b", b.Addr())
	b.SetPeer("a", a.Addr())
	body := make([]byte, limit)

	wantOutcome(t, call(t, a, "b", "echo", body, nil), outcome{Kind: NotSent})
	wantOutcome(t, call(t, a, "b", "grow", nil, nil), outcome{Kind: Unconfirmed, Sent: true})
	wantOutcome(t, call(t, b, "a", "echo", body, nil), outcome{Kind: Unconfirmed, Sent: true})
	if diff := cmp.Diff(int64(0), handled.Load()); diff != "" {
		t.Errorf("handled calls (-want +got)\n%s", diff)
	}
	if err := call(t, b, "a", "echo", 1, nil); err != nil {
		t.Errorf("a call after the oversized frame failed: %v", err)
	}
}

// Guards against one submission that is sent to two homes: its first home has run it, and the error
// for a result that can't be sent counted as a refusal.
func TestResultThatCannotBeSentLeavesTheCallUnconfirmed(t *testing.T) {
	const limit = 10_000 // bytes
	small := optionsFor("b")
	small.MaxFrame = limit
	a, b := startGroup(t, optionsFor("a")), startGroup(t, small)
	b.Handle("grow", func(context.Context, json.RawMessage) (any, error) { return make([]byte, limit), nil })
	b.Handle("odd", func(context.Context, json.RawMessage) (any, error) { return func() {}, nil })
	a.SetPeer("b", b.Addr())
	for method, code := range map[string]int64{"grow": CodeResponseTooLarge, "odd": CodeResultInvalid} {
		o := outcomeOf(t, call(t, a, "b", method, nil, nil))
		if diff := cmp.Diff(outcome{Kind: Unconfirmed, Sent: true, Code: code}, o); diff != "" {
			t.Errorf("%s (-want +got):\n%s", method, diff)
		}
	}
}

func TestRequestsInProgressAreBounded(t *testing.T) {
	callee, caller := optionsFor("b"), optionsFor("a")
	callee.MaxOpenRequests = 2
	caller.MaxOpenCalls = 3
	a, b := startGroup(t, caller), startGroup(t, callee)
	entered, release := make(chan struct{}), make(chan struct{})
	b.Handle("block", func(context.Context, json.RawMessage) (any, error) {
		entered <- struct{}{}
		<-release
		return nil, nil
	})
	a.SetPeer("b", b.Addr())

	var wg conc.WaitGroup
	for range 2 {
		wg.Go(func() {
			if err := call(t, a, "b", "block", nil, nil); err != nil {
				t.Error(err)
			}
		})
	}
	<-entered
	<-entered
	wantOutcome(t, call(t, a, "b", "block", nil, nil), outcome{Kind: Refused, Sent: true, Code: CodeBusy})

	a.link("b").openCalls <- struct{}{}
	wantOutcome(t, call(t, a, "b", "block", nil, nil), outcome{Kind: NotSent})
	close(release)
	wg.Wait()
}

// blackHole is a TCP proxy that can drop all bytes of its connections without closing
// them, like a network partition.
type blackHole struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	dropping []*atomic.Bool // for each connection
	dropsNew atomic.Bool    // new connections drop all bytes from the start
	conns    []net.Conn
}

func startBlackHole(t *testing.T, target string) *blackHole {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h := &blackHole{listener: listener, target: target}
	go h.accept()
	t.Cleanup(h.close)
	return h
}

func (h *blackHole) accept() {
	for {
		in, err := h.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", h.target)
		if err != nil {
			_ = in.Close()
			continue
		}

		dropping := new(atomic.Bool)
		dropping.Store(h.dropsNew.Load())
		h.mu.Lock()
		h.dropping = append(h.dropping, dropping)
		h.conns = append(h.conns, in, out)
		h.mu.Unlock()
		go forward(out, in, dropping)
		go forward(in, out, dropping)
	}
}

func forward(to io.Writer, from io.Reader, dropping *atomic.Bool) {
	buf := make([]byte, 4096)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		if !dropping.Load() {
			_, _ = to.Write(buf[:n])
		}
	}
}

// dropOpen makes the open connections drop all bytes.
func (h *blackHole) dropOpen() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, b := range h.dropping {
		b.Store(true)
	}
}

func (h *blackHole) connections() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.dropping)
}

func (h *blackHole) close() {
	_ = h.listener.Close()
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, c := range h.conns {
		_ = c.Close()
	}
}

// A partition may drop the packets of a connection without closing it. The open call must
// fail, and later calls must use a new connection.
func TestConnectionThatDropsPacketsIsReplaced(t *testing.T) {
	a, b := startGroup(t, optionsFor("a")), startGroup(t, optionsFor("b"))
	var handled atomic.Int64
	entered, stop := make(chan struct{}), make(chan struct{})
	b.Handle("echo", func(_ context.Context, params json.RawMessage) (any, error) {
		handled.Add(1)
		return params, nil
	})
	b.Handle("hang", func(context.Context, json.RawMessage) (any, error) {
		close(entered)
		<-stop
		return nil, nil
	})
	defer close(stop)
	proxy := startBlackHole(t, b.Addr())
	a.SetPeer("b", proxy.listener.Addr().String())

	openCall := make(chan error, 1)
	go func() { openCall <- a.Call(context.Background(), "b", "hang", nil, nil) }()
	<-entered
	proxy.dropOpen()

	select {
	case err := <-openCall:
		wantOutcome(t, err, outcome{Kind: Unconfirmed, Sent: true})
	case <-time.After(testTimeout):
		t.Fatal("the open call still waits on the connection that drops packets")
	}
	for i := range 10 {
		if err := call(t, a, "b", "echo", i, nil); err != nil {
			t.Errorf("call %d after the packets were dropped: %v", i, err)
		}
	}
	if diff := cmp.Diff(2, proxy.connections()); diff != "" {
		t.Errorf("connections (-want +got)\n%s", diff)
	}
	if diff := cmp.Diff(int64(10), handled.Load()); diff != "" {
		t.Errorf("handled calls (-want +got)\n%s", diff)
	}
}

// A connection that started to drop packets while it was idle must be probed before a call
// is written to it.
func TestIdleConnectionThatDropsPacketsLosesNoCall(t *testing.T) {
	o := optionsFor("a")
	a, b := startGroup(t, o), startGroup(t, optionsFor("b"))
	b.Handle("echo", echo)
	proxy := startBlackHole(t, b.Addr())
	a.SetPeer("b", proxy.listener.Addr().String())
	if err := call(t, a, "b", "echo", 1, nil); err != nil {
		t.Fatal(err)
	}

	proxy.dropOpen()
	c := a.link("b").current.Load()
	for c.usable() {
		time.Sleep(time.Millisecond)
	}
	if err := call(t, a, "b", "echo", 2, nil); err != nil {
		t.Errorf("the call was lost on the connection that drops packets: %v", err)
	}
}

func TestRestartedPeerIsReachedAgain(t *testing.T) {
	a, b := startGroup(t, optionsFor("a")), startGroup(t, optionsFor("b"))
	b.Handle("echo", echo)
	addr := b.Addr()
	a.SetPeer("b", addr)
	if err := call(t, a, "b", "echo", 1, nil); err != nil {
		t.Fatal(err)
	}
	closeGroup(t, b)

	restarted := New(Options{Self: model.Entry{ID: "b"}, ListenAddr: addr})
	restarted.Handle("echo", echo)
	if err := restarted.Start(); err != nil {
		t.Fatal(err)
	}
	defer closeGroup(t, restarted)

	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	for ctx.Err() == nil {
		if call(t, a, "b", "echo", 2, nil) == nil {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Error("the peer was not reached again")
}

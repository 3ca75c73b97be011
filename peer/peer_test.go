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

// patience bounds the waits of a test that is about to fail.
const patience = 20 * time.Second

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
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	if err := g.Close(ctx); err != nil {
		t.Error(err)
	}
	<-g.Done()
}

func named(id string) Options {
	return Options{Self: model.Entry{ID: id, Incarnation: id + "-1"}}
}

func echo(_ context.Context, params json.RawMessage) (any, error) {
	return params, nil
}

func call(t *testing.T, g *Group, id, method string, params, result any) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	return g.Call(ctx, id, method, params, result)
}

// outcome is what a caller can tell from an error.
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

func TestConcurrentCallsGetTheirOwnAnswers(t *testing.T) {
	a, b := startGroup(t, named("a")), startGroup(t, named("b"))
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

func TestErrorsOfThePeerAreRefusals(t *testing.T) {
	a, b := startGroup(t, named("a")), startGroup(t, named("b"))
	b.Handle("fail", func(context.Context, json.RawMessage) (any, error) { return nil, eris.New("broken") })
	b.Handle("unencodable", func(context.Context, json.RawMessage) (any, error) { return func() {}, nil })
	a.SetPeer("b", b.Addr())

	for method, code := range map[string]int64{
		"fail": CodeHandlerFailed, "unencodable": CodeHandlerFailed, "absent": CodeMethodNotFound,
	} {
		wantOutcome(t, call(t, a, "b", method, nil, nil), outcome{Kind: Refused, Sent: true, Code: code})
	}
}

// A handler that panicked may have done a part of its work, so that its caller must not
// take the call for refused. The peer serves on.
func TestPanicOfAHandlerLeavesTheCallUnknown(t *testing.T) {
	a, b := startGroup(t, named("a")), startGroup(t, named("b"))
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
	a := startGroup(t, named("a"))
	wantOutcome(t, call(t, a, "b", "echo", 1, nil), outcome{Kind: UnknownPeer})

	gone, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = gone.Close()
	a.SetPeer("b", gone.Addr().String())
	wantOutcome(t, call(t, a, "b", "echo", 1, nil), outcome{Kind: NotSent})
	wantOutcome(t, call(t, a, "b", "echo", func() {}, nil), outcome{Kind: NotSent})
}

func TestAnotherInstanceAtTheAddressGetsNoCalls(t *testing.T) {
	a, b := startGroup(t, named("a")), startGroup(t, named("b"))
	b.Handle("echo", echo)
	a.SetPeer("c", b.Addr())
	wantOutcome(t, call(t, a, "c", "echo", 1, nil), outcome{Kind: NotSent})

	a.SetPeer(b.Addr(), b.Addr())
	if err := call(t, a, b.Addr(), "echo", 1, nil); err != nil {
		t.Errorf("a call by address failed: %v", err)
	}
}

func TestCallThatIsNeverAnsweredIsUnknown(t *testing.T) {
	a, b := startGroup(t, named("a")), startGroup(t, named("b"))
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

func TestCloseEndsCallsInFlightAsUnknown(t *testing.T) {
	for _, side := range []string{"caller", "callee"} {
		t.Run(side, func(t *testing.T) {
			a, b := startGroup(t, named("a")), startGroup(t, named("b"))
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

func TestOversizeMessages(t *testing.T) {
	const limit = 10_000 // bytes
	small, large := named("a"), named("b")
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
		t.Errorf("a call after the oversize frame failed: %v", err)
	}
}

func TestAnswerAboveTheLimitIsRefused(t *testing.T) {
	const limit = 10_000 // bytes
	small := named("b")
	small.MaxFrame = limit
	a, b := startGroup(t, named("a")), startGroup(t, small)
	b.Handle("grow", func(context.Context, json.RawMessage) (any, error) { return make([]byte, limit), nil })
	a.SetPeer("b", b.Addr())
	wantOutcome(t, call(t, a, "b", "grow", nil, nil), outcome{Kind: Refused, Sent: true, Code: CodeResponseTooLarge})
}

func TestRequestsInProgressAreBounded(t *testing.T) {
	callee, caller := named("b"), named("a")
	callee.MaxOpenRequests = 2
	caller.MaxOpenCalls = 3
	a, b := startGroup(t, caller), startGroup(t, callee)
	entered, release := make(chan struct{}), make(chan struct{})
	b.Handle("hold", func(context.Context, json.RawMessage) (any, error) {
		entered <- struct{}{}
		<-release
		return nil, nil
	})
	a.SetPeer("b", b.Addr())

	var wg conc.WaitGroup
	for range 2 {
		wg.Go(func() {
			if err := call(t, a, "b", "hold", nil, nil); err != nil {
				t.Error(err)
			}
		})
	}
	<-entered
	<-entered
	wantOutcome(t, call(t, a, "b", "hold", nil, nil), outcome{Kind: Refused, Sent: true, Code: CodeBusy})

	a.link("b").slots <- struct{}{}
	wantOutcome(t, call(t, a, "b", "hold", nil, nil), outcome{Kind: NotSent})
	close(release)
	wg.Wait()
}

// swallower forwards connections until it is told to drop all bytes of those
// that are open, without closing them.
type swallower struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	silent   []*atomic.Bool
	frozen   atomic.Bool // new connections are silent from the start
	conns    []net.Conn
}

func startSwallower(t *testing.T, target string) *swallower {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &swallower{listener: listener, target: target}
	go s.accept()
	t.Cleanup(s.close)
	return s
}

func (s *swallower) accept() {
	for {
		in, err := s.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", s.target)
		if err != nil {
			_ = in.Close()
			continue
		}

		silent := new(atomic.Bool)
		silent.Store(s.frozen.Load())
		s.mu.Lock()
		s.silent = append(s.silent, silent)
		s.conns = append(s.conns, in, out)
		s.mu.Unlock()
		go pump(out, in, silent)
		go pump(in, out, silent)
	}
}

func pump(to io.Writer, from io.Reader, silent *atomic.Bool) {
	buf := make([]byte, 4096)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		if !silent.Load() {
			_, _ = to.Write(buf[:n])
		}
	}
}

func (s *swallower) silence() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, b := range s.silent {
		b.Store(true)
	}
}

func (s *swallower) connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.silent)
}

func (s *swallower) close() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		_ = c.Close()
	}
}

func TestSilentConnectionIsReplaced(t *testing.T) {
	a, b := startGroup(t, named("a")), startGroup(t, named("b"))
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
	proxy := startSwallower(t, b.Addr())
	a.SetPeer("b", proxy.listener.Addr().String())

	inFlight := make(chan error, 1)
	go func() { inFlight <- a.Call(context.Background(), "b", "hang", nil, nil) }()
	<-entered
	proxy.silence()

	select {
	case err := <-inFlight:
		wantOutcome(t, err, outcome{Kind: Unconfirmed, Sent: true})
	case <-time.After(patience):
		t.Fatal("the call in flight still waits on the silent connection")
	}
	for i := range 10 {
		if err := call(t, a, "b", "echo", i, nil); err != nil {
			t.Errorf("call %d after the silence: %v", i, err)
		}
	}
	if diff := cmp.Diff(2, proxy.connections()); diff != "" {
		t.Errorf("connections (-want +got)\n%s", diff)
	}
	if diff := cmp.Diff(int64(10), handled.Load()); diff != "" {
		t.Errorf("handled calls (-want +got)\n%s", diff)
	}
}

func TestIdleSilentConnectionSwallowsNoCall(t *testing.T) {
	o := named("a")
	a, b := startGroup(t, o), startGroup(t, named("b"))
	b.Handle("echo", echo)
	proxy := startSwallower(t, b.Addr())
	a.SetPeer("b", proxy.listener.Addr().String())
	if err := call(t, a, "b", "echo", 1, nil); err != nil {
		t.Fatal(err)
	}

	proxy.silence()
	c := a.link("b").present.Load()
	for c.usable() {
		time.Sleep(time.Millisecond)
	}
	if err := call(t, a, "b", "echo", 2, nil); err != nil {
		t.Errorf("the call was lost on the silent connection: %v", err)
	}
}

func TestPeerThatComesBackIsReached(t *testing.T) {
	a, b := startGroup(t, named("a")), startGroup(t, named("b"))
	b.Handle("echo", echo)
	addr := b.Addr()
	a.SetPeer("b", addr)
	if err := call(t, a, "b", "echo", 1, nil); err != nil {
		t.Fatal(err)
	}
	closeGroup(t, b)

	again := New(Options{Self: model.Entry{ID: "b"}, ListenAddr: addr})
	again.Handle("echo", echo)
	if err := again.Start(); err != nil {
		t.Fatal(err)
	}
	defer closeGroup(t, again)

	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	for ctx.Err() == nil {
		if call(t, a, "b", "echo", 2, nil) == nil {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Error("the peer was not reached again")
}

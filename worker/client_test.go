package worker

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"foxtailmux/fakes"
	"foxtailmux/model"
)

const testMaxIdle = 5 * time.Second

// startFake starts a stand-in for a worker for the duration of the test.
func startFake(t *testing.T) *fakes.Worker {
	t.Helper()

	w, err := fakes.StartWorker(fakes.WorkerOptions{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(w.Close)
	return w
}

func newTestClient(t *testing.T, addr string) *Client {
	t.Helper()

	c := NewClient(addr, DialTCP, testMaxIdle)
	t.Cleanup(c.Close)
	return c
}

func startRequest(t *testing.T, id string, lease time.Duration) model.StartRequest {
	t.Helper()

	payload, err := json.Marshal(fakes.Payload{Nonce: id, RunMillis: 1})
	if err != nil {
		t.Fatal(err)
	}
	return model.StartRequest{TaskID: id, Attempt: 1, LeaseMillis: lease.Milliseconds(), Payload: payload}
}

func mustStart(t *testing.T, c *Client, id string) {
	t.Helper()

	reply, err := c.Start(t.Context(), startRequest(t, id, 10*time.Second))
	if err != nil {
		t.Fatalf("start %s: %v", id, err)
	}
	if diff := cmp.Diff(model.OutcomeDone, reply.Outcome); diff != "" {
		t.Fatalf("outcome of %s (-want +got):\n%s", id, diff)
	}
}

func wantKind(t *testing.T, err error, want Kind) {
	t.Helper()

	var e *Error
	if !errors.As(err, &e) {
		t.Fatalf("error is %v, want a *worker.Error", err)
	}
	if diff := cmp.Diff(want, e.Kind); diff != "" {
		t.Fatalf("kind of %v (-want +got):\n%s", err, diff)
	}
}

// countStarts returns how many start requests for a task the worker has accepted.
func countStarts(w *fakes.Worker, taskID string) int {
	var n int
	for _, e := range w.Events().Events {
		if e.Event == fakes.EventStart && e.TaskID == taskID {
			n++
		}
	}
	return n
}

func TestRefusedConnectionProvesNotSent(t *testing.T) {
	w := startFake(t)
	if err := w.SetFaults(fakes.WorkerFaults{RejectConnections: true}); err != nil {
		t.Fatal(err)
	}

	_, err := newTestClient(t, w.Addr()).Start(t.Context(), startRequest(t, "a", time.Second))
	wantKind(t, err, KindNotSent)
}

func TestLostReplyIsUnknownAndStartsOnce(t *testing.T) {
	w := startFake(t)
	c := newTestClient(t, w.Addr())
	mustStart(t, c, "warm")
	if err := w.SetFaults(fakes.WorkerFaults{CloseAfterRead: true}); err != nil {
		t.Fatal(err)
	}

	_, err := c.Start(t.Context(), startRequest(t, "a", time.Second))
	wantKind(t, err, KindUnknown)
	if diff := cmp.Diff(1, countStarts(w, "a")); diff != "" {
		t.Errorf("starts (-want +got):\n%s", diff)
	}
}

func TestConnectionClosedByWorkerIsNotUsed(t *testing.T) {
	server, addr := listen(t)
	accepted := make(chan net.Conn, 2)
	go acceptConns(server, accepted)

	c := newTestClient(t, addr)
	c.lastResponse.Store(time.Now().UnixNano()) // the server does not report a status
	k, _, err := c.acquire(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	c.putIdle(k)

	first := <-accepted
	_ = first.Close()
	waitFor(t, func() bool { return k.checkSocket() != nil })

	fresh, _, err := c.acquire(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if fresh == k {
		t.Error("acquire returned the closed connection")
	}
	if diff := cmp.Diff(1, c.OpenConnections()); diff != "" {
		t.Errorf("open connections (-want +got):\n%s", diff)
	}
}

// Guards against further starts on connections that no longer work: a timeout on one of
// them closes the idle ones too.
func TestUnresponsiveConnectionClosesIdleConnections(t *testing.T) {
	w := startFake(t)
	c := newTestClient(t, w.Addr())
	ks := []*conn{mustGet(t, c), mustGet(t, c)}
	for _, k := range ks {
		c.putIdle(k)
	}
	mustStart(t, c, "warm")
	if err := w.SetFaults(fakes.WorkerFaults{BlackHole: true}); err != nil {
		t.Fatal(err)
	}

	_, err := c.Start(t.Context(), startRequest(t, "a", time.Millisecond))
	wantKind(t, err, KindUnknown)
	if diff := cmp.Diff(0, c.OpenConnections()); diff != "" {
		t.Errorf("open connections (-want +got):\n%s", diff)
	}
	mustStart(t, c, "b")
}

func TestEndedContextSendsNothing(t *testing.T) {
	w := startFake(t)
	c := newTestClient(t, w.Addr())
	mustStart(t, c, "warm")

	ctx, cancel := context.WithDeadline(t.Context(), time.Now().Add(-time.Second))
	defer cancel()
	_, err := c.Start(ctx, startRequest(t, "a", time.Second))
	wantKind(t, err, KindNotSent)
	if diff := cmp.Diff(0, countStarts(w, "a")); diff != "" {
		t.Errorf("starts (-want +got):\n%s", diff)
	}
}

func TestCancelledAttemptReportsItsOutcome(t *testing.T) {
	w := startFake(t)
	c := newTestClient(t, w.Addr())
	r := startRequest(t, "a", 30*time.Second)
	r.Payload = json.RawMessage(`{"nonce":"a","runMillis":20000}`)

	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		waitUntil(func() bool { return countStarts(w, "a") == 1 })
		cancel()
	}()

	reply, err := c.Start(ctx, r)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(model.OutcomeCancelled, reply.Outcome); diff != "" {
		t.Errorf("outcome (-want +got):\n%s", diff)
	}
}

func TestReplyForAnotherTaskIsUnknown(t *testing.T) {
	server, addr := listen(t)
	go func() {
		c, err := server.Accept()
		if err != nil {
			return
		}
		buf := make([]byte, 4096)
		_, _ = c.Read(buf)
		_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 31\r\n\r\n" + `{"taskId":"b","outcome":"done"}`))
	}()

	c := newTestClient(t, addr)
	c.lastResponse.Store(time.Now().UnixNano()) // the server does not report a status
	_, err := c.Start(t.Context(), startRequest(t, "a", time.Second))
	wantKind(t, err, KindUnknown)
	if !strings.Contains(err.Error(), `reply is for task "b"`) {
		t.Errorf("error is %v, want one about the other task", err)
	}
}

func listen(t *testing.T) (net.Listener, string) {
	t.Helper()

	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l, l.Addr().String()
}

func acceptConns(l net.Listener, accepted chan<- net.Conn) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		accepted <- c
	}
}

func mustGet(t *testing.T, c *Client) *conn {
	t.Helper()

	k, _, err := c.acquire(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	return k
}

func waitUntil(condition func() bool) bool {
	for range 10_000 {
		if condition() {
			return true
		}
		time.Sleep(time.Millisecond)
	}
	return false
}

func waitFor(t *testing.T, condition func() bool) {
	t.Helper()

	if !waitUntil(condition) {
		t.Fatal("timed out waiting for the condition")
	}
}

package entry

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/phuslu/log"

	"foxtailmux/home"
	"foxtailmux/memory"
	"foxtailmux/model"
)

// plainProtocol is a Protocol in which most bodies are a job with one task, and a few
// words stand for other cases.
type plainProtocol struct{}

// errUnserved is the error for a well-formed job of a kind that is not served.
type errUnserved struct{ error }

func (errUnserved) NotServed() bool { return true }

func (plainProtocol) ReadyPath() string     { return "/ready" }
func (plainProtocol) TimeoutHeader() string { return "Patience" }
func (plainProtocol) DecodeTimeout(text string) (time.Duration, error) {
	return time.ParseDuration("0" + text)
}

func (plainProtocol) SucceededBody() []byte    { return []byte("succeeded") }
func (plainProtocol) FailedBody() []byte       { return []byte("failed") }
func (plainProtocol) PendingBody(n int) []byte { return []byte(strings.Repeat("p", n)) }

func (plainProtocol) DecodeBytes([]byte) int64 { return 0 }

func (plainProtocol) DecodeBatch(id, queue string, body []byte) (model.Batch, error) {
	switch string(body) {
	case "bad":
		return model.Batch{}, errors.New("bad body")
	case "other":
		return model.Batch{}, errUnserved{errors.New("not served")}
	case "huge":
		return model.Batch{ID: id, Steps: []model.Step{{Replicas: DefaultMaxTasks + 1}}}, nil
	}
	return model.Batch{ID: id, Queue: queue, Steps: []model.Step{{Replicas: 1, Estimate: time.Second}}}, nil
}

// dispatcher is a fake Dispatcher that returns the same outcome for each job.
type dispatcher struct {
	routing    *model.Routing
	configured chan struct{} // closed when there is a configuration; nil if there is one from the start
	outcome    home.Outcome
	wait       bool // wait until the job is cancelled
	panics     bool // panic on the first job
	ran        atomic.Int32
	ready      error
}

func (d *dispatcher) Routing() *model.Routing {
	select {
	case <-d.Configured():
		return d.routing
	default:
		return nil
	}
}

func (d *dispatcher) Configured() <-chan struct{} {
	if d.configured != nil {
		return d.configured
	}
	there := make(chan struct{})
	close(there)
	return there
}

func (d *dispatcher) Pending(context.Context, string) int { return 3 }
func (d *dispatcher) Ready() error                        { return d.ready }
func (d *dispatcher) Run(ctx context.Context, _ home.Submission) home.Outcome {
	if n := d.ran.Add(1); d.panics && n == 1 {
		panic("unexpected job")
	}
	if d.wait {
		<-ctx.Done()
		return home.Outcome{Result: home.Cancelled}
	}
	return d.outcome
}

// ignoringObserver is an Observer that records nothing.
type ignoringObserver struct{}

func (ignoringObserver) Answered(string, string)               {}
func (ignoringObserver) Held(int64, int)                       {}
func (ignoringObserver) Closed(string)                         {}
func (ignoringObserver) Refused(string)                        {}
func (ignoringObserver) Response(time.Duration, time.Duration) {}

var testRouting = &model.Routing{
	Version: 1,
	Routes: []model.Route{
		{Name: "a", Host: "h.example", Prefix: "/q/"},
		{Name: "b", Host: "h.example", Prefix: "/q/longer/"},
		{Name: "c", Host: "h.example", Prefix: "/advised/", ExternalPlacement: true},
	},
	Limits: model.RequestLimits{MaxHeader: 1000, MaxBody: 100},
}

// serveQueues returns a started server and the addresses for callers and for the load
// balancer.
func serveQueues(t *testing.T, d *dispatcher) (s *QueueServer, callers, balancer string) {
	t.Helper()
	return serveQueuesBehind(t, d, &fixedPause{}, func(l net.Listener) net.Listener { return l })
}

// serveQueuesBehind is serveQueues with a latest pause and a wrapper of the callers' listener.
func serveQueuesBehind(t *testing.T, d Dispatcher, p PauseSource, wrap func(net.Listener) net.Listener) (s *QueueServer, callers, balancer string) {
	t.Helper()
	return serveQueuesLogged(t, d, p, wrap, io.Discard)
}

// serveQueuesLogged is serveQueuesBehind with a writer of the log.
func serveQueuesLogged(t *testing.T, d Dispatcher, p PauseSource, wrap func(net.Listener) net.Listener, w io.Writer) (s *QueueServer, callers, balancer string) {
	t.Helper()
	listeners := make([]net.Listener, 2)
	for i := range listeners {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listeners[i] = l
	}
	s = NewQueueServer(QueueOptions{
		CallerListener: wrap(listeners[0]), BalancerListener: listeners[1], Protocol: plainProtocol{}, Dispatcher: d, Pauses: p, Observer: ignoringObserver{},
		Limits: Limits{MaxBodyBytes: 1 << 20, MaxHeaderBytes: 4096, MaxConnections: 100, ReadTimeout: 5 * time.Second, IdleTimeout: 5 * time.Second},
		Budget: memory.NewBudget(memory.Limits{Connections: 100, Bytes: 1 << 20}, ignoringObserver{}),
		Log:    &log.Logger{Writer: log.IOWriter{Writer: w}},
	})
	if err := s.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		if err := s.Stop(ctx); err != nil {
			t.Error(err)
		}
	})
	return s, listeners[0].Addr().String(), listeners[1].Addr().String()
}

// queueReply is a response as the caller reads it.
type queueReply struct {
	Status     int
	Body       string
	RetryAfter string
}

// exchange sends a request and returns the response.
func exchange(t *testing.T, method, addr, path, body string) queueReply {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, "http://"+addr+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "h.example"
	req.Header.Set("Patience", "5s")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return queueReply{resp.StatusCode, string(text), resp.Header.Get("Retry-After")}
}

func TestOutcomesOfJobs(t *testing.T) {
	cases := map[home.Result]queueReply{
		home.Succeeded: {200, "succeeded", ""},
		home.Failed:    {200, "failed", ""},
		home.Refused:   {503, "why", "2"}, // 1.2 s, rounded up
		home.Lost:      {504, "why", ""},
		home.Cancelled: {504, "why", ""},
	}
	for v, want := range cases {
		d := &dispatcher{routing: testRouting, outcome: home.Outcome{Result: v, Reason: "why", RetryAfter: 1200 * time.Millisecond}}
		_, addr, _ := serveQueues(t, d)
		if diff := cmp.Diff(want, exchange(t, "POST", addr, "/q/5c0e", "1")); diff != "" {
			t.Errorf("%s: %s", v, diff)
		}
	}
}

func TestInvalidAndUnsupportedRequestsRunNoJob(t *testing.T) {
	d := &dispatcher{routing: testRouting}
	_, addr, balancer := serveQueues(t, d)
	cases := []struct {
		method, path, body string
		want               int
	}{
		{"POST", "/none/5c0e", "1", 404},
		{"POST", "/q/", "1", 400},
		{"POST", "/q/a.b", "1", 400},
		{"POST", "/q/5c0e", "bad", 400},
		{"POST", "/q/5c0e", "huge", 400},
		{"POST", "/q/5c0e", "other", 503},
		{"POST", "/advised/5c0e", "1", 503},
		{"POST", "/q/5c0e", strings.Repeat("x", 101), 413},
		{"POST", "/q/5c0e?" + strings.Repeat("x", 1000), "1", 431},
		{"GET", "/q/5c0e", "", 410},
		{"DELETE", "/q/5c0e", "", 410},
		{"PUT", "/q/5c0e", "", 405},
	}
	for _, c := range cases {
		if got := exchange(t, c.method, addr, c.path, c.body).Status; got != c.want {
			t.Errorf("%s %s: %d, want %d", c.method, c.path, got, c.want)
		}
	}
	if n := d.ran.Load(); n != 0 {
		t.Errorf("%d jobs ran", n)
	}
	if diff := cmp.Diff(queueReply{200, "ppp", ""}, exchange(t, "GET", addr, "/q/longer/", "")); diff != "" {
		t.Error(diff)
	}

	d.routing = nil
	if got := exchange(t, "POST", addr, "/q/5c0e", "1"); got.Status != 503 || got.RetryAfter == "" {
		t.Errorf("no configuration: %+v", got)
	}
	if got := exchange(t, "GET", balancer, "/ready", "").Status; got != 200 {
		t.Errorf("ready: %d", got)
	}
	d.ready = errors.New("leaving")
	if got := exchange(t, "GET", balancer, "/ready", "").Status; got != 503 {
		t.Errorf("not ready: %d", got)
	}
}

func TestLongestPrefixWins(t *testing.T) {
	route, rest, ok := findRoute(testRouting, "h.example", "/q/longer/5c0e")
	if route.Name != "b" || rest != "5c0e" || !ok {
		t.Errorf("%q %q %v", route.Name, rest, ok)
	}
	if _, _, ok := findRoute(testRouting, "other.example", "/q/5c0e"); ok {
		t.Error("another host has no queue")
	}
}

// A job that is not likely to end before the instance stops would be cut off. It has to
// be refused before anything of it runs.
func TestStoppingServerRefusesJobsThatCannotEnd(t *testing.T) {
	d := &dispatcher{routing: testRouting, outcome: home.Outcome{Result: home.Succeeded}}
	s, addr, _ := serveQueues(t, d)
	s.Drain(time.Now().Add(time.Minute))
	early := exchange(t, "POST", addr, "/q/5c0e", "1").Status
	s.Drain(time.Now().Add(time.Second)) // the estimate of the job is one second
	late := exchange(t, "POST", addr, "/q/5c0f", "1").Status
	if diff := cmp.Diff([]int{200, 503}, []int{early, late}); diff != "" || d.ran.Load() != 1 {
		t.Errorf("%s, %d ran", diff, d.ran.Load())
	}
}

// Guards against a request that is cut off by a planned stop: its job was accepted shortly before the
// limit of the stop, and takes longer than expected.
func TestJobThatOutlastsTheStopIsAnsweredBeforeTheClose(t *testing.T) {
	d := &dispatcher{routing: testRouting, wait: true}
	s, addr, _ := serveQueues(t, d)
	closesAt := time.Now().Add(2300 * time.Millisecond) // twice the estimate, and a bit
	s.Drain(closesAt)
	status := exchange(t, "POST", addr, "/q/5c0e", "1").Status
	if diff := cmp.Diff(http.StatusGatewayTimeout, status); diff != "" {
		t.Errorf("status (-want +got):\n%s", diff)
	}
	if left := time.Until(closesAt); left < 0 {
		t.Errorf("answered %v after the close", -left)
	}
}

func TestJobOfADisconnectedCallerIsCancelled(t *testing.T) {
	d := &dispatcher{routing: testRouting, wait: true}
	s, addr, _ := serveQueues(t, d)
	ctx, cancel := context.WithCancel(t.Context())
	req, err := http.NewRequestWithContext(ctx, "POST", "http://"+addr+"/q/5c0e", strings.NewReader("1"))
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "h.example"
	req.Header.Set("Patience", "1h")
	go func() {
		for d.ran.Load() == 0 {
			time.Sleep(time.Millisecond)
		}
		cancel()
	}()
	if resp, err := (&http.Client{Transport: &http.Transport{}}).Do(req); err == nil {
		resp.Body.Close()
		t.Error("the caller got an answer")
	}
	for limit := time.Now().Add(5 * time.Second); s.Open() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatal("the job was not cancelled")
		}
	}
}

// postJob submits a job and returns the HTTP status of the response.
func postJob(t *testing.T, callers string) int {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, "http://"+callers+"/q/1", strings.NewReader("1"))
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "h.example"
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// Parts of a job may have run when its request panics, so the response must not state
// that nothing ran. The next requests have to be served.
func TestPanicOfARequestIsAnsweredAndOthersAreServed(t *testing.T) {
	d := &dispatcher{routing: testRouting, outcome: home.Outcome{Result: home.Succeeded}, panics: true}
	_, callers, _ := serveQueues(t, d)
	got := []int{postJob(t, callers), postJob(t, callers)}
	if diff := cmp.Diff([]int{http.StatusGatewayTimeout, http.StatusOK}, got); diff != "" {
		t.Error(diff)
	}
}

// An instance that has just started has no configuration for a few milliseconds. Requests
// that arrive in this time have to wait for it instead of being refused. If none arrives
// within configurationWait, they are refused.
func TestRequestsWaitForTheFirstConfiguration(t *testing.T) {
	d := &dispatcher{routing: testRouting, configured: make(chan struct{}), outcome: home.Outcome{Result: home.Succeeded}}
	_, callers, _ := serveQueues(t, d)
	began := time.Now()
	got := []int{postJob(t, callers)}
	if took := time.Since(began); took < configurationWait || took > 20*configurationWait {
		t.Errorf("refused after %v", took)
	}
	time.AfterFunc(configurationWait/5, func() { close(d.configured) })
	got = append(got, postJob(t, callers))
	if diff := cmp.Diff([]int{http.StatusServiceUnavailable, http.StatusOK}, got); diff != "" {
		t.Error(diff)
	}
}

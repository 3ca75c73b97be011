package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/phuslu/log"

	"foxtailmux/home"
)

// requestLine holds the fields of a log line about a request that submits a job.
type requestLine struct {
	Message       string    `json:"message"`
	Job           string    `json:"job"`
	Status        int       `json:"status"`
	Result        string    `json:"verdict"`
	TookMillis    int64     `json:"tookMillis"`
	Caller        string    `json:"caller"`
	CallerLeft    bool      `json:"callerLeft"`
	Arrived       time.Time `json:"arrived"`
	UnreadMillis  int64     `json:"unreadMillis"`
	TimeoutMillis int64     `json:"timeoutMillis"`
	Attempts      []string  `json:"attempts"`
}

// lineBuffer is a log that is read while it is written.
type lineBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *lineBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

// awaitLines waits for a number of lines with a job and returns them.
func (b *lineBuffer) awaitLines(t *testing.T, n int) []requestLine {
	t.Helper()
	for limit := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
		var got []requestLine
		b.mu.Lock()
		for text := range bytes.Lines(b.text.Bytes()) {
			var l requestLine
			if err := json.Unmarshal(text, &l); err != nil {
				t.Error(err)
			}
			if l.Job != "" {
				got = append(got, l)
			}
		}
		b.mu.Unlock()
		if len(got) >= n {
			return got
		}
		if time.Now().After(limit) {
			t.Fatalf("%d lines name a job, want %d", len(got), n)
		}
	}
}

// attemptingDispatcher is a Dispatcher that records an attempt, and waits until its job is cancelled or
// released.
type attemptingDispatcher struct {
	dispatcher
	began   chan struct{} // receives a value for each job
	release chan struct{}
}

func (d *attemptingDispatcher) Run(ctx context.Context, s home.Submission) home.Outcome {
	end := s.Attempts.Begin("entry/9.1 0-")
	d.began <- struct{}{}
	select {
	case <-ctx.Done():
		end("given up")
		return home.Outcome{Result: home.Cancelled}
	case <-d.release:
		end("succeeded")
		return home.Outcome{Result: home.Succeeded}
	}
}

// Guards against a request whose line does not tell when it came, from whom and where its job went, or that
// has no line at all since its caller has left or the process stops.
func TestLogTellsWhatBecameOfARequest(t *testing.T) {
	const name = "entry/9.1 0-"
	answered := func(l requestLine) requestLine {
		l.Message, l.Job, l.TimeoutMillis = "request answered", "5c0e", 9000
		return l
	}
	givenUp := answered(requestLine{Status: http.StatusGatewayTimeout, Result: "cancelled", Attempts: []string{name + "given up"}})
	left := givenUp
	left.CallerLeft = true
	cut := answered(requestLine{Attempts: []string{name + "open"}})
	cut.Message = "request cut"
	cases := map[string]struct {
		end  func(d *attemptingDispatcher, s *QueueServer, c *net.TCPConn)
		want requestLine
	}{
		"answered": {
			end:  func(d *attemptingDispatcher, _ *QueueServer, _ *net.TCPConn) { close(d.release) },
			want: answered(requestLine{Status: http.StatusOK, Result: "succeeded", Attempts: []string{name + "succeeded"}}),
		},
		"caller closes":       {end: func(_ *attemptingDispatcher, _ *QueueServer, c *net.TCPConn) { _ = c.Close() }, want: left},
		"caller closes half":  {end: func(_ *attemptingDispatcher, _ *QueueServer, c *net.TCPConn) { _ = c.CloseWrite() }, want: left},
		"connection is reset": {end: func(_ *attemptingDispatcher, _ *QueueServer, c *net.TCPConn) { _, _ = c.SetLinger(0), c.Close() }, want: left},
		"stop ends before the job": {end: func(_ *attemptingDispatcher, s *QueueServer, _ *net.TCPConn) {
			ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
			defer cancel()
			_ = s.Stop(ctx)
		}, want: cut},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var logged lineBuffer
			d := &attemptingDispatcher{dispatcher{routing: testRouting}, make(chan struct{}, 1), make(chan struct{})}
			s, addr, _ := serveQueuesLogged(t, d, &fixedPause{}, func(l net.Listener) net.Listener { return l }, &logged)
			conn, err := net.Dial("tcp", addr)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			sent := time.Now()
			if _, err := io.WriteString(conn, "POST /q/5c0e HTTP/1.1\r\nHost: h.example\r\nPatience: 9s\r\nContent-Length: 1\r\n\r\nx"); err != nil {
				t.Fatal(err)
			}
			<-d.began
			c.end(d, s, conn.(*net.TCPConn))

			got := logged.awaitLines(t, 1)
			for i := range got {
				if off := got[i].Arrived.Sub(sent).Abs(); off > 50*time.Millisecond {
					t.Errorf("arrived %v from when it was sent", off)
				}
				got[i].Arrived, got[i].TookMillis, got[i].UnreadMillis = time.Time{}, 0, 0
			}
			c.want.Caller = conn.LocalAddr().String()
			if diff := cmp.Diff([]requestLine{c.want}, got); diff != "" {
				t.Errorf("lines (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against a request that leaves no line with its job since it was read too late, and against one
// whose line doesn't tell for how long it had waited.
func TestLogTellsThatARequestWaitedUnread(t *testing.T) {
	const waited = 400 * time.Millisecond
	cases := map[string]struct {
		timeout string
		leaves  bool
		want    requestLine
	}{
		"caller left":  {timeout: "9s", leaves: true, want: requestLine{Message: "request refused", Status: 503, TimeoutMillis: 9000, Attempts: []string{}}},
		"timeout over": {timeout: "300ms", want: requestLine{Message: "request refused", Status: 503, TimeoutMillis: 300, Attempts: []string{}}},
		"time left":    {timeout: "9s", want: requestLine{Message: "request answered", Status: 200, Result: "succeeded", TimeoutMillis: 9000, Attempts: []string{}}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var logged lineBuffer
			gate := make(chan struct{})
			d := &dispatcher{routing: testRouting, outcome: home.Outcome{Result: home.Succeeded}}
			_, addr, _ := serveQueuesLogged(t, d, &fixedPause{}, func(l net.Listener) net.Listener { return gatedListener{l, gate, false} }, &logged)
			conn, err := net.Dial("tcp", addr)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			sent := time.Now()
			if _, err := io.WriteString(conn, "POST /q/5c0e HTTP/1.1\r\nHost: h.example\r\nPatience: "+c.timeout+"\r\nContent-Length: 1\r\n\r\nx"); err != nil {
				t.Fatal(err)
			}
			time.Sleep(waited)
			if c.leaves {
				_ = conn.Close()
			}
			close(gate)

			got := logged.awaitLines(t, 2)
			for i := range got {
				if off := got[i].Arrived.Sub(sent).Abs(); off > waited/2 && i > 0 {
					t.Errorf("arrived %v from when it was sent", off)
				}
				if got[i].UnreadMillis < (waited / 2).Milliseconds() {
					t.Errorf("unread for %d ms", got[i].UnreadMillis)
				}
				got[i].Arrived, got[i].TookMillis, got[i].UnreadMillis = time.Time{}, 0, 0
			}
			c.want.Job, c.want.Caller = "5c0e", conn.LocalAddr().String()
			want := []requestLine{{Message: "request read late", Job: "5c0e", TimeoutMillis: c.want.TimeoutMillis}, c.want}
			if diff := cmp.Diff(want, got); diff != "" {
				t.Errorf("lines (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against a record of an incident, which cuts lines off after 200 bytes, without the homes of a job.
func TestAttemptsStandInTheFirstBytesOfALine(t *testing.T) {
	const maxBytes = 200 - len(`"instance":"edge-osr-b-2","dataCentre":"osr-b",`)
	var logged bytes.Buffer
	r := &jobRequest{job: "5c0e7a21d94b36f8", timeout: time.Minute}
	r.attempts.Begin("edge-osr-a-3/1234.5678 0-")("1359 succeeded")
	r.addTo((&log.Logger{Writer: log.IOWriter{Writer: &logged}}).Info(), time.Minute).Msg("request answered")
	want := `"attempts":["edge-osr-a-3/1234.5678 0-1359 succeeded"]`
	if end := bytes.Index(logged.Bytes(), []byte(want)) + len(want); end < len(want) || end > maxBytes {
		t.Errorf("the attempts end at byte %d of %s", end, logged.Bytes())
	}
}

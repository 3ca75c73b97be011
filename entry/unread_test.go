package entry

import (
	"context"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"foxtailmux/home"
	"foxtailmux/pause"
)

// gatedListener accepts no connection before the gate is open, as a process that stands still.
type gatedListener struct {
	net.Listener
	gate  <-chan struct{}
	plain bool // hide the sockets of the connections
}

// plainConn is a connection without a socket.
type plainConn struct{ net.Conn }

func (l gatedListener) Accept() (net.Conn, error) {
	<-l.gate
	c, err := l.Listener.Accept()
	if l.plain && err == nil {
		return plainConn{c}, nil
	}
	return c, err
}

// fixedPause is a PauseSource that always reports the same pause.
type fixedPause pause.Pause

// Last returns the pause.
func (p *fixedPause) Last() pause.Pause { return pause.Pause(*p) }

// submissionRecorder is a Dispatcher that records the submissions.
type submissionRecorder struct {
	dispatcher
	submissions chan home.Submission
}

func (d *submissionRecorder) Run(_ context.Context, s home.Submission) home.Outcome {
	d.submissions <- s
	return home.Outcome{Result: home.Succeeded}
}

// Guards against a second run of a job: an instance that stood still reads a request whose caller has
// left, or whose timeout is over, as if it had just arrived (review/1).
func TestRequestThatWaitedUnread(t *testing.T) {
	const waited = 400 * time.Millisecond
	type result struct {
		Ran    bool
		Status string // first line of the response, empty if the caller has left
	}
	cases := map[string]struct {
		timeout string
		leaves  bool
		plain   bool
		pause   pause.Pause
		want    result
	}{
		"caller left":               {timeout: "9s", leaves: true},
		"timeout over":              {timeout: "300ms", want: result{false, "HTTP/1.1 503"}},
		"time left":                 {timeout: "9s", want: result{true, "HTTP/1.1 200"}},
		"after a suspension":        {timeout: "3s", pause: pause.Pause{Length: 4 * time.Second, Suspended: 4 * time.Second}, want: result{false, "HTTP/1.1 503"}},
		"pause, unknown arrival":    {timeout: "3s", plain: true, pause: pause.Pause{Length: 4 * time.Second}, want: result{false, "HTTP/1.1 503"}},
		"no pause, unknown arrival": {timeout: "3s", plain: true, want: result{true, "HTTP/1.1 200"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			gate := make(chan struct{})
			d := &submissionRecorder{dispatcher{routing: testRouting}, make(chan home.Submission, 1)}
			latest := fixedPause(c.pause)
			_, addr, _ := serveQueuesBehind(t, d, &latest, func(l net.Listener) net.Listener { return gatedListener{l, gate, c.plain} })

			conn, err := net.Dial("tcp", addr)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			request := "POST /q/1 HTTP/1.1\r\nHost: h.example\r\nPatience: " + c.timeout + "\r\nContent-Length: 1\r\n\r\nx"
			if _, err := io.WriteString(conn, request); err != nil {
				t.Fatal(err)
			}
			time.Sleep(waited)
			if c.leaves {
				_ = conn.Close()
			}
			if latest.Length > 0 {
				latest.EndedAt = time.Now()
			}
			close(gate)

			var got result
			if !c.leaves {
				head := make([]byte, len("HTTP/1.1 200"))
				if _, err := io.ReadFull(conn, head); err != nil {
					t.Fatal(err)
				}
				got.Status = string(head)
			}
			select {
			case s := <-d.submissions:
				got.Ran = true
				if s.Age+s.TimeLeft != 9*time.Second && !c.plain || !c.plain && s.Age < waited/2 {
					t.Errorf("age %v and time left %v of a request that waited for %v", s.Age, s.TimeLeft, waited)
				}
			case <-time.After(300 * time.Millisecond):
			}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("result (-want +got):\n%s", diff)
			}
		})
	}
}

// slowRecorder is a submissionRecorder whose jobs last for a time.
type slowRecorder struct {
	submissionRecorder
	runTime time.Duration
}

func (d *slowRecorder) Run(ctx context.Context, s home.Submission) home.Outcome {
	time.Sleep(d.runTime)
	return d.submissionRecorder.Run(ctx, s)
}

// Guards against a task that starts after its caller may have submitted the job elsewhere: the age of a
// request counted from the arrival of the last bytes on its connection, and not of its own first ones.
func TestAgeOfARequestCountsFromItsFirstBytes(t *testing.T) {
	const delay = 400 * time.Millisecond
	head := "POST /q/%d HTTP/1.1\r\nHost: h.example\r\nPatience: 9s\r\nContent-Length: 1\r\n"
	request := func(n int) string { return fmt.Sprintf(head+"\r\nx", n) }
	cases := map[string]struct {
		texts   []string // each is sent after a delay
		runTime time.Duration
		want    []bool // whether the age of each job is at least the delay
	}{
		"at once":               {texts: []string{request(1)}, want: []bool{false}},
		"slow body":             {texts: []string{fmt.Sprintf(head, 1) + "\r\n", "x"}, want: []bool{true}},
		"slow header":           {texts: []string{"POST /q/1 HTT", fmt.Sprintf(head, 1)[len("POST /q/1 HTT"):] + "\r\nx"}, want: []bool{true}},
		"continue":              {texts: []string{fmt.Sprintf(head, 1) + "Expect: 100-continue\r\n\r\n", "x"}, want: []bool{true}},
		"two requests":          {texts: []string{request(1), request(2)}, want: []bool{false, false}},
		"behind another":        {texts: []string{request(1) + request(2)}, runTime: delay, want: []bool{false, true}},
		"between other two":     {texts: []string{request(1) + request(2), request(3)}, runTime: delay + delay/4, want: []bool{false, true, true}},
		"before a part request": {texts: []string{request(1) + request(2), "POST"}, runTime: delay + delay/4, want: []bool{false, true}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			d := &slowRecorder{submissionRecorder{dispatcher{routing: testRouting}, make(chan home.Submission, 3)}, c.runTime}
			_, addr, _ := serveQueuesBehind(t, d, &fixedPause{}, func(l net.Listener) net.Listener { return l })
			conn, err := net.Dial("tcp", addr)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			for i, text := range c.texts {
				if i > 0 {
					time.Sleep(delay)
				}
				if _, err := io.WriteString(conn, text); err != nil {
					t.Fatal(err)
				}
			}
			var got []bool
			for range c.want {
				select {
				case s := <-d.submissions:
					got = append(got, s.Age > delay-delay/10)
					if s.Age+s.TimeLeft != 9*time.Second {
						t.Errorf("age %v and time left %v", s.Age, s.TimeLeft)
					}
				case <-time.After(5 * time.Second):
					t.Fatal("a request was not run")
				}
			}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("jobs as old as the delay (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against a job that runs on beside its next submission: the end of the caller's connection is
// noticed a quarter of a second late.
func TestCallerThatLeavesIsNoticedAtOnce(t *testing.T) {
	for name, pipelined := range map[string]bool{"first request": false, "second request of a connection": true} {
		t.Run(name, func(t *testing.T) {
			d := &cancelRecorder{dispatcher{routing: testRouting}, make(chan time.Time, 1)}
			_, addr, _ := serveQueuesBehind(t, d, &fixedPause{}, func(l net.Listener) net.Listener { return l })
			conn, err := net.Dial("tcp", addr)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			if pipelined {
				if _, err := io.WriteString(conn, "GET /q/ HTTP/1.1\r\nHost: h.example\r\n\r\n"); err != nil {
					t.Fatal(err)
				}
				if _, err := conn.Read(make([]byte, 4096)); err != nil {
					t.Fatal(err)
				}
			}
			if _, err := io.WriteString(conn, "POST /q/1 HTTP/1.1\r\nHost: h.example\r\nContent-Length: 1\r\n\r\nx"); err != nil {
				t.Fatal(err)
			}
			time.Sleep(100 * time.Millisecond)
			left := time.Now()
			_ = conn.Close()
			select {
			case at := <-d.cancelled:
				if took := at.Sub(left); took > 100*time.Millisecond {
					t.Errorf("the job was cancelled after %v", took)
				}
			case <-time.After(5 * time.Second):
				t.Error("the job was not cancelled")
			}
		})
	}
}

// Guards against a job that runs on beside its next submission: the caller has sent more than its request,
// such as the next one, and has left.
func TestCallerThatLeavesAfterFurtherBytesIsNoticedAtOnce(t *testing.T) {
	ends := map[string]func(c *net.TCPConn){
		"closed":      func(c *net.TCPConn) { _ = c.Close() },
		"half closed": func(c *net.TCPConn) { _ = c.CloseWrite() },
		"reset":       func(c *net.TCPConn) { _, _ = c.SetLinger(0), c.Close() },
	}
	for name, end := range ends {
		t.Run(name, func(t *testing.T) {
			d := &cancelRecorder{dispatcher{routing: testRouting}, make(chan time.Time, 1)}
			_, addr, _ := serveQueuesBehind(t, d, &fixedPause{}, func(l net.Listener) net.Listener { return l })
			conn, err := net.Dial("tcp", addr)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			for _, text := range []string{"POST /q/1 HTTP/1.1\r\nHost: h.example\r\nContent-Length: 1\r\n\r\nx", "GET /q/ HTTP/1.1\r\n"} {
				if _, err := io.WriteString(conn, text); err != nil {
					t.Fatal(err)
				}
				time.Sleep(100 * time.Millisecond)
			}
			left := time.Now()
			end(conn.(*net.TCPConn))
			select {
			case at := <-d.cancelled:
				if took := at.Sub(left); took > 100*time.Millisecond {
					t.Errorf("the job was cancelled after %v", took)
				}
			case <-time.After(time.Second):
				t.Error("the job was not cancelled within a second")
			}
		})
	}
}

// cancelRecorder is a Dispatcher that records when a job is cancelled.
type cancelRecorder struct {
	dispatcher
	cancelled chan time.Time
}

func (d *cancelRecorder) Run(ctx context.Context, _ home.Submission) home.Outcome {
	<-ctx.Done()
	d.cancelled <- time.Now()
	return home.Outcome{Result: home.Cancelled}
}

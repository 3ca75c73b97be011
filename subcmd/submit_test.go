package subcmd

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"

	"github.com/google/go-cmp/cmp"

	"foxtailmux/model"
)

// fakeEntry is a fake entry instance that answers every job with the same status and body,
// and records the requests.
type fakeEntry struct {
	*httptest.Server
	status int
	answer string

	mu       sync.Mutex
	received []string
}

func startEntry(status int, answer string) *fakeEntry {
	e := &fakeEntry{status: status, answer: answer}
	e.Server = httptest.NewServer(e)
	return e
}

// ServeHTTP records a request and responds with a ticket or with the answer.
func (e *fakeEntry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	e.mu.Lock()
	e.received = append(e.received, r.Method+" "+r.URL.Path+" "+string(body))
	e.mu.Unlock()

	if r.URL.Path == ticketsPath {
		_, _ = io.WriteString(w, `{"tickets":["t1"],"expiresMillis":1000}`)
		return
	}
	w.WriteHeader(e.status)
	_, _ = io.WriteString(w, e.answer)
}

func (e *fakeEntry) addr() string { return e.Listener.Addr().String() }

// refusingAddr returns an address that is bound but not listened on, so that
// the kernel refuses every connection until the test ends.
func refusingAddr(t *testing.T) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(fd) })

	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Sprintf("127.0.0.1:%d", name.(*syscall.SockaddrInet4).Port)
}

const completeAnswer = `{"jobId":"j1","result":"complete","ran":"yes","tasks":[{"price":1},{"price":2}]}`

// submitArgs returns the arguments to submit a job of two tasks to an entry instance.
func submitArgs(addr string, more ...string) []string {
	return append([]string{"submit", "-entry", addr, "-team", "a", "-service", "b", "-tasks", "2"}, more...)
}

func TestSubmitPrintsACompleteAnswer(t *testing.T) {
	e := startEntry(200, completeAnswer)
	defer e.Close()

	got := execute(t, "", submitArgs(e.addr(), "-payload", `{"n":1}`, "-deadline", "2s", "-key", "k1")...)
	if got.Code != ExitDone || got.Err != "" {
		t.Errorf("got %+v", got)
	}
	var answer model.Answer
	if err := json.Unmarshal([]byte(got.Out), &answer); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff("j1", answer.JobID); diff != "" {
		t.Error(diff)
	}

	want := []string{`POST /v1/jobs {"team":"a","service":"b","tasks":[{"payload":{"n":1}},{"payload":{"n":1}}],"deadlineMillis":2000,"idempotencyKey":"k1"}`}
	if diff := cmp.Diff(want, e.received); diff != "" {
		t.Error(diff)
	}
}

func TestSubmitReadsTheJobFromStandardInput(t *testing.T) {
	e := startEntry(200, completeAnswer)
	defer e.Close()

	job := `{"team":"a","service":"b","tasks":[{"payload":1},{}]}`
	got := execute(t, job, "submit", "-entry", e.addr(), "-job", "-", "-ticket")
	if got.Code != ExitDone {
		t.Errorf("got %+v", got)
	}
	want := []string{
		`POST /v1/tickets {"count":1}`,
		`POST /v1/jobs {"team":"a","service":"b","tasks":[{"payload":1},{}],"ticket":"t1"}`,
	}
	if diff := cmp.Diff(want, e.received); diff != "" {
		t.Error(diff)
	}
}

func TestSubmitFailsWithTheReason(t *testing.T) {
	e := startEntry(503, `{"jobId":"j1","result":"failed","ran":"no","error":{"kind":"overloaded","reason":"queue is full"}}`)
	defer e.Close()

	want := result{
		Code: 1,
		Out:  "job      j1\nresult   failed\nran      no\nfailure  overloaded\nreason   queue is full\n",
		Err:  "foxtailmux: submit: job j1 failed (ran: no): overloaded: queue is full\n",
	}
	if diff := cmp.Diff(want, execute(t, "", submitArgs(e.addr(), "-format", "table")...)); diff != "" {
		t.Error(diff)
	}
}

func TestSubmitRejectsIncompleteAnswers(t *testing.T) {
	for answer, want := range map[string]string{
		`{"jobId":"j1","result":"complete","ran":"yes","tasks":[1]}`: "answers 1 of 2 tasks as complete",
		"busy":                 "gives no answer but 200 busy; tasks may have run",
		`{"result":"partial"}`: `gives no answer but 200 {"result":"partial"}; tasks may have run`,
	} {
		e := startEntry(200, answer)
		got := execute(t, "", submitArgs(e.addr())...)
		e.Close()
		if diff := cmp.Diff(result{Code: 1, Err: "foxtailmux: submit: " + e.addr() + " " + want + "\n"}, got); diff != "" {
			t.Error(diff)
		}
	}
}

func TestSubmitTriesTheNextEntryOnlyAfterARefusedConnection(t *testing.T) {
	e := startEntry(200, completeAnswer)
	defer e.Close()

	refusing := refusingAddr(t)
	if got := execute(t, "", submitArgs(refusing+","+e.addr())...); got.Code != ExitDone {
		t.Errorf("got %+v", got)
	}
	if diff := cmp.Diff(1, len(e.received)); diff != "" {
		t.Error(diff)
	}

	got := execute(t, "", submitArgs(refusing)...)
	if got.Code != ExitFailed || !strings.HasSuffix(got.Err, "connection refused; no task ran\n") {
		t.Errorf("got %+v", got)
	}
}

// Guards against tasks that run twice: an entry instance that closes the connection after it
// has read a job may have started its tasks, so the job must not be sent to another one.
func TestSubmitSendsOnceToAnEntryThatClosesAfterReading(t *testing.T) {
	next := startEntry(200, completeAnswer)
	defer next.Close()
	closing, starts := closingEntry(t)

	got := execute(t, "", submitArgs(closing+","+next.addr(), "-key", "k1")...)
	if got.Code != ExitFailed || !strings.HasSuffix(got.Err, "; tasks may have run; submit again with key k1 only\n") {
		t.Errorf("got %+v", got)
	}
	if diff := cmp.Diff(1, starts()); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff([]string(nil), next.received); diff != "" {
		t.Error(diff)
	}
}

// closingEntry starts a fake entry instance that reads each request and closes the connection
// without a response. The returned function stops it and returns the number of requests.
func closingEntry(t *testing.T) (addr string, starts func() int) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}

	count := 0
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if r, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.Copy(io.Discard, r.Body)
				count++
			}
			_ = conn.Close()
		}
	}()

	return listener.Addr().String(), func() int {
		_ = listener.Close()
		<-done
		return count
	}
}

func ExampleRun() {
	e := startEntry(200, completeAnswer)
	defer e.Close()

	args := []string{"submit", "-entry", e.addr(), "-team", "malabar", "-service", "quote", "-tasks", "2", "-format", "table"}
	Run(context.Background(), args, strings.NewReader(""), os.Stdout, os.Stderr)
	// Output:
	// job     j1
	// result  complete
	// ran     yes
	// task 0  {"price":1}
	// task 1  {"price":2}
}

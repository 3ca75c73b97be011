package entry

import (
	"bufio"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"foxtailmux/logger"
	"foxtailmux/model"
)

// intake is a fake Intake. Submit calls run; if run is nil, it completes each job with
// the payloads as results. Status knows only the id "known", and Cancel accepts all
// ids but "unknown".
type intake struct {
	run func(ctx context.Context, job model.Job) model.Answer

	mu        sync.Mutex
	submitted int
	cancelled []string
}

func (i *intake) Submit(ctx context.Context, job model.Job) model.Answer {
	i.mu.Lock()
	i.submitted++
	i.mu.Unlock()

	if i.run != nil {
		return i.run(ctx, job)
	}
	return echo(job)
}

func (i *intake) submits() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.submitted
}

// echo returns a complete answer whose results are the payloads of the job.
func echo(job model.Job) model.Answer {
	a := model.Answer{JobID: "j1", Result: model.Complete, Ran: model.RanYes}
	for _, t := range job.Tasks {
		payload := t.Payload
		if payload == nil {
			payload = json.RawMessage("null")
		}
		a.Tasks = append(a.Tasks, payload)
	}
	return a
}

func (i *intake) IssueTickets(n int) (model.TicketBatch, error) {
	return model.TicketBatch{Tickets: make([]string, n), ExpiresMillis: 600_000}, nil
}

func (i *intake) Status(_ context.Context, id string) (model.JobStatus, error) {
	if id != "known" {
		return model.JobStatus{}, unknownJobError{}
	}
	return model.JobStatus{JobID: id, Open: true}, nil
}

func (i *intake) Cancel(_ context.Context, id string) error {
	if id == "unknown" {
		return unknownJobError{}
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.cancelled = append(i.cancelled, id)
	return nil
}

// unknownJobError is the error for an id of no job.
type unknownJobError struct{}

func (unknownJobError) Error() string { return "unknown id" }

func (unknownJobError) Failure() model.Failure {
	return model.Failure{Kind: model.FailUnknownID, Reason: "unknown id"}
}

// observer counts refusals.
type observer struct {
	mu      sync.Mutex
	refused map[string]int
}

func (o *observer) Answered(string, string) {}

func (o *observer) Response(time.Duration, time.Duration) {}

func (o *observer) Refused(reason string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.refused == nil {
		o.refused = map[string]int{}
	}
	o.refused[reason]++
}

// requestLog is a RequestLog that keeps the logged requests.
type requestLog struct {
	mu   sync.Mutex
	list []logger.Request
}

func (l *requestLog) Request(r logger.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.Took = 0
	l.list = append(l.list, r)
}

var testLimits = Limits{
	MaxBodyBytes:         4096,
	MaxHeaderBytes:       2048,
	MaxConnections:       2000,
	MaxTicketsPerRequest: 10,
	MaxTasksPerJob:       20,
	ReadTimeout:          10 * time.Second,
	IdleTimeout:          10 * time.Second,
}

// newTestServer returns a server that listens but does not serve yet.
func newTestServer(t testing.TB, limits Limits, i Intake, openJobs int) *Server {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return NewServer(l, limits, i, &observer{}, func() int { return openJobs })
}

// serve returns a server that is started.
func serve(t testing.TB, limits Limits, i Intake, openJobs int) *Server {
	t.Helper()
	s := newTestServer(t, limits, i, openJobs)
	if err := s.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	return s
}

// dialServer opens a connection to the server and sends the text unchanged.
func dialServer(t testing.TB, s *Server, text string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", s.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if _, err := conn.Write([]byte(text)); err != nil {
		t.Fatal(err)
	}
	return conn
}

// reply is a response as the caller reads it.
type reply struct {
	Status int
	Header http.Header
	Close  bool
	Answer model.Answer
}

func readReply(t testing.TB, conn net.Conn) reply {
	t.Helper()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()

	r := reply{Status: response.StatusCode, Header: response.Header, Close: response.Close}
	if err := json.NewDecoder(response.Body).Decode(&r.Answer); err != nil {
		t.Fatalf("status %d: %v", response.StatusCode, err)
	}
	return r
}

// post returns the text of a POST request with a body.
func post(path, body string, headers ...string) string {
	head := "POST " + path + " HTTP/1.1\r\nHost: h\r\n"
	for _, h := range headers {
		head += h + "\r\n"
	}
	return head + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}

// withoutBody returns the text of a request without a body.
func withoutBody(method, path string) string {
	return method + " " + path + " HTTP/1.1\r\nHost: h\r\n\r\n"
}

// jobOf returns the JSON text of a job with empty tasks. The text more is inserted
// before the field tasks.
func jobOf(tasks int, more string) string {
	return `{"team":"a","service":"b"` + more + `,"tasks":[` + strings.TrimSuffix(strings.Repeat("{},", tasks), ",") + `]}`
}

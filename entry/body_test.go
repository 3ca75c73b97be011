package entry

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/phuslu/log"
	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"

	"foxtailmux/home"
	"foxtailmux/memory"
	"foxtailmux/model"
)

// serveLegal returns the address of a server with the limits of a deployment and a budget.
func serveLegal(t testing.TB, d Dispatcher, limits memory.Limits) string {
	t.Helper()
	callers, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	balancer, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := NewQueueServer(QueueOptions{
		CallerListener: callers, BalancerListener: balancer, Protocol: plainProtocol{}, Dispatcher: d, Pauses: &fixedPause{}, Observer: ignoringObserver{},
		Limits: Limits{MaxBodyBytes: 1 << 20, MaxHeaderBytes: 16 << 10, MaxConnections: 100, ReadTimeout: 30 * time.Second, IdleTimeout: 30 * time.Second},
		Budget: memory.NewBudget(limits, ignoringObserver{}),
		Log:    &log.Logger{Level: log.PanicLevel, Writer: log.IOWriter{Writer: io.Discard}},
	})
	if err := s.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.app.Shutdown(); _ = s.readyApp.Shutdown() })
	return callers.Addr().String()
}

var legalRouting = &model.Routing{
	Routes: []model.Route{{Name: "a", Host: "h.example", Prefix: "/q/"}},
	Limits: model.RequestLimits{MaxHeader: 12_000, MaxBody: 262_144},
}

// dialText opens a connection and sends the text.
func dialText(t testing.TB, addr, text string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
	return conn
}

// readStatus returns the status of the next response, 0 if there is none.
func readStatus(r *bufio.Reader) int {
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

const jobHead = "POST /q/1 HTTP/1.1\r\nHost: h.example\r\nPatience: 20s\r\n"

// chunked returns a body in chunks of the given size.
func chunked(size, chunk int) string {
	var b strings.Builder
	for ; size > 0; size -= chunk {
		n := min(size, chunk)
		b.WriteString(strconv.FormatInt(int64(n), 16) + "\r\n" + strings.Repeat("1", n) + "\r\n")
	}
	return b.String() + "0\r\n\r\n"
}

// A request at the limits is served, and one above them refused and not run, on the connection of an
// ordinary request before it.
func TestRequestsAtTheLimits(t *testing.T) {
	lines := strings.Repeat("a: \r\n", 2300)
	announced := func(n int) string {
		return jobHead + fmt.Sprintf("Content-Length: %d\r\n\r\n", n) + strings.Repeat("1", n)
	}
	type result struct {
		Status int
		Ran    int32
	}
	cases := map[string]struct {
		text string
		want result
	}{
		"largest body":           {announced(262_144), result{200, 1}},
		"largest body in chunks": {jobHead + "Transfer-Encoding: chunked\r\n\r\n" + chunked(262_144, 9999), result{200, 1}},
		"small body in chunks":   {jobHead + "Transfer-Encoding: chunked\r\n\r\n" + chunked(20, 1), result{200, 1}},
		"many lines":             {jobHead + lines + "Content-Length: 1\r\n\r\n1", result{200, 1}},
		"larger body":            {announced(262_145), result{413, 0}},
		"larger body in chunks":  {jobHead + "Transfer-Encoding: chunked\r\n\r\n" + chunked(262_145, 9999), result{413, 0}},
		"announced only":         {jobHead + "Content-Length: 1073741824\r\n\r\n" + strings.Repeat("1", 8<<10), result{413, 0}},
		"broken chunk":           {jobHead + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", result{400, 0}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			d := &dispatcher{routing: legalRouting, outcome: home.Outcome{Result: home.Succeeded}}
			addr := serveLegal(t, d, memory.Share(144<<20, 3075, 100))
			conn := dialText(t, addr, announced(1))
			replies := bufio.NewReader(conn)
			first := readStatus(replies)
			if _, err := io.WriteString(conn, c.text); err != nil {
				t.Fatal(err)
			}
			got := result{readStatus(replies), d.ran.Load() - 1}
			if diff := cmp.Diff(c.want, got); diff != "" || first != 200 {
				t.Errorf("first request %d, result (-want +got):\n%s", first, diff)
			}
		})
	}
}

// Bodies that are never whole give their bytes to later requests, and connections that send nothing their
// place. No job of a request that was not whole runs.
func TestIncompleteRequestsGiveWay(t *testing.T) {
	d := &dispatcher{routing: legalRouting, outcome: home.Outcome{Result: home.Succeeded}}
	addr := serveLegal(t, d, memory.Limits{Connections: 4, Bytes: 600_000})
	for range 3 {
		dialText(t, addr, jobHead+"Content-Length: 200000\r\n\r\n"+strings.Repeat("1", 150_000))
	}
	for range 3 {
		dialText(t, addr, "")
	}
	got := make([]int, 3)
	for i := range got {
		conn := dialText(t, addr, jobHead+"Content-Length: 200000\r\n\r\n"+strings.Repeat("1", 200_000))
		got[i] = readStatus(bufio.NewReader(conn))
	}
	if diff := cmp.Diff([]int{200, 200, 200}, got); diff != "" || d.ran.Load() != 3 {
		t.Errorf("%d jobs ran, statuses (-want +got):\n%s", d.ran.Load(), diff)
	}
}

// heldBytes is an observer of a budget that keeps the bytes in use.
type heldBytes struct{ bytes int64 }

func (h *heldBytes) Held(bytes int64, _ int) { h.bytes = bytes }
func (h *heldBytes) Closed(string)           {}

// The lines of a header that came in the segment of the request before stay reserved until its own request
// was answered.
func TestPipelinedHeaderKeepsItsReservation(t *testing.T) {
	const lines = 2300
	held := &heldBytes{}
	budget := memory.NewBudget(memory.Limits{Connections: 4, Bytes: 1 << 20}, held)
	client, server := net.Pipe()
	defer client.Close()
	c := &arrivalConn{Conn: server, pauses: &fixedPause{}, account: budget.Open(func() {})}
	buffer := make([]byte, 16<<10)
	var got []int64
	for _, text := range []string{"\r\n\r\n" + strings.Repeat("a: \r\n", lines-2), "\r\n"} {
		go func() { _, _ = io.WriteString(client, text) }()
		if _, err := c.Read(buffer); err != nil {
			t.Fatal(err)
		}
		recordState(c, fasthttp.StateActive)
		c.account.Change(memory.Receiving, memory.Serving)
		got = append(got, held.bytes)
		recordState(c, fasthttp.StateIdle)
		got = append(got, held.bytes)
	}
	want := []int64{lines * lineBytes, lines * lineBytes, (lines + 1) * lineBytes, 0}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("reserved before and after each response (-want +got):\n%s", diff)
	}
}

func TestRefusalLinesAreBounded(t *testing.T) {
	var r refusalLines
	logged := map[int]int{}
	for range 1000 {
		for _, status := range []int{400, 413} {
			if r.next(status).logged {
				logged[status]++
			}
		}
	}
	if logged[400] > 2*maxRefusalLines || logged[413] < maxRefusalLines { // the second may change in between
		t.Errorf("lines by status: %v", logged)
	}
}

// processorTime returns the processor time of this process.
func processorTime(b *testing.B) time.Duration {
	b.Helper()
	var u unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkOrdinaryRequest measures a job of an ordinary caller on an open connection, with the processor
// time of both ends.
func BenchmarkOrdinaryRequest(b *testing.B) {
	d := &dispatcher{routing: legalRouting, outcome: home.Outcome{Result: home.Succeeded}}
	addr := serveLegal(b, d, memory.Share(144<<20, 3075, 100))
	text := jobHead + "Content-Type: application/json\r\nContent-Length: 700\r\n\r\n" + strings.Repeat("1", 700)
	conn := dialText(b, addr, "")
	replies := bufio.NewReader(conn)
	b.ReportAllocs()
	began := processorTime(b)
	for b.Loop() {
		if _, err := io.WriteString(conn, text); err != nil {
			b.Fatal(err)
		}
		if status := readStatus(replies); status != 200 {
			b.Fatal(status)
		}
	}
	b.ReportMetric(float64(processorTime(b)-began)/float64(b.N), "cpu-ns/op")
}

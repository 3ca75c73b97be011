package proof

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// The tests below open many connections of callers that keep to no limit, and check what does not
// depend on the speed of the machine. The programs are built without the race detector, so that their
// memory is that of the product.
const (
	crowdSize        = 300  // connections
	crowdMemory      = 64   // MiB, limits.memory of the instance
	crowdDescriptors = 256  // limits.descriptors of the instance
	crowdBody        = 1e6  // bytes, within callers.maxBodyBytes and far over the limit of the configuration
	legalBody        = 99e3 // bytes, within the limit of the configuration
	legalHeader      = 15 << 10
)

// crowdPatience is how long a hostile caller waits for the instance to take a byte or to answer. It is
// shorter than the time that the instance gives a request, so that all are open at the same time.
const crowdPatience = 3 * time.Second

// Guards against an instance that ends when callers announce bodies, also larger ones than allowed, and
// do not send them whole.
func TestCrowdOfBodiesThatAreNeverWhole(t *testing.T) {
	playCrowd(t, func(n int, c net.Conn) {
		switch n % 3 {
		case 0:
			sendBody(c, "Content-Length: 1073741824", 4*crowdBody, false)
		case 1:
			sendBody(c, fmt.Sprintf("Content-Length: %d", int(crowdBody)+1), crowdBody, false)
		default:
			sendBody(c, fmt.Sprintf("Content-Length: %d", int(legalBody)+1), legalBody, false)
		}
	})
}

// Guards against an instance that ends when callers send bodies without an announced length.
func TestCrowdOfBodiesWithoutALength(t *testing.T) {
	playCrowd(t, func(n int, c net.Conn) {
		length := crowdBody
		if n%3 == 0 {
			length = 4 * crowdBody
		}
		sendBody(c, "Transfer-Encoding: chunked", int(length), true)
	})
}

// Guards against an instance that ends when callers send headers of legal size with very many lines.
func TestCrowdOfHeadersWithManyLines(t *testing.T) {
	lines := []string{"a:\r\n", "b: \r\n", "c:\t;\r\n", "D-e-F:=\r\n"}
	playCrowd(t, func(n int, c net.Conn) {
		head := "GET /q/ HTTP/1.1\r\nHost: q.example\r\n"
		if n%3 == 0 {
			head = "POST /q/00000000000000cc HTTP/1.1\r\nHost: q.example\r\nContent-Length: 9\r\n" // never sent
		}
		line := lines[n%len(lines)]
		head += strings.Repeat(line, (legalHeader-len(head))/len(line)) + "\r\n"
		if _, err := io.WriteString(c, head); err != nil {
			return
		}
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		}
	})
}

// sendBody sends a header with the given field, and a body of so many bytes without its end.
func sendBody(c net.Conn, field string, length int, chunked bool) {
	head := "POST /q/00000000000000cc HTTP/1.1\r\nHost: q.example\r\nX-Timeout-Ms: 9000\r\n" + field + "\r\n\r\n"
	if _, err := io.WriteString(c, head); err != nil {
		return
	}
	piece := strings.Repeat(" ", 10_000)
	sent := piece
	if chunked {
		sent = strconv.FormatInt(int64(len(piece)), 16) + "\r\n" + piece + "\r\n"
	}
	for n := 0; n < length; n += len(piece) {
		_ = c.SetDeadline(time.Now().Add(crowdPatience))
		if _, err := io.WriteString(c, sent); err != nil {
			return
		}
	}
}

// playCrowd opens the connections of a crowd to an instance, on each of which send is called, and keeps
// them open while an ordinary caller submits a job.
func playCrowd(t *testing.T, send func(n int, c net.Conn)) {
	s := newEmptySoak(t, 1)
	s.moreCallers = ", maxBodyBytes: 1048576, maxConnections: 2000"
	s.moreLimits = fmt.Sprintf(", memory: %d, descriptors: %d", crowdMemory, crowdDescriptors)
	s.addAll([]string{"kochi"}, []string{"kochi"})
	s.waitRecovered()
	i := s.instances[0]
	pid := i.process().cmd.Process.Pid

	conns := make([]net.Conn, crowdSize)
	var senders sync.WaitGroup
	for n := range conns {
		senders.Go(func() {
			c, err := net.Dial("tcp", i.callersAddr)
			if err != nil {
				return // the instance need not take them all
			}
			conns[n] = c
			_ = c.SetDeadline(time.Now().Add(crowdPatience))
			send(n, c)
		})
	}
	sent := make(chan struct{})
	go func() { senders.Wait(); close(sent) }()
	most := openDescriptors(t, pid)
	for waiting := true; waiting; {
		select {
		case <-sent:
			waiting = false
		case <-time.After(10 * time.Millisecond):
		}
		most = max(most, openDescriptors(t, pid))
	}

	s.waitRecovered()
	for _, c := range conns {
		if c != nil {
			_ = c.Close()
		}
	}
	s.waitRecovered()

	if i.process().ended() || i.process().cmd.Process.Pid != pid {
		t.Fatal("the process has ended")
	}
	peak := peakMemory(t, pid)
	t.Logf("peak of memory %d MiB, most descriptors %d", peak>>20, most)
	if peak > crowdMemory<<20 {
		t.Errorf("peak of memory %d MiB, the machine has %d", peak>>20, crowdMemory)
	}
	if most > crowdDescriptors {
		t.Errorf("%d open descriptors, the machine has %d", most, crowdDescriptors)
	}
	s.check()
}

// openDescriptors returns the number of files and sockets that a process has open.
func openDescriptors(t *testing.T, pid int) int {
	t.Helper()
	list, err := os.ReadDir(filepath.Join("/proc", strconv.Itoa(pid), "fd"))
	if err != nil {
		t.Fatal(err)
	}
	return len(list)
}

// peakMemory returns the largest resident memory that a process has had, in bytes.
func peakMemory(t *testing.T, pid int) int64 {
	t.Helper()
	status, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "status"))
	if err != nil {
		t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(status), "VmHWM:")
	fields := strings.Fields(rest)
	if len(fields) == 0 {
		t.Fatal("no peak of memory")
	}
	kib, err := strconv.ParseInt(fields[0], 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	return kib << 10
}

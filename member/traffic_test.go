package member

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"foxtailmux/model"
	"foxtailmux/peer"
)

// trafficLimit is the limit of a node's control traffic in bytes per second.
const trafficLimit = 3000

// centres returns the names of count data centres.
func centres(count int) []string {
	return names("centre", count)
}

func TestControlTrafficStaysWithinItsLimit(t *testing.T) {
	cases := []struct{ nodes, centres int }{{3, 1}, {7, 4}, {15, 5}, {30, 5}, {30, 1}}
	for _, c := range cases {
		t.Run(fmt.Sprintf("%d nodes in %d data centres", c.nodes, c.centres), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newNetwork(t)
				nodes := w.startMany(c.nodes, centres(c.centres)...)
				defer killAll(nodes)

				const warmUp, window = time.Minute, 2 * time.Minute
				joining := w.mostBytes(warmUp)
				steady := w.mostBytes(window)
				t.Logf("bytes/s of the busiest node: joining %.0f, steady %.0f, period %v", joining, steady, nodes[0].currentPeriod())
				if joining > trafficLimit || steady > trafficLimit {
					t.Errorf("joining %.0f, steady %.0f bytes/s, limit %d", joining, steady, trafficLimit)
				}
				for _, n := range nodes {
					wantStates(t, n, statesOf(StateAlive, nodes...))
				}
			})
		})
	}
}

func (g *Group) currentPeriod() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.period
}

// mostBytes lets the window pass and returns the bytes per second of the node with
// the most traffic in it.
func (w *network) mostBytes(window time.Duration) float64 {
	before := w.bytes()
	advance(window)
	most := 0.0
	for addr, n := range w.bytes() {
		most = max(most, float64(n-before[addr])/window.Seconds())
	}
	return most
}

func (w *network) bytes() map[string]int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	counts := map[string]int64{}
	for addr, n := range w.nodes {
		counts[addr] = n.bytes.Load()
	}
	return counts
}

func TestPeriodGrowsWithTheGroup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newNetwork(t)
		few := w.startMany(3, "kochi")
		advance(time.Minute)
		small := few[0].currentPeriod()
		killAll(few)

		many := w.startMany(30, "kochi")
		defer killAll(many)
		advance(time.Minute)
		large := many[0].currentPeriod()
		if large <= small {
			t.Errorf("period %v with 30 members, %v with 3", large, small)
		}
	})
}

func TestLinksBetweenDataCentresAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodes := newNetwork(t).startMany(30, centres(5)...)
		defer killAll(nodes)
		advance(time.Minute)

		links := map[string]int{}
		for _, n := range nodes {
			n.mu.Lock()
			for id := range n.remoteHeartbeatPartners() {
				links[n.entry.DataCentre+" "+n.records[id].member.Entry.DataCentre]++
			}
			n.mu.Unlock()
		}
		const pairs = 5 * 4
		if len(links) != pairs {
			t.Errorf("%d of %d pairs of data centres are linked", len(links), pairs)
		}
		for pair, count := range links {
			if count > linksPerCentrePair {
				t.Errorf("%s: %d links, limit %d", pair, count, linksPerCentrePair)
			}
		}
	})
}

func FuzzDecodeHeartbeat(f *testing.F) {
	e := entry(1, "kochi", 0)
	whole := heartbeat{
		ID: e.ID, Incarnation: e.Incarnation, Entry: &e, ConfigNumber: 3, ConfigDigest: "0123", ConfigDigestPrefix: "0123",
		Hints: []hint{{ID: "entry02", Incarnation: "i", DataCentre: "kochi", PeerAddr: "10.0.0.2:7000", AgeMillis: 5}},
	}
	raw, err := json.Marshal(whole)
	if err != nil {
		f.Fatal(err)
	}
	f.Add([]byte(raw))
	f.Add([]byte(`{"id":"a","incarnation":"b","entry":{"id":"c"}}`))
	f.Add([]byte(`{"id":"a","incarnation":"b","hints":[{"age":-1}]}`))
	f.Add([]byte(`null`))

	f.Fuzz(func(t *testing.T, data []byte) {
		n := &node{addrs: map[string]string{}}
		n.Group = New(Options{Self: entry(0, "kochi", 0), Transport: n})
		answer, err := n.handle(context.Background(), data)
		if err != nil {
			if len(n.Members()) != 1 {
				t.Errorf("a rejected heartbeat added a member: %s", data)
			}
			return
		}

		back, err := decodeHeartbeat(answer.(json.RawMessage))
		if err != nil {
			t.Errorf("the response to %s is invalid: %v", data, err)
		}
		if back.ID != "entry00" {
			t.Errorf("the response is from %q", back.ID)
		}
		for _, m := range n.Members() {
			if _, err := net.ResolveTCPAddr("tcp", m.Entry.PeerAddr); err != nil {
				t.Errorf("member without an address: %v", err)
			}
		}
	})
}

// BenchmarkControlTraffic runs instances over real connections and reports the cost
// of heartbeats per instance: bytes sent and received, as TCP payload and as
// counted by the budget, and CPU time.
func BenchmarkControlTraffic(b *testing.B) {
	cases := []struct{ nodes, centres int }{{3, 3}, {7, 4}, {15, 5}, {30, 5}, {30, 1}}
	for _, c := range cases {
		b.Run(fmt.Sprintf("nodes=%d/centres=%d", c.nodes, c.centres), func(b *testing.B) {
			cluster := startCluster(b, c.nodes, centres(c.centres))
			time.Sleep(clusterWarmUp)

			payload, counted, cpu := cluster.payload.Load(), cluster.counted(), cpuTime(b)
			start := time.Now()
			for b.Loop() {
				time.Sleep(clusterWindow)
			}
			seconds := time.Since(start).Seconds() * float64(c.nodes)
			b.ReportMetric(float64(cluster.payload.Load()-payload)/seconds, "payloadB/s/node")
			b.ReportMetric(float64(cluster.counted()-counted)/seconds, "countedB/s/node")
			b.ReportMetric((cpuTime(b)-cpu).Seconds()/seconds*100, "%core/node")
			b.ReportMetric(cluster.groups[0].currentPeriod().Seconds(), "period-s")
		})
	}
}

const (
	clusterWarmUp = 35 * time.Second
	clusterWindow = 20 * time.Second
)

// cluster is a set of instances that use real connections.
type cluster struct {
	groups  []*Group
	payload atomic.Int64 // bytes of all connections, at both ends
}

func startCluster(b *testing.B, nodes int, dataCentres []string) *cluster {
	c := &cluster{}
	count := func(_ string, n int) { c.payload.Add(int64(n)) }
	var seed string
	for i := range nodes {
		self := entry(i, dataCentres[i%len(dataCentres)], 0)
		transport := peer.New(peer.Options{Self: self, ListenAddr: "127.0.0.1:0", OnBytes: count})
		if err := transport.Start(); err != nil {
			b.Fatal(err)
		}
		self.PeerAddr = transport.Addr()
		if seed == "" {
			seed = self.PeerAddr
		}

		g := New(Options{
			Self: self, Seeds: []string{seed}, Transport: transport,
			Load:   func() model.Load { return model.Load{FreeSlots: 40, Slots: 80, QueuedTasks: 3} },
			Config: func() (int64, string) { return 17, "0123456789abcdef0123456789abcdef" },
		})
		g.Start()
		c.groups = append(c.groups, g)
		b.Cleanup(func() {
			g.Close()
			_ = transport.Close(context.Background())
		})
	}
	return c
}

func (c *cluster) counted() int64 {
	total := int64(0)
	for _, g := range c.groups {
		total += g.ControlBytes()
	}
	return total
}

func cpuTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

package proof

import (
	"flag"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"foxtailmux/config"
	"foxtailmux/fakes"
	"foxtailmux/table"
)

var measure = flag.Bool("measure", false, "measure the cost and the delay of configuration")

const (
	idleTime        = 10 * time.Second
	measuredChanges = 25
)

// startMeasuredInstances starts instances that each reach the platform through a
// proxy, which counts their bytes.
func startMeasuredInstances(t *testing.T, count int) (*fakes.Platform, []*process, []*tcpProxy) {
	t.Helper()

	platform, err := fakes.StartPlatform(fakes.PlatformOptions{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(platform.Close)
	applyExample(t, platform.Addr())

	var entries []*process
	var proxies []*tcpProxy
	var seeds []string
	for i := range count {
		proxy := startTCPProxy(t, platform.Addr())
		var flags []string
		if len(seeds) > 0 {
			flags = []string{"--peers.seeds", strings.Join(seeds, ",")}
		}
		p := startEntry(t, fmt.Sprintf("entry-%d", i+1), proxy.addr(), flags...)
		entries, proxies = append(entries, p), append(proxies, proxy)
		seeds = append(seeds, p.field("peers"))
	}
	for _, p := range entries {
		waitFor(t, p.name+" sees all instances", func() bool {
			s, err := stateOf(p.field("operators"))
			return err == nil && s.Ready && aliveMembers(s) == count
		})
	}
	return platform, entries, proxies
}

func totalBytes(proxies []*tcpProxy) int64 {
	var sum int64
	for _, w := range proxies {
		sum += w.bytes.Load()
	}
	return sum
}

func TestMeasureTheStoreWhileIdle(t *testing.T) {
	if !*measure {
		t.Skip("measures only, give -measure")
	}
	for _, count := range []int{1, 3, 7, 14} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			platform, _, proxies := startMeasuredInstances(t, count)
			before, bytes := platform.Counters(), totalBytes(proxies)
			time.Sleep(idleTime)
			after := platform.Counters()
			seconds := idleTime.Seconds()
			t.Logf("%d instances: %.2f table and object reads/s, %.2f list reads/s, %.2f writes/s, %.0f B/s between the platform and each instance",
				count, float64(after.Reads-before.Reads)/seconds, float64(after.ListReads-before.ListReads)/seconds,
				float64(after.Writes-before.Writes)/seconds, float64(totalBytes(proxies)-bytes)/seconds/float64(count))
		})
	}
}

func TestMeasureAcceptedToInForce(t *testing.T) {
	if !*measure {
		t.Skip("measures only, give -measure")
	}
	r := newRandom(t)
	platform, entries, _ := startMeasuredInstances(t, 7)
	w := watchConfig(t, entries...)
	store := table.NewClient(platform.Addr(), time.Second)
	var all []time.Duration
	for n := range measuredChanges {
		time.Sleep(time.Duration(r.IntN(2000)) * time.Millisecond)
		number, accepted := applyNumbered(t, store, n)
		for _, p := range entries {
			all = append(all, w.mustReach(number, accepted, p))
		}
	}
	slices.Sort(all)
	t.Logf("%d changes at %d instances: median %v, maximum %v", measuredChanges, len(entries), all[len(all)/2], all[len(all)-1])
}

// applyNumbered applies a configuration that depends on n as the next version. It
// returns the version's number and the time of its acceptance.
func applyNumbered(t *testing.T, store *table.Client, n int) (number int64, accepted time.Time) {
	t.Helper()

	doc := config.Example()
	doc.Limits.MaxOpenJobs = 3000 + n
	applied, err := config.Apply(t.Context(), store, doc, "test", "measure")
	if err != nil {
		t.Fatal(err)
	}
	return applied.Entry.Number, time.Now()
}

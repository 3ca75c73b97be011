package proof

import (
	"fmt"
	"maps"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"foxtailmux/platform/stand"
)

// Guards against instances that end or stop following the workers' table after another writer has left
// odd entries there, one of them in place of a worker's own (reported by operators of similar systems).
func TestOddEntriesAmongTheWorkersStopNoInstance(t *testing.T) {
	s := newFleet(t, []string{"kochi", "kochi", "tvm"}, []string{"kochi", "tvm"})
	usual := s.row(0).value
	odd := map[string]string{
		"deep":     strings.Replace(usual, `"labels":["a","r1"]`, `"labels":`+strings.Repeat("[", 20_000)+strings.Repeat("]", 20_000), 1),
		"number":   strings.Replace(usual, `"cpu":64000`, `"cpu":1e400`, 1),
		"negative": strings.Replace(usual, `"cpu":64000`, `"cpu":-64000`, 1),
		"largest":  strings.Replace(usual, `"cpu":64000`, `"cpu":9223372036854775807`, 1),
		"port":     strings.Replace(usual, s.workerProxies[0].addr(), "127.0.0.1:99999", 1),
		"type":     `[]`,
		"bytes":    "\xff\xfe{",
		"empty":    "",
	}
	for name := range maps.Keys(odd) {
		if odd[name] == usual {
			t.Fatalf("%s is no odd entry", name)
		}
		s.store.Put("servers/odd-"+name, odd[name])
	}
	s.store.Put(s.row(1).key, odd["negative"])
	time.Sleep(3 * time.Second) // until the worker without an own entry is out of use

	began := s.workers[1].Renewals()
	for n := range 20 {
		i := s.instances[n%2]
		if diff := cmp.Diff(http.StatusOK, s.submitOnce(i, fmt.Sprintf("%016x", 2000+n), 70*time.Millisecond, 3*time.Second)); diff != "" {
			t.Errorf("status (-want +got):\n%s", diff)
		}
	}
	if n := s.workers[1].Renewals() - began; n > 0 {
		t.Errorf("%d renewals to a worker whose entry was overwritten", n)
	}
	key, value := stand.WorkerRow("late", s.workerProxies[1].addr(), "tvm", "a", 64_000, s.workers[1].Incarnation())
	s.store.Put(key, value) // the table is still followed
	s.writeRow(1)
	waitFor(t, "the worker whose entry is back is used again", func() bool { return s.workers[1].Renewals() > began })
	for _, i := range s.instances {
		if i.process().ended() {
			t.Errorf("%s has ended", i.name)
		}
	}
	s.check()
}

package proof

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// relayPeer puts a proxy between an instance and its peers: TCP connections go through the returned
// proxy, heartbeats are forwarded.
func (s *soak) relayPeer(instance string) *faultProxy {
	key := "nodes/" + instance
	var row map[string]any
	if err := json.Unmarshal([]byte(s.store.Get(key)), &row); err != nil {
		s.t.Fatal(err)
	}
	target := row["addr"].(string)
	fp := startFaultProxy(s.t, target)
	udp, err := net.ListenPacket("udp", fp.listener.Addr().String())
	if err != nil {
		s.t.Fatal(err)
	}
	to, err := net.Dial("udp", target)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _, _ = udp.Close(), to.Close() })
	go func() {
		buffer := make([]byte, 2048)
		for {
			n, _, err := udp.ReadFrom(buffer)
			if err != nil {
				return
			}
			_, _ = to.Write(buffer[:n]) // heartbeats may get lost
		}
	}()
	row["addr"] = fp.listener.Addr().String()
	text, err := json.Marshal(row)
	if err != nil {
		s.t.Fatal(err)
	}
	s.store.Put(key, string(text))
	return fp
}

// Guards against a task that runs twice: a job that its origin forwarded to a home is held up on the
// network, and delivered when its caller has submitted it again elsewhere.
func TestForwardThatWasHeldUpIsNotRunBesideItsResubmission(t *testing.T) {
	const (
		callerTimeout = time.Second
		runTime       = 900 * time.Millisecond
	)
	s, store := newEmptySoak(t, 1)
	for i, dc := range []string{"kochi", "kochi", "tvm", "tvm"} {
		s.addWorker(i, dc)
		s.workers[i].RunTime = func(string) time.Duration { return runTime }
	}
	for i, dc := range []string{"kochi", "kochi", "tvm"} {
		s.addInstance(fmt.Sprintf("entry-%d", i), dc, store)
	}
	s.waitRecovered()
	var owner struct {
		Instance string `json:"instance"`
	}
	if err := json.Unmarshal([]byte(s.store.Get("homes/kochi")), &owner); err != nil {
		t.Fatal(err)
	}
	origin := s.instances[0]
	if origin.name == owner.Instance {
		origin = s.instances[1]
	}
	relay := s.relayPeer(owner.Instance)
	time.Sleep(time.Second)
	const id = "00000000000000bb"
	if diff := cmp.Diff(http.StatusOK, s.submitOnce(origin, "00000000000000ba", runTime, 3*time.Second)); diff != "" {
		t.Fatalf("status through the relay (-want +got):\n%s", diff)
	}

	relay.holdAll.Store(true)
	time.AfterFunc(callerTimeout+resendDelay+300*time.Millisecond, func() { relay.holdAll.Store(false) })
	s.submitOnce(origin, id, runTime, callerTimeout)
	time.Sleep(resendDelay)
	if diff := cmp.Diff(http.StatusOK, s.submitOnce(s.instances[2], id, runTime, 3*time.Second)); diff != "" {
		t.Errorf("status of the second submission (-want +got):\n%s", diff)
	}
	time.Sleep(time.Second)
	s.check()
}

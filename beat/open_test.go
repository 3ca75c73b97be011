package beat

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/phuslu/log"

	"foxtailmux/model"
)

// Guards against open jobs that another home does not recognise, or whose time it takes to be over too early.
func TestOpenJobsAreEncodedAndDecoded(t *testing.T) {
	want := Heartbeat{Instance: "a", Open: OpenJobs{
		{Job: HashJob("a"), Request: HashRequest("entry", "1", 4), Left: 1500 * time.Millisecond},
		{Job: HashJob("b"), Request: HashRequest("entry", "1", 5)},
	}}
	body, err := json.Marshal(want)
	if err != nil {
		t.Fatal(err)
	}
	var got Heartbeat
	if err := json.Unmarshal(body, &got); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("decoded (-want +got):\n%s", diff)
	}
}

// Guards against a heartbeat with odd open jobs that stops the receiver, or is read in part.
func TestOddOpenJobsAreRefused(t *testing.T) {
	for name, text := range map[string]string{"cut short": `{"open":"AAAA"}`, "no base64": `{"open":"-"}`, "number": `{"open":1}`} {
		var h Heartbeat
		if err := json.Unmarshal([]byte(text), &h); err == nil {
			t.Errorf("%s: decoded as %v", name, h.Open)
		}
	}
}

// Guards against an instance that counts as dead since its heartbeat with many open jobs does not fit into a packet.
func TestLargeHeartbeatGoesWithoutOpenJobs(t *testing.T) {
	d := New(Options{Log: &log.Logger{Level: log.PanicLevel}})
	h := Heartbeat{Instance: "a", Homes: map[string]model.FreeCapacity{"kochi": {}}, Cancelled: []int64{4}, Open: make(OpenJobs, 200)}
	var got Heartbeat
	if err := json.Unmarshal(d.encode(h), &got); err != nil {
		t.Fatal(err)
	}
	h.Open = nil
	if diff := cmp.Diff(h, got); diff != "" {
		t.Errorf("heartbeat (-want +got):\n%s", diff)
	}
}

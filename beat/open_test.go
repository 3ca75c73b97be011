package beat

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/phuslu/log"

	"foxtailmux/model"
)

// Guards against open jobs that another home does not recognise, or whose time it takes to be over too early.
func TestOpenJobsAreEncodedAndDecoded(t *testing.T) {
	want := Heartbeat{Instance: "a", Open: OpenJobs{
		{Job: HashJob("quotes", "a"), Request: HashRequest("entry", "1", 4), Left: 1500 * time.Millisecond},
		{Job: HashJob("quotes", "b"), Request: HashRequest("entry", "1", 5)},
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

// Guards against open jobs that are not announced since they don't fit into one packet, and against an instance that
// counts as dead since its heartbeat does not.
func TestManyOpenJobsGoInSeveralHeartbeats(t *testing.T) {
	d := New(Options{Log: &log.Logger{Level: log.PanicLevel}})
	h := Heartbeat{Instance: "a", Homes: map[string]model.FreeCapacity{"kochi": {}}, Cancelled: []int64{4}}
	for n := range 200 {
		h.Open = append(h.Open, OpenJob{Job: uint32(n)})
	}
	var got Heartbeat
	for i, body := range d.encodeAll(h) {
		var part Heartbeat
		if err := json.Unmarshal(body, &part); err != nil || len(body) > maxHeartbeatBytes {
			t.Fatalf("%d bytes, error %v", len(body), err)
		}
		open, cancelled := append(got.Open, part.Open...), got.Cancelled
		if i == 0 {
			cancelled = part.Cancelled
		}
		got = part
		got.Open, got.Cancelled = open, cancelled
	}
	if diff := cmp.Diff(h, got); diff != "" {
		t.Errorf("heartbeats together (-want +got):\n%s", diff)
	}
}

// Guards against an instance that counts as dead since its heartbeat with many homes leaves no space for open jobs.
func TestHeartbeatWithoutSpaceGoesWithoutOpenJobs(t *testing.T) {
	d := New(Options{Log: &log.Logger{Level: log.PanicLevel}})
	h := Heartbeat{Instance: "a", Homes: map[string]model.FreeCapacity{}, Open: make(OpenJobs, 3)}
	for i := 0; len(d.encode(h)) < maxHeartbeatBytes-100; i++ {
		h.Homes[fmt.Sprintf("dataCentre%d", i)] = model.FreeCapacity{Free: 1_000_000}
	}
	h.Homes["lastDataCentreWithALongName"] = model.FreeCapacity{Free: 1_000_000, Waiting: 1_000_000}
	var got Heartbeat
	bodies := d.encodeAll(h)
	if err := json.Unmarshal(bodies[0], &got); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]int{1, len(h.Homes)}, []int{len(bodies), len(got.Homes)}); diff != "" {
		t.Errorf("heartbeats and homes (-want +got):\n%s", diff)
	}
}

package beat

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/phuslu/log"

	"foxtailmux/model"
)

// Guards against an instance that counts as dead since its heartbeat with many homes and cancels does not
// fit into a packet.
func TestLargeHeartbeatGoesWithoutCancels(t *testing.T) {
	d := New(Options{Log: &log.Logger{Level: log.PanicLevel}})
	h := Heartbeat{Instance: "a", Homes: map[string]model.FreeCapacity{}}
	for i := range 15 {
		h.Homes[fmt.Sprintf("dataCentre%d", i)] = model.FreeCapacity{Free: 1_000_000, Waiting: 1_000_000}
	}
	for n := range int64(40) {
		h.Cancelled = append(h.Cancelled, 1_000_000_000_000+n)
	}
	var got Heartbeat
	if err := json.Unmarshal(d.encode(h), &got); err != nil {
		t.Fatal(err)
	}
	h.Cancelled = nil
	if diff := cmp.Diff(h, got); diff != "" {
		t.Errorf("heartbeat (-want +got):\n%s", diff)
	}
}

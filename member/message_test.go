package member

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"
)

func TestInvalidHeartbeatsAreRejected(t *testing.T) {
	long := strings.Repeat("x", maxNameLength+1)
	third := hint{ID: "entry02", Incarnation: "i", DataCentre: "kochi", PeerAddr: "10.0.0.2:7000"}
	cases := map[string]func(h *heartbeat){
		"no id":                  func(h *heartbeat) { h.ID = "" },
		"long incarnation":       func(h *heartbeat) { h.Incarnation = long },
		"negative period":        func(h *heartbeat) { h.PeriodMillis = -1 },
		"long period":            func(h *heartbeat) { h.PeriodMillis = maxPeriod.Milliseconds() + 1 },
		"long digest":            func(h *heartbeat) { h.ConfigDigest = long },
		"entry of another":       func(h *heartbeat) { h.Entry.ID = "entry03" },
		"address without a port": func(h *heartbeat) { h.Entry.PeerAddr = "10.0.0.1" },
		"address by name":        func(h *heartbeat) { h.Entry.PeerAddr = "localhost:7000" },
		"no data centre":         func(h *heartbeat) { h.Entry.DataCentre = "" },
		"many hints":             func(h *heartbeat) { h.Hints = make([]hint, maxHints+1) },
		"negative age":           func(h *heartbeat) { h.Hints[0].AgeMillis = -1 },
		"hint without an id":     func(h *heartbeat) { h.Hints[0].ID = "" },
		"hint without a port":    func(h *heartbeat) { h.Hints[0].PeerAddr = "10.0.0.2" },
		"oversize":               func(h *heartbeat) { h.Entry.CallerAddr = strings.Repeat("x", maxHeartbeatSize) },
	}

	build := func(change func(h *heartbeat)) json.RawMessage {
		e := entry(1, "kochi", 0)
		h := &heartbeat{ID: e.ID, Incarnation: e.Incarnation, Entry: &e, Hints: []hint{third}}
		change(h)
		raw, err := json.Marshal(h)
		if err != nil {
			t.Fatal(err)
		}
		return raw
	}
	if _, err := decodeHeartbeat(build(func(*heartbeat) {})); err != nil {
		t.Errorf("a valid heartbeat was rejected: %v", err)
	}
	for name, change := range cases {
		_, err := decodeHeartbeat(build(change))
		var failure *Error
		if !errors.As(err, &failure) || failure.Kind != KindInvalid {
			t.Errorf("%s: got %v, want an *Error of kind %s", name, err, KindInvalid)
		}
	}
}

package peer

import (
	"context"
	"encoding/json"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// The receiving instance verifies the digest of a job's payload, so the bytes of the
// parameters must arrive as they were sent: a JSON library that decodes and encodes them
// again would change the order of keys, duplicate keys and the form of numbers.
func TestParametersArriveByteForByte(t *testing.T) {
	a, b := startGroup(t, optionsFor("a")), startGroup(t, optionsFor("b"))
	received := make(chan string, 1)
	b.Handle("take", func(_ context.Context, params json.RawMessage) (any, error) {
		received <- string(params)
		return struct{}{}, nil
	})
	a.SetPeer("b", b.Addr())

	for _, want := range []string{
		`{"z":1,"a":2}`,
		`{"a":1,"a":2}`,
		`{"n":12345678901234567890.1234567890}`,
		`{"text":"<&> é \u00e9 \\ \""}`,
		`[["nested"]]`,
		`["text"]`,
		`null`,
	} {
		if err := call(t, a, "b", "take", json.RawMessage(want), nil); err != nil {
			t.Fatalf("%s: %v", want, err)
		}
		if diff := cmp.Diff(want, <-received); diff != "" {
			t.Errorf("parameters (-sent +received):\n%s", diff)
		}
	}
}

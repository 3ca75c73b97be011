package peer

import (
	"context"
	"encoding/json"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// A job's payload is compared by its digest on the other side, so that its
// bytes must arrive as they were sent.
func TestParametersArriveByteForByte(t *testing.T) {
	a, b := startGroup(t, named("a")), startGroup(t, named("b"))
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

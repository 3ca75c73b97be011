package claim

import (
	"encoding/json"
	"strings"
	"testing"

	"foxtailmux/table"
)

func FuzzDecodeRow(f *testing.F) {
	f.Add([]byte(`{"claimId":"c","jobId":"j","digest":"d","claimedAt":"2026-01-02T03:04:05Z"}`), "team", "key")
	f.Add([]byte(`{"claimedAt":"x"}`), "a/b", "")
	f.Add([]byte(`null`), "..", "\x00")
	f.Fuzz(func(t *testing.T, value []byte, team, key string) {
		if row, err := decodeRow(table.Row{Value: value}); err == nil {
			if _, err := json.Marshal(row); err != nil {
				t.Fatalf("a decoded row can't be encoded: %v", err)
			}
		}

		name := rowKey(team, key)
		if !strings.HasPrefix(name, rowPrefix) || strings.Count(name, "/") != 2 {
			t.Fatalf("row %q", name)
		}
	})
}

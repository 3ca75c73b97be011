package claim

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/url"
	"time"

	"foxtailmux/table"
)

const rowPrefix = "claims/"

// Row is the value of a claim's row.
type Row struct {
	ClaimID   string    `json:"claimId"`
	JobID     string    `json:"jobId"`
	Digest    string    `json:"digest"`
	ClaimedAt time.Time `json:"claimedAt"`
}

// rowKey has a bounded length and alphabet, whatever the caller's key holds.
func rowKey(team, key string) string {
	sum := sha256.Sum256([]byte(key))
	return rowPrefix + url.PathEscape(team) + "/" + hex.EncodeToString(sum[:])
}

func decode(r table.Row) (Row, error) {
	var row Row
	err := json.Unmarshal(r.Value, &row)
	return row, err
}

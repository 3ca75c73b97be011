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

// Row is the value of a row in the table that holds a claim. ClaimID is unique to
// each request; by it a request recognises its own row.
type Row struct {
	ClaimID   string    `json:"claimId"`
	JobID     string    `json:"jobId"`
	Digest    string    `json:"digest"`
	ClaimedAt time.Time `json:"claimedAt"`
}

// rowKey returns the key of the row for a team's idempotency key. The idempotency
// key is hashed, which bounds the length and the alphabet of its part.
func rowKey(team, key string) string {
	sum := sha256.Sum256([]byte(key))
	return rowPrefix + url.PathEscape(team) + "/" + hex.EncodeToString(sum[:])
}

func decodeRow(r table.Row) (Row, error) {
	var row Row
	err := json.Unmarshal(r.Value, &row)
	return row, err
}

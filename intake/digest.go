package intake

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"

	"foxtailmux/model"
)

// jobDigest returns a hash of a job without its deadline, ticket and idempotency
// key, which may differ between two submissions of the same job.
func jobDigest(job model.Job) (string, error) {
	job.DeadlineMillis = 0
	job.Ticket = ""
	job.IdempotencyKey = ""

	text, err := json.Marshal(job)
	if err != nil {
		return "", err
	}
	sum := sha256.Sum256(text)
	return base64.RawURLEncoding.EncodeToString(sum[:]), nil
}

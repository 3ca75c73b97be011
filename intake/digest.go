package intake

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"

	"foxtailmux/model"
)

// digest identifies what a job asks for. The deadline, the ticket and the key
// may differ between two submissions of one job.
func digest(job model.Job) (string, error) {
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

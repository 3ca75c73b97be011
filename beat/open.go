package beat

import (
	"encoding/base64"
	"encoding/binary"
	"fmt"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// OpenJob announces an unfinished job of a home by hashes, so that a heartbeat has space for many.
type OpenJob struct {
	Job     uint32        // HashJob of it
	Request uint16        // HashRequest of its last request
	Left    time.Duration // until its time is over, at most maxOpenLeft
}

// HashJob returns the hash that announces a job of a queue.
func HashJob(queue, id string) uint32 { return uint32(xxhash.Sum64String(queue + "/" + id)) }

// HashRequest returns the hash that announces the number of a request at an incarnation of its origin.
func HashRequest(origin, incarnation string, number int64) uint16 {
	return uint16(xxhash.Sum64String(fmt.Sprintf("%s/%s/%d", origin, incarnation, number)))
}

// OpenJobs is encoded as base64 of openJobBytes for each job.
type OpenJobs []OpenJob

const (
	openJobBytes = 8
	openLeftUnit = 10 * time.Millisecond
	maxOpenLeft  = math.MaxUint16 * openLeftUnit
)

// MarshalText encodes the jobs. The error is always nil.
func (o OpenJobs) MarshalText() ([]byte, error) {
	raw := make([]byte, 0, len(o)*openJobBytes)
	for _, j := range o {
		left := min(max(j.Left, 0), maxOpenLeft)
		raw = binary.BigEndian.AppendUint32(raw, j.Job)
		raw = binary.BigEndian.AppendUint16(raw, j.Request)
		raw = binary.BigEndian.AppendUint16(raw, uint16((left+openLeftUnit-1)/openLeftUnit))
	}
	return base64.StdEncoding.AppendEncode(nil, raw), nil
}

// UnmarshalText decodes the jobs. The error is that of the base64 text, or that of a job which is cut short.
func (o *OpenJobs) UnmarshalText(text []byte) error {
	raw, err := base64.StdEncoding.AppendDecode(nil, text)
	if err != nil {
		return fmt.Errorf("beat: decode open jobs: %w", err)
	}
	if len(raw)%openJobBytes != 0 {
		return fmt.Errorf("beat: decode open jobs: %d bytes are no whole number of jobs", len(raw))
	}
	*o = make(OpenJobs, 0, len(raw)/openJobBytes)
	for ; len(raw) > 0; raw = raw[openJobBytes:] {
		*o = append(*o, OpenJob{
			Job:     binary.BigEndian.Uint32(raw),
			Request: binary.BigEndian.Uint16(raw[4:]),
			Left:    time.Duration(binary.BigEndian.Uint16(raw[6:])) * openLeftUnit,
		})
	}
	return nil
}

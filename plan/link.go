package plan

import (
	"sync"
	"time"
)

// Link estimates how long the bytes that this machine sends queue for its network link. Used
// for low-bandwidth links, on which the starts of one wide job queue for longer than a worker
// takes to respond: taken for lost, they would be sent again and lengthen the queue. It is safe
// for concurrent use.
type Link struct {
	rate float64 // bytes per second, 0 is unlimited

	mu     sync.Mutex
	freeAt time.Time // when all recorded bytes have left
}

const bitsPerByte = 8

// NewLink returns a link with a bandwidth in megabits per second; 0 is unlimited.
func NewLink(megabits float64) *Link { return &Link{rate: megabits * 1e6 / bitsPerByte} }

// RecordSend records that bytes are sent now. It returns the time until they have left.
func (l *Link) RecordSend(bytes int, now time.Time) time.Duration {
	if l.rate <= 0 {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.freeAt = l.freeAt.Add(l.duration(bytes))
	return l.freeAt.Sub(now)
}

// Delay returns the time until bytes that are sent now would have left.
func (l *Link) Delay(bytes int, now time.Time) time.Duration {
	if l.rate <= 0 {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(l.freeAt.Sub(now), 0) + l.duration(bytes)
}

// probeShare is the share of the link that probes of unresponsive workers may take. The rest is
// left for the requests that bring the workers back into use.
const probeShare = 0.25

// ProbePeriod returns the time over which a number of probes, each of that many bytes, has to
// be spread. Used for a link that is saturated: while no request gets through, all workers look
// unresponsive, and frequent probes keep the link saturated.
func (l *Link) ProbePeriod(probes, bytes int) time.Duration {
	if l.rate <= 0 {
		return 0
	}
	return time.Duration(float64(l.duration(probes*bytes)) / probeShare)
}

// originForwardCost is the time that one more message between two instances of a data centre
// takes, with their processing.
const originForwardCost = 3 * time.Millisecond

// KeepSpecAtOrigin reports whether the origin, the instance that holds the caller's connection
// of a job, should keep the job's specification and send the start requests itself instead of
// handing the specification to the home. Used for data centres of low-bandwidth links:
// otherwise all starts leave through the link of the home. Spec is the length of the
// specification and overhead the rest of a start request, in bytes.
func KeepSpecAtOrigin(own, home *Link, spec, overhead, tasks int) bool {
	direct := own.duration(tasks * (spec + overhead))
	forwarded := own.duration(spec) + home.duration(tasks*(spec+overhead))
	return forwarded-direct > originForwardCost
}

// duration returns how long bytes take on the link, 0 on an unlimited one.
func (l *Link) duration(bytes int) time.Duration {
	if l.rate <= 0 {
		return 0
	}
	return time.Duration(float64(bytes) / l.rate * float64(time.Second))
}

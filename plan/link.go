package plan

import (
	"sync"
	"time"
)

// Link estimates how long what this machine sends waits for its network link. It
// answers thin links, on which the starts of one wide job queue for longer than a
// worker takes to answer: taken for lost, they would be sent again and make the
// queue longer. It is safe for concurrent use.
type Link struct {
	rate float64 // bytes a second, 0 is without limit

	mu     sync.Mutex
	freeAt time.Time // when what was sent has left
}

// bitsPerByte on the wire.
const bitsPerByte = 8

// NewLink returns a link of that many megabits a second; 0 is without limit.
func NewLink(megabits float64) *Link { return &Link{rate: megabits * 1e6 / bitsPerByte} }

// RecordSend notes that bytes are sent now. It returns the time until they have left.
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

// Delay returns the time until bytes that would be sent now had left.
func (l *Link) Delay(bytes int, now time.Time) time.Duration {
	if l.rate <= 0 {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(l.freeAt.Sub(now), 0) + l.duration(bytes)
}

// probeShare is the share of the link that questions to silent workers may take; the
// rest is left for the orders that end the silence.
const probeShare = 0.25

// ProbePeriod returns the time over which that many questions have to be spread. It answers a
// link that was full: while nothing gets through, all workers look silent, and asking
// them often keeps the link full.
func (l *Link) ProbePeriod(questions, bytes int) time.Duration {
	if l.rate <= 0 {
		return 0
	}
	return time.Duration(float64(l.duration(questions*bytes)) / probeShare)
}

// relayHop is what a further message between two instances of a data centre takes,
// their own time included.
const relayHop = 3 * time.Millisecond

// KeepSpecAtOrigin reports whether the instance that holds a job's caller does better to keep the
// specification and send the starts itself than to hand it to the home. It answers data
// centres of thin links: all starts leave through that of the home otherwise. Spec is the
// length of the specification and order what a start takes beside it, in bytes.
func KeepSpecAtOrigin(own, home *Link, spec, order, tasks int) bool {
	direct := own.duration(tasks * (spec + order))
	forwarded := own.duration(spec) + home.duration(tasks*(spec+order))
	return forwarded-direct > relayHop
}

// duration is how long bytes take on the link, 0 on one without limit.
func (l *Link) duration(bytes int) time.Duration {
	if l.rate <= 0 {
		return 0
	}
	return time.Duration(float64(bytes) / l.rate * float64(time.Second))
}

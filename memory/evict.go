package memory

import "time"

// Phase is what a connection does.
type Phase int32

// Phases of a connection. It is Receiving from its start, and from the first byte of each further
// request, until the request is whole, Serving until the response is sent, and Idle until the next
// request. An Evicted one is being closed.
const (
	Receiving Phase = iota
	Serving
	Idle
	Evicted
)

// Claim describes a connection for the decision which one is closed.
type Claim struct {
	Phase  Phase
	Since  time.Time // begin of the phase
	Served bool      // at least one request was answered
	Bytes  int64     // held in the budget
}

// minIdle is the time for which a connection has been idle before it is closed in favour of a new one, so
// that a response that was just written is read before.
const minIdle = time.Second

// worst returns the index of the claim that gives way first, or -1 if none does.
//
// It answers to the load of callers that hold connections with requests that are never whole, while
// ordinary callers send theirs at once: the longer a request has been incomplete, the less likely it is
// an ordinary one. Connections that have delivered a request before give way after those that have not.
// Connections that are being served never give way, as nothing of their job may be lost.
func worst(claims []Claim, eligible func(Claim) bool) int {
	found := -1
	for i, c := range claims {
		if !eligible(c) {
			continue
		}
		if found < 0 || givesWayBefore(c, claims[found]) {
			found = i
		}
	}
	return found
}

func givesWayBefore(c, other Claim) bool {
	if a, b := c.order(), other.order(); a != b {
		return a < b
	}
	return c.Since.Before(other.Since)
}

// order returns the rank of a claim among those that give way, the first one 0.
func (c Claim) order() int {
	switch {
	case c.Phase == Receiving && !c.Served:
		return 0
	case c.Phase == Receiving:
		return 1
	}
	return 2
}

// WorstConnection returns the index of the connection that is closed in favour of a new one, or -1 if the
// new one is refused. Idle connections are closed after all incomplete requests, the one that was idle
// longest first.
func WorstConnection(claims []Claim, now time.Time) int {
	return worst(claims, func(c Claim) bool {
		return c.Phase == Receiving || c.Phase == Idle && now.Sub(c.Since) >= minIdle
	})
}

// WorstRequest returns the index of the connection that is closed in favour of the bytes of another
// request, or -1 if there is none: only connections that hold bytes of an incomplete request.
func WorstRequest(claims []Claim) int {
	return worst(claims, func(c Claim) bool { return c.Phase == Receiving && c.Bytes > 0 })
}

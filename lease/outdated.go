package lease

import "time"

// maxOutdatedResponses is the number of outdated responses in a row after which the estimate of the
// worker's clock is at fault, and no longer the responses.
const maxOutdatedResponses = 4

// IsOutdated reports whether the response to a request that was sent at a local time was made before
// that, by the worker's clock in milliseconds: it belongs to an earlier request. Used for workers that
// answer a request twice, the second time late, on a connection that is used again. After several in a row
// the clock is unknown until the response is recorded.
func (t *Tracker) IsOutdated(clock int64, sentAt time.Time) bool {
	if clock == 0 || !t.Clock.Known() || clock >= t.Clock.Earliest(sentAt) {
		t.outdatedResponses = 0
		return false
	}
	t.outdatedResponses++
	if t.outdatedResponses < maxOutdatedResponses {
		return true
	}
	t.outdatedResponses, t.Clock = 0, Clock{}
	return false
}

// IsOutdatedReport is IsOutdated for a report. The clock of another incarnation starts anew; an
// earlier incarnation made its reports before the present one was first heard of.
func (t *Tracker) IsOutdatedReport(r Report, sentAt time.Time) bool {
	if r.Incarnation == 0 || t.incarnation == 0 || r.Incarnation == t.incarnation {
		return t.IsOutdated(r.Clock, sentAt)
	}
	return sentAt.Before(t.incarnationAt)
}

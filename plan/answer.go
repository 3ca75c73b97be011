package plan

import "time"

// Weights of a new answer in the mean and the spread of their times, and how many
// spreads beyond the mean an answer may come, as RFC 6298 has them for TCP.
const (
	answerWeight = 1.0 / 8
	spreadWeight = 1.0 / 4
	spreadFactor = 4
)

// maxAnswer bounds how long an order waits for its answer by what others took. Two
// such orders fit into the lease of a second that the platform allows.
const maxAnswer = 350 * time.Millisecond

// ResponseTimes follows how long orders wait for their answers. It answers links that are
// full for a while, also of those who send to this machine: what is only late would
// be taken for lost and sent again over the same link. The zero value has seen none.
type ResponseTimes struct {
	mean   time.Duration
	spread time.Duration
}

// Record takes the time of an answer, which may have come too late to be of use.
func (a *ResponseTimes) Record(took time.Duration) {
	took = min(took, maxAnswer)
	off := took - a.mean
	a.spread += time.Duration(spreadWeight * float64(max(off, -off)-a.spread))
	a.mean += time.Duration(answerWeight * float64(off))
}

// Timeout returns how long to wait for the answer to an order that usually waits that
// long.
func (a *ResponseTimes) Timeout(usual time.Duration) time.Duration {
	return max(usual, min(a.mean+spreadFactor*a.spread, maxAnswer))
}

package plan

import "time"

// Weights of a new sample in the mean and the deviation of response times, and the number of
// deviations beyond the mean until a timeout, as in RFC 6298 for TCP.
const (
	meanWeight      = 1.0 / 8
	deviationWeight = 1.0 / 4
	deviationFactor = 4
)

// maxResponseTime bounds the timeout that is derived from measured response times. Two requests
// of this length fit into the lease of one second that the platform allows.
const maxResponseTime = 350 * time.Millisecond

// ResponseTimes tracks how long requests wait for their responses. Used for links that are
// saturated for a while, also those of other machines that send to this one: a late response
// would be taken for lost and its request sent again over the same link. The zero value has no
// samples.
type ResponseTimes struct {
	mean      time.Duration
	deviation time.Duration
}

// Record takes in the time of a response, also of one that came after its timeout.
func (r *ResponseTimes) Record(took time.Duration) {
	took = min(took, maxResponseTime)
	offset := took - r.mean
	r.deviation += time.Duration(deviationWeight * float64(max(offset, -offset)-r.deviation))
	r.mean += time.Duration(meanWeight * float64(offset))
}

// Timeout lengthens the usual timeout of a request by the measured response times.
func (r *ResponseTimes) Timeout(usual time.Duration) time.Duration {
	return max(usual, min(r.mean+deviationFactor*r.deviation, maxResponseTime))
}

package queue

import "time"

// agingRate is the run time that is subtracted from a job's remaining run time
// per unit of time since its arrival, so that a stream of small jobs can't keep a
// large one waiting forever.
const agingRate = 2.0

func init() { Orders.Add("leastWork", leastWork{}) }

// leastWork serves the job with the least remaining run time first, corrected
// for its age by agingRate.
type leastWork struct{}

func (leastWork) Before(a, b *Job, now time.Time) bool {
	return agedWork(a, now) < agedWork(b, now)
}

func agedWork(j *Job, now time.Time) float64 {
	return float64(j.remaining) - agingRate*float64(now.Sub(j.Arrived))
}

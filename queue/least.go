package queue

import "time"

// ageing is how much of its remaining work a job is forgiven for each unit of
// time that it waits, so that a wide job is not passed by for ever.
const ageing = 2.0

func init() { Orders.Add("leastWork", leastWork{}) }

// leastWork serves the job with the least work left, less its age.
type leastWork struct{}

func (leastWork) Before(a, b *Job, now time.Time) bool {
	return aged(a, now) < aged(b, now)
}

func aged(j *Job, now time.Time) float64 {
	return float64(j.remaining) - ageing*float64(now.Sub(j.Arrived))
}

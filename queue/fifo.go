package queue

import "time"

func init() { Orders.Add("fifo", fifo{}) }

// fifo serves the job that arrived first.
type fifo struct{}

func (fifo) Before(a, b *Job, _ time.Time) bool {
	return a.Arrived.Before(b.Arrived)
}

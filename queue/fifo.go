package queue

import "time"

func init() { Orders.Add("fifo", fifo{}) }

// fifo serves jobs in the order of their arrival.
type fifo struct{}

func (fifo) Before(a, b *Job, _ time.Time) bool {
	return a.Arrived.Before(b.Arrived)
}

package home_test

import (
	"context"
	"fmt"
	"testing"
	"time"
)

// BenchmarkSubmitWithManyWaiting measures what one more job costs a home of 88 full
// workers at which 600 jobs wait, as after a burst on a grown deployment.
func BenchmarkSubmitWithManyWaiting(b *testing.B) {
	p := newPlace(b, 88)
	for _, w := range p.workers {
		w.RunTime = func(string) time.Duration { return time.Hour }
	}
	p.elsewhere = func(int) (string, bool) { return "", false }
	h := p.ready(1)
	defer p.close(h)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for i := range 776 { // 176 run
		s := submission(fmt.Sprintf("waiting%d", i), 1)
		s.Resumed, s.TasksReported, s.TimeLeft = true, true, time.Hour // is not refused
		s.Batch.Steps[0].Estimate = time.Hour
		go h.Submit(ctx, s)
	}
	time.Sleep(500 * time.Millisecond)

	for i := 0; b.Loop(); i++ {
		s := submission(fmt.Sprintf("j%d", i), 1)
		s.Immediate = true // is answered at once
		h.Submit(ctx, s)
	}
}

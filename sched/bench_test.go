package sched

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"foxtailmux/config"
	"foxtailmux/learn"
	"foxtailmux/model"
	"foxtailmux/queue"
)

// BenchmarkStart measures how long it takes to choose the next task and its
// worker with 500 waiting jobs and 60 workers, only one of which has a free slot.
func BenchmarkStart(b *testing.B) {
	for _, order := range queue.Orders.Names() {
		b.Run(order, func(b *testing.B) { benchmarkStart(b, order) })
	}
}

func benchmarkStart(b *testing.B, order string) {
	s := New("e1", "dc1", refuseDial, noopObserver{}, &learn.Estimator{})
	document := config.Default()
	document.Placement.Order = order
	if err := s.Apply(document); err != nil {
		b.Fatal(err)
	}

	var list []model.Worker
	for i := range 60 {
		list = append(list, model.Worker{
			ID: fmt.Sprintf("w%d", i), DataCentre: "dc1", Pool: "p", State: model.Live,
			Slots: 8, Capacity: model.Resources{Cores: 64},
		})
	}
	s.UpdateWorkers(list)
	now := time.Now()
	for _, w := range s.owned {
		w.Running = 8
	}
	s.owned[30].Running = 7
	for i := range 500 {
		s.queue.Push(benchmarkJob(i, now))
	}

	b.ReportAllocs()
	for b.Loop() {
		w, j, it := s.chooseNext(now, &[]requirement{})
		if w == nil {
			b.Fatal("no task was chosen")
		}
		s.queue.PushFront(j, it)
	}
}

func benchmarkJob(i int, now time.Time) *queue.Job {
	j := &queue.Job{
		Context: context.Background(), Team: fmt.Sprint("t", i%7), Pool: "p",
		Arrived: now.Add(time.Duration(i)), Deadline: now.Add(time.Minute),
	}
	for range 10 {
		it := &queue.Item{ExpectedRun: 100 * time.Millisecond}
		it.Request.Needs.Cores = 4
		j.Items = append(j.Items, it)
	}
	return j
}

// BenchmarkNothingFits measures the search with 500 waiting jobs when all free
// slots belong to another pool.
func BenchmarkNothingFits(b *testing.B) {
	s := New("e1", "dc1", refuseDial, noopObserver{}, &learn.Estimator{})
	if err := s.Apply(config.Default()); err != nil {
		b.Fatal(err)
	}
	var list []model.Worker
	for i := range 60 {
		list = append(list, model.Worker{ID: fmt.Sprintf("w%d", i), DataCentre: "dc1", Pool: "other", State: model.Live, Slots: 8})
	}
	s.UpdateWorkers(list)
	now := time.Now()
	for i := range 500 {
		s.queue.Push(benchmarkJob(i, now))
	}

	b.ReportAllocs()
	for b.Loop() {
		if w, _, _ := s.chooseNext(now, &[]requirement{}); w != nil {
			b.Fatal("a task of another pool was started")
		}
	}
}

func refuseDial(context.Context, string) (net.Conn, error) { return nil, net.ErrClosed }

package fakes

import (
	"fmt"
	"io"

	"github.com/sourcegraph/conc"

	"foxtailmux/model"
)

// FleetOptions are the settings of a group of workers. Each RackSize workers
// form a rack, and racks are assigned to the data centres in turn.
type FleetOptions struct {
	Count       int
	Addr        string // IP and port; ignored unless Count is 1
	Name        string // prefix of the workers' ids
	Pool        string
	DataCentres []string
	RackSize    int
	Slots       int
	Connections int
	Capacity    model.Resources
	EventWriter io.Writer // receives each event as a JSON line; must be safe for concurrent use
}

// Fleet is a group of workers in this process.
type Fleet struct {
	Workers []*Worker
}

// StartFleet starts the workers. If a worker fails to start, it stops the
// others and returns the error of StartWorker.
func StartFleet(options FleetOptions) (*Fleet, error) {
	fleet := &Fleet{}
	for i := range options.Count {
		w, err := StartWorker(options.workerOptions(i))
		if err != nil {
			fleet.Close()
			return nil, err
		}
		fleet.Workers = append(fleet.Workers, w)
	}
	return fleet, nil
}

func (o FleetOptions) workerOptions(index int) WorkerOptions {
	rack := index / max(o.RackSize, 1)
	dataCentre := ""
	if len(o.DataCentres) > 0 {
		dataCentre = o.DataCentres[rack%len(o.DataCentres)]
	}

	worker := WorkerOptions{
		ID:          fmt.Sprintf("%s-%03d", o.Name, index+1),
		DataCentre:  dataCentre,
		Rack:        fmt.Sprintf("%s-rack-%02d", dataCentre, rack+1),
		Pool:        o.Pool,
		Slots:       o.Slots,
		Connections: o.Connections,
		Capacity:    o.Capacity,
		Events:      NewEventLog(defaultMaxEvents, o.EventWriter),
	}
	if o.Count == 1 {
		worker.Addr = o.Addr
	}
	return worker
}

// Close stops all workers in parallel and waits until they have ended.
func (f *Fleet) Close() {
	var group conc.WaitGroup
	for _, w := range f.Workers {
		group.Go(w.Close)
	}
	group.Wait()
}

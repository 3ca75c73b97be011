package main

import (
	"sync"
	"time"
)

// draining shows tasks that are started on a worker long after it has reported that it leaves.
//
// The open channels to the store go silent once, without a reset, as in the case silent. Half a second
// later a worker reports that it is draining. The starts that count come later than drain-ms after that
// report and than stability-ms after the silence. The worker serves on all the while.
func draining(e *env) {
	q := route{"main", "/main1/"}
	e.configure(1, q)
	for _, id := range []string{"w-1", "w-2", "w-3", "w-4", "w-5", "w-6"} {
		startWorker(e, id, "zone1", kind{64_000, 131_072, "a", "r1-1"})
	}
	e.addInstance("edge-zone1-1", "zone1", true)
	e.addInstance("edge-zone1-2", "zone1", true)
	e.awaitReady("zone1")

	began := time.Now()
	var clients sync.WaitGroup
	clients.Add(1)
	go func() {
		defer clients.Done()
		for i := 0; time.Since(began) < 8*time.Second; i++ {
			time.Sleep(50 * time.Millisecond)
			clients.Add(1)
			go func() {
				defer clients.Done()
				e.submit(e.instances[i%2], jobSpec{id: newID(), prefix: q.prefix, tasks: 2, cpu: 27_000, estimate: 200 * time.Millisecond, work: 200 * time.Millisecond, timeout: 1500 * time.Millisecond})
			}()
		}
	}()
	time.Sleep(time.Second)
	silenced := time.Now()
	if e.trouble {
		for _, in := range e.instances {
			in.proxy.silence()
		}
		e.rec.note("trouble: the open channels of all instances to the store go silent; new ones work")
	}
	time.Sleep(500 * time.Millisecond)
	w := e.workers[0]
	w.drain()
	from := time.Now().Add(drainTime)
	if t := silenced.Add(stability); t.After(from) {
		from = t
	}
	clients.Wait()
	late, all := 0, 0
	var last time.Duration
	for _, s := range w.starts {
		all++
		if s.at.After(from.Add(50 * time.Millisecond)) {
			late++
			last = s.at.Sub(from)
		}
	}
	if all == 0 {
		e.fail("the worker was never used")
	}
	if late > 0 {
		e.finish(broken, "DRAIN broken: %d tasks were started on the draining worker later than drain-ms after its report, the last %d ms later", late, last.Milliseconds())
	}
	e.finish(held, "held: no task was started on the draining worker later than drain-ms after its report")
}

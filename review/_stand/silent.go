package main

import (
	"sync"
	"time"
)

const (
	stability   = 3000 * time.Millisecond // bounds.stability-ms
	configApply = 2000 * time.Millisecond // bounds.config-apply-ms
	drainTime   = 2000 * time.Millisecond // bounds.drain-ms
)

// silent shows requests that are handled as only an older configuration allows.
//
// The open channels to the store go silent once, without a reset, while new ones work. Then the
// operator adds a route and drops one. The requests that count are sent when both the bound of the
// configuration and stability-ms since the silence have passed.
func silent(e *env) {
	kept, dropped, added := route{"kept", "/kept1/"}, route{"dropped", "/dropped1/"}, route{"added", "/added1/"}
	e.configure(1, kept)
	for _, id := range []string{"w-1", "w-2", "w-3"} {
		startWorker(e, id, "zone1", kind{64_000, 131_072, "a", "r1-1"})
		startWorker(e, id+"b", "zone2", kind{64_000, 131_072, "a", "r2-1"})
	}
	e.addInstance("edge-zone1-1", "zone1", true)
	e.addInstance("edge-zone1-2", "zone1", true)
	e.addInstance("edge-zone2-1", "zone2", true)
	e.awaitReady("zone1", "zone2")

	e.configure(2, kept, dropped)
	time.Sleep(500 * time.Millisecond)
	silenced := time.Now()
	if e.trouble {
		for _, in := range e.instances {
			in.proxy.silence()
		}
		e.rec.note("trouble: the open channels of all instances to the store go silent; new ones work")
	}
	time.Sleep(500 * time.Millisecond)
	acked := e.configure(3, kept, added)

	from := acked.Add(configApply)
	if t := silenced.Add(stability); t.After(from) {
		from = t
	}
	from = from.Add(50 * time.Millisecond)
	time.Sleep(time.Until(from))
	e.rec.note("from now on requests count: %d ms after the acknowledgement, %d ms after the silence",
		time.Since(acked).Milliseconds(), time.Since(silenced).Milliseconds())
	var mu sync.Mutex
	var clients sync.WaitGroup
	refused, ran, sent := 0, 0, 0
	for time.Since(from) < 2*time.Second {
		for _, in := range e.instances {
			for _, r := range []route{added, dropped} {
				clients.Add(1)
				go func() {
					defer clients.Done()
					a := e.submit(in, jobSpec{id: newID(), prefix: r.prefix, tasks: 1, cpu: 4000, estimate: 60 * time.Millisecond, work: 60 * time.Millisecond, timeout: 1500 * time.Millisecond})
					mu.Lock()
					defer mu.Unlock()
					sent++
					switch {
					case r == added && a.status == 404:
						refused++
					case r == dropped && a.status == 200:
						ran++
					}
				}()
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	clients.Wait()
	if sent == 0 {
		e.fail("no request was sent")
	}
	if refused+ran > 0 {
		e.finish(broken, "CONFIG broken: of %d requests sent later than config-apply-ms after the acknowledgement, %d were refused with 404 though the route is there, and %d ran with a dropped route", sent, refused, ran)
	}
	e.finish(held, "held: %d requests were handled as the newest configuration says", sent)
}

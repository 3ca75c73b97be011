package main

import (
	"fmt"
	"syscall"
	"time"
)

// freezeTime is how long an instance stands still.
const freezeTime = 4 * time.Second

// overlap describes two runs of one task of a job at the same time, "" if there are none.
func (e *env) overlap(j jobSpec) string {
	now := time.Now()
	for i := range j.tasks {
		runs := e.runsOf(taskName(j.id, i))
		for k, a := range runs {
			for _, b := range runs[k+1:] {
				ends := func(r *taskRun) time.Time {
					if r.ended == "" {
						return now
					}
					return r.endedAt
				}
				from, to := a.began, ends(a)
				if b.began.After(from) {
					from = b.began
				}
				if ends(b).Before(to) {
					to = ends(b)
				}
				if to.After(from) {
					return fmt.Sprintf("task %s ran on %s (run %d) and on %s (run %d) at the same time, for %d ms",
						a.task, a.worker, a.run, b.worker, b.run, to.Sub(from).Milliseconds())
				}
			}
		}
	}
	return ""
}

// frozen shows two runs of a task at the same time.
//
// An instance stands still for 4 s. A client sends it a job, gets no answer, leaves and sends the job
// again 1.3 s later to another instance. When the first instance wakes, it reads the request from
// the channel that the client has closed.
func frozen(e *env) {
	q := route{"main", "/main1/"}
	e.configure(1, q)
	for _, id := range []string{"w-1", "w-2"} {
		startWorker(e, id, "zone1", kind{64_000, 131_072, "a", "r1-1"})
		startWorker(e, id+"b", "zone2", kind{64_000, 131_072, "a", "r2-1"})
	}
	e.addInstance("edge-zone1-1", "zone1", false)
	e.addInstance("edge-zone1-2", "zone1", false)
	two := e.addInstance("edge-zone2-1", "zone2", false)
	e.awaitReady("zone1", "zone2")
	one := e.instances[0]
	if e.homeOf("zone1") == one {
		one = e.instances[1]
	}

	if e.trouble {
		if err := one.cmd.Process.Signal(syscall.SIGSTOP); err != nil {
			e.fail("%v", err)
		}
		e.rec.note("trouble: instance %s stands still", one.name)
		time.AfterFunc(freezeTime, func() {
			e.rec.note("trouble: instance %s goes on", one.name)
			_ = one.cmd.Process.Signal(syscall.SIGCONT)
		})
	}
	time.Sleep(100 * time.Millisecond)
	j := jobSpec{id: newID(), prefix: q.prefix, tasks: 4, cpu: 27_000, estimate: 900 * time.Millisecond, work: 900 * time.Millisecond, timeout: 2200 * time.Millisecond}
	r := e.submit(one, j)
	if r.status == 0 || r.status == 502 || r.status == 504 {
		time.Sleep(1300 * time.Millisecond) // bounds.retry-ms
		r = e.submit(two, j)
	}
	time.Sleep(2 * time.Second)
	if r.status == 0 {
		e.fail("the job was not answered: %v", r)
	}
	if text := e.overlap(j); text != "" {
		e.finish(broken, "TWICE broken: %s; the job was answered %v", text, r)
	}
	e.finish(held, "held: no task ran twice at the same time; the job was answered %v", r)
}

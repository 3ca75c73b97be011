package home_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"foxtailmux/home"
)

// served counts the jobs of a queue, or those of its large ones, that were sent while the capacity was short.
type served struct{ jobs, inTime int }

func (s served) share() float64 { return float64(s.inTime) / float64(max(s.jobs, 1)) }

const largeJob = 1.3

func (t *tally) addServed(k jobKind, s home.Submission, sentAt time.Duration, o home.Outcome, took, objective time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if sentAt < 4*time.Second || sentAt > 8*time.Second {
		return
	}
	if t.served == nil {
		t.served = map[string]served{}
	}
	names := []string{k.name}
	if float64(s.Batch.Steps[0].Replicas) > largeJob*k.tasks {
		names = append(names, k.name+" large")
	}
	for _, name := range names {
		c := t.served[name]
		c.jobs++
		if o.Result == home.Succeeded && took <= objective {
			c.inTime++
		}
		t.served[name] = c
	}
}

func TestBurstOfOneQueue(t *testing.T) {
	for _, shares := range []bool{false, true} {
		for _, of := range []string{"bundle-quote", "price-check"} {
			for _, c := range []struct {
				workers int
				rate    float64
				seeds   uint64
			}{{12, 36, 20}, {64, 190, 4}} {
				rate := c.rate
				pt := loadPattern{workers: c.workers, rate: rate, burst: 2.6, burstOf: of, shares: shares}
				total := map[string]served{}
				earned, all, perfect := 0.0, 0.0, 0.0
				for seed := range c.seeds {
					synctest.Test(t, func(t *testing.T) {
						r := playPattern(t, pt, seed+1)
						earned += r.earned
						all += r.total
						perfect += perfectShare(4*3+(c.workers-4)*2, r.arrivals) * r.total
						for n, s := range r.served {
							c := total[n]
							c.jobs += s.jobs
							c.inTime += s.inTime
							total[n] = c
						}
					})
				}
				out := fmt.Sprintf("%v %v: worth %.3f perfect %.3f", shares, rate, earned/all, perfect/all)
				for _, k := range mix {
					out += fmt.Sprintf("  %s %.3f large %.3f", k.name, total[k.name].share(), total[k.name+" large"].share())
				}
				t.Log(of, out)
			}
		}
	}
}

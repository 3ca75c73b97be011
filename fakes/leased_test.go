package fakes_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"foxtailmux/fakes"
	"foxtailmux/lease"
	"foxtailmux/model"
)

// A request that a process has received and not executed yet is lost when the process crashes.
// The worker once executed it in its next incarnation, where the lease, whose end is on the
// clock of the old one, is far from over: the soak's seeds 7105 and 7002 then saw tasks on two
// workers and workers above their capacity.
func TestCrashedWorkerForgetsUnexecutedRequests(t *testing.T) {
	start := lease.Start{Task: "a", Run: 1, Until: 1 << 40, Token: 1}
	faults := map[string]fakes.LeasedWorkerFaults{
		"delayed":   {StartDelay: time.Second},
		"late":      {LateShare: 1},
		"in flight": {},
	}
	for name, f := range faults {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ledger := fakes.NewLedger()
				w := fakes.NewLeasedWorker("w0", model.Resources{MilliCores: 1000}, ledger)
				w.SetFaults(f)
				replies := make(chan error, 1)
				go func() {
					_, err := w.Start(start, 50*time.Millisecond)
					replies <- err
				}()
				synctest.Wait()
				w.Crash()
				time.Sleep(20 * time.Second)
				if diff := cmp.Diff(0, ledger.Starts("a")); diff != "" {
					t.Errorf("starts in the next incarnation (-want +got):\n%s", diff)
				}
				if err := <-replies; err == nil {
					t.Error("the request of a crashed process got a response")
				}
			})
		})
	}
}

// A worker that restarts while a renewal waits for an ended run closes its connection.
func TestCrashedWorkerEndsWaitingRenewals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := fakes.NewLeasedWorker("w0", model.Resources{MilliCores: 1000}, fakes.NewLedger())
		replies := make(chan error, 1)
		go func() {
			_, err := w.Renew(lease.Renewal{Token: 1, WaitMillis: 300}, time.Second)
			replies <- err
		}()
		time.Sleep(100 * time.Millisecond)
		w.Crash()
		if err := <-replies; err == nil {
			t.Error("a renewal of the old incarnation was responded to by the next one")
		}
	})
}

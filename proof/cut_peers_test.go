package proof

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"foxtailmux/platform/stand"
)

// cutTCP makes a link carry no more connections. Heartbeats pass.
func cutTCP(link *faultProxy) {
	link.unreachable.Store(true)
	link.goSilent()
}

// cutAll makes a link carry nothing more.
func cutAll(link *faultProxy) {
	cutTCP(link)
	link.dropDatagrams.Store(true)
}

// Guards against a task that runs at two homes: its origin is cut from the first one, so that the cancel
// does not get through, when its caller leaves and submits the job again elsewhere.
func TestJobWhoseCancelIsCutOffIsNotRunBesideItsResubmission(t *testing.T) {
	const (
		callerTimeout = 3500 * time.Millisecond
		runTime       = 2200 * time.Millisecond
		id            = "00000000000000cb"
	)
	cases := map[string]struct {
		to, from func(link *faultProxy) // what is done to the links to and from the home
		wait     time.Duration          // before the cut, which shifts it against the heartbeats
	}{
		"TCP only":                {to: cutTCP},
		"everything":              {to: cutAll, from: cutAll},
		"everything, 80 ms later": {to: cutAll, from: cutAll, wait: 80 * time.Millisecond},
		"connections held up":     {to: func(l *faultProxy) { l.holdRequests.Store(true) }},
		"everything held up for 0.9 s": {to: func(l *faultProxy) {
			l.holdRequests.Store(true)
			l.holdDatagrams.Store(true)
			time.AfterFunc(900*time.Millisecond, func() { l.holdDatagrams.Store(false) })
		}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := newFleet(t, []string{"kochi", "kochi", "tvm", "tvm"}, []string{"kochi", "kochi", "tvm"})
			s.setRunTime(runTime)
			home := s.homeOf("kochi")
			origin := s.instances[0]
			if origin == home {
				origin = s.instances[1]
			}
			time.Sleep(time.Second) // until heartbeats are exchanged

			ctx, leave := context.WithCancel(t.Context())
			defer leave()
			req, err := stand.NewJobRequest(origin.callersAddr, id, 2, taskMilliCores, runTime, callerTimeout, s.spec, "")
			if err != nil {
				t.Fatal(err)
			}
			left := make(chan struct{})
			go func() {
				defer close(left)
				if resp, err := http.DefaultClient.Do(req.WithContext(ctx)); err == nil {
					_ = resp.Body.Close()
				}
			}()
			waitFor(t, "the first run", func() bool { return s.ledger.Starts(id+".0.0.0") > 0 })
			time.Sleep(c.wait)
			for _, link := range s.linksOf(func(from, to string) bool { return from == origin.name && to == home.name }) {
				c.to(link)
			}
			for _, link := range s.linksOf(func(from, to string) bool { return c.from != nil && from == home.name && to == origin.name }) {
				c.from(link)
			}
			leave()
			<-left
			time.Sleep(resendDelay)
			if diff := cmp.Diff(http.StatusOK, s.submitOnce(s.instances[2], id, runTime, callerTimeout)); diff != "" {
				t.Errorf("status of the second submission (-want +got):\n%s", diff)
			}
			s.check()
		})
	}
}

package fleet

import (
	"errors"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"foxtailmux/home"
	"foxtailmux/lease"
	"foxtailmux/model"
)

// queriedEndpoint is a worker that responds to a lease renewal or does not.
type queriedEndpoint struct {
	home.Endpoint
	responds bool
	renewals *[]lease.Renewal
}

// Renew records the renewal.
func (e queriedEndpoint) Renew(r lease.Renewal, _ time.Duration) (lease.Report, error) {
	*e.renewals = append(*e.renewals, r)
	if !e.responds {
		return lease.Report{}, errors.New("no response")
	}
	return lease.Report{}, nil
}

// Close does nothing.
func (queriedEndpoint) Close() {}

// Guards against a second home of a data centre that is cut off, where connections to its workers are accepted by
// something in between (review/7 over processes).
func TestDataCentreIsReachableIfAWorkerResponds(t *testing.T) {
	cases := map[string]struct {
		responding, silent, queries int
		want                        bool
	}{
		"no worker":              {0, 0, 0, false},
		"none responds":          {0, 5, maxQueries, false},
		"responds":               {1, 0, 1, true},
		"all respond":            {5, 0, 1, true},
		"fewer than are queried": {0, 2, 2, false},
	}
	for name, c := range cases {
		workers, renewals := map[string]model.Worker{}, []lease.Renewal{}
		for n := range c.responding + c.silent {
			id := string(rune('a' + n))
			workers[id] = model.Worker{ID: id, Slots: c.responding - n}
		}
		got := respondsAny(workers, 7, func(w model.Worker) home.Endpoint {
			return queriedEndpoint{responds: w.Slots > 0, renewals: &renewals}
		})
		if diff := cmp.Diff([]any{c.want, c.queries}, []any{got, len(renewals)}); diff != "" {
			t.Errorf("%s (-want +got):\n%s", name, diff)
		}
		for _, r := range renewals {
			if diff := cmp.Diff(lease.Renewal{Token: 7}, r); diff != "" {
				t.Errorf("%s: a query that changes something (-want +got):\n%s", name, diff)
			}
		}
	}
}

// Guards against two homes of a data centre whose link flaps: a check that succeeded while the link was back counted
// when the next cut was noticed, and an instance elsewhere claimed the home during that cut.
func TestDataCentreIsReachableByRecentChecksInARowOnly(t *testing.T) {
	const review = maintainInterval
	type phase struct {
		length    time.Duration
		suspected bool // the home is suspected, so that the data centre is checked
		linkUp    bool
		want      time.Duration // for which the data centre counts as reachable
	}
	const cutNoticed = 1050 * time.Millisecond
	cases := map[string][]phase{
		"instances lost": {{2 * time.Second, true, true, 1200 * time.Millisecond}},
		"cut off":        {{2 * time.Second, true, false, 0}},
		"link flaps": {
			{time.Second, true, false, 0},           // first cut
			{300 * time.Millisecond, true, true, 0}, // until heartbeats arrive
			{cutNoticed, false, false, 0},           // second cut, not noticed yet
			{4 * time.Second, true, false, 0},
		},
		"link flaps for longer": {
			{time.Second, true, false, 0},
			{600 * time.Millisecond, true, true, 0},
			{cutNoticed, false, false, 0},
			{4 * time.Second, true, false, 0},
		},
		"cut off after its instances were lost": {
			{time.Second, true, true, 200 * time.Millisecond}, {4 * time.Second, true, false, maxCheckAge},
		},
		"suspected once more": {
			{2 * time.Second, true, true, 1200 * time.Millisecond},
			{time.Second, false, true, 0},
			{2 * time.Second, true, true, 1200 * time.Millisecond},
		},
	}
	for name, phases := range cases {
		r, now, busyUntil := reachability{}, time.Now(), time.Time{}
		for i, p := range phases {
			var got time.Duration
			for range p.length / review {
				now = now.Add(review)
				if r.checking && !now.Before(busyUntil) {
					r.end(now, p.linkUp)
				}
				if !p.suspected {
					continue
				}
				if r.begin(now) {
					if busyUntil = now; !p.linkUp {
						busyUntil = now.Add(maxQueries * queryTimeout)
					}
				}
				if r.checking && !now.Before(busyUntil) {
					r.end(now, p.linkUp)
				}
				if r.holds(now) {
					got += review
				}
			}
			if got > p.want || got < p.want-2*review {
				t.Errorf("%s, phase %d: reachable for %v, want %v", name, i, got, p.want)
			}
		}
	}
	if diff := cmp.Diff(true, maxCheckAge < cutNoticed); diff != "" {
		t.Errorf("a check is over before the next cut is noticed (-want +got):\n%s", diff)
	}
}

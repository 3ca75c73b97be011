package config

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	maxOffers        = 8
	maxOfferFailures = 20

	// refutedPause keeps a peer that repeats a wrong offer from causing a
	// read of the store each time.
	refutedPause = 10 * time.Second
)

// offer is a version that a peer named and that is not in force here yet.
type offer struct {
	number int64
	digest string
}

// offers holds a bounded number of offers. An offer that can't be had is
// dropped after some tries; a peer that still has it will repeat it.
type offers struct {
	mu       sync.Mutex
	failures map[offer]int

	// refuted is the last offer that the store proved wrong.
	refuted   offer
	refutedAt time.Time
}

// add returns false if the offer is known or there are too many.
func (o *offers) add(number int64, digest string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()

	key := offer{number: number, digest: digest}
	_, known := o.failures[key]
	refuted := key == o.refuted && time.Since(o.refutedAt) < refutedPause
	if known || refuted || len(o.failures) >= maxOffers {
		return false
	}
	if o.failures == nil {
		o.failures = map[offer]int{}
	}
	o.failures[key] = 0
	return true
}

func (o *offers) pending() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.failures) > 0
}

// next returns the offer with the fewest failures, the highest of those.
func (o *offers) next() (offer, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()

	all := slices.Collect(maps.Keys(o.failures))
	if len(all) == 0 {
		return offer{}, false
	}
	return slices.MinFunc(all, func(a, b offer) int {
		return cmp.Or(cmp.Compare(o.failures[a], o.failures[b]), cmp.Compare(b.number, a.number))
	}), true
}

func (o *offers) drop(key offer) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.failures, key)
}

// refute records an offer that the store proved wrong.
func (o *offers) refute(key offer) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.refuted, o.refutedAt = key, time.Now()
}

func (o *offers) failed(key offer) {
	o.mu.Lock()
	defer o.mu.Unlock()

	o.failures[key]++
	if o.failures[key] >= maxOfferFailures {
		delete(o.failures, key)
	}
}

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

	// rejectedOfferPause is how long a rejected offer is ignored, so that a peer
	// that repeats it does not cause a read of the store each time.
	rejectedOfferPause = 10 * time.Second
)

// offer is a version that a peer announced as in force there and that is newer
// than the one in force here.
type offer struct {
	number int64
	digest string
}

// offers holds at most maxOffers pending offers with their failed attempts. An
// offer is dropped after maxOfferFailures; a peer that still has the version
// in force announces it again.
type offers struct {
	mu       sync.Mutex
	failures map[offer]int

	// rejected is the last offer of a version that the store does not have.
	rejected   offer
	rejectedAt time.Time
}

// add returns false if the offer is pending already, was rejected lately or
// there are too many.
func (o *offers) add(number int64, digest string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()

	key := offer{number: number, digest: digest}
	_, known := o.failures[key]
	rejectedLately := key == o.rejected && time.Since(o.rejectedAt) < rejectedOfferPause
	if known || rejectedLately || len(o.failures) >= maxOffers {
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

// next returns the offer with the fewest failures and, among those, the highest
// version number. It returns false if none is pending.
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

// reject records an offer of a version that the store does not have.
func (o *offers) reject(key offer) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.rejected, o.rejectedAt = key, time.Now()
}

// recordFailure counts a failed attempt and drops the offer after
// maxOfferFailures.
func (o *offers) recordFailure(key offer) {
	o.mu.Lock()
	defer o.mu.Unlock()

	o.failures[key]++
	if o.failures[key] >= maxOfferFailures {
		delete(o.failures, key)
	}
}

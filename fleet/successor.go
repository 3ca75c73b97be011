package fleet

import (
	"cmp"
	"slices"
	"time"

	"foxtailmux/beat"
)

// ownership is what an instance knows about the home of a data centre when it decides whether
// to replace it.
type ownership struct {
	owner       homeRow
	status      beat.Status // latest heartbeat of the owner; counts only if the owner is alive
	alive       bool
	weaker      bool          // this instance has fewer cores than the owner
	canReturn   bool          // the owner is in another data centre, and this instance can take the home back
	sinceChange time.Duration // since the home row changed
}

// needsSuccessor reports whether another instance should replace the owner of a home row.
//
// A slow owner is replaced too, but only by an instance that is not weaker, since a weaker one
// would be slower still if the load is the cause. An owner in another data centre is replaced by
// an instance of the home's own one: when its data centre is partitioned, its workers and
// instances would have no home. Both only after a minimum tenure, so that two instances do not
// take turns. An owner that has just restarted and claimed has not sent a heartbeat with its new
// incarnation yet; the time since its claim keeps others from claiming back.
func (o ownership) needsSuccessor() bool {
	switch {
	case o.owner.Instance == "":
		return true
	case o.alive && o.status.Incarnation == o.owner.Incarnation:
		replace := o.status.Slow && !o.weaker || o.canReturn
		return o.status.Leaving || replace && o.sinceChange > minTenure
	}
	return o.sinceChange > beat.HeartbeatTimeout
}

const (
	// minTenure is how long an owner that responds stays the home after its claim. Owners that
	// reach each other must not alternate within 3 s.
	minTenure = 3200 * time.Millisecond

	// returnDelay is how long an instance must be up before it takes the home of its data
	// centre back. Within this time it has received heartbeats of all other instances, and a
	// process that fails at its start has ended.
	returnDelay = 1500 * time.Millisecond
)

// canReturn reports whether an instance that has been up for a time may take the home of its
// data centre back from an owner elsewhere.
func canReturn(self, owner beat.Peer, dataCentre string, up time.Duration) bool {
	return self.DataCentre == dataCentre && owner.Instance != "" && owner.DataCentre != dataCentre && up >= returnDelay
}

// candidate is an instance that could become the home of a data centre.
type candidate struct {
	peer      beat.Peer
	homeCount int // number of homes that it already is
}

// pickSuccessor picks the next home of a data centre: preferably an instance in it, then
// the one with the most cores, then the one with the fewest homes. All instances that
// receive the same heartbeats pick the same. Used for fleets of unequal machines, where a
// small one can't handle the starts of a whole data centre.
func pickSuccessor(dataCentre string, candidates []candidate) string {
	best := slices.MinFunc(candidates, func(a, b candidate) int {
		return cmp.Or(
			-compareBool(a.peer.DataCentre == dataCentre, b.peer.DataCentre == dataCentre),
			-cmp.Compare(a.peer.Cores, b.peer.Cores),
			cmp.Compare(a.homeCount, b.homeCount),
			beat.CompareSuccessors(a.peer, b.peer),
		)
	})
	return best.peer.Instance
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

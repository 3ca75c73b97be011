package fleet

import (
	"cmp"
	"slices"
	"time"

	"foxtailmux/beat"
)

// needsSuccessor reports whether another instance should replace the owner of a home
// row. Status is the latest heartbeat of the owner and counts only if the owner is alive.
//
// A slow owner is replaced too, but only by an instance that is not weaker, since a
// weaker one would be slower still if the load is the cause, and only after a minimum
// tenure, so that two instances do not take turns. An owner that has just restarted and
// claimed has not sent a heartbeat with its new incarnation yet; the time since its claim
// keeps others from claiming back.
func needsSuccessor(owner homeRow, status beat.Status, alive, weaker bool, sinceClaim time.Duration) bool {
	switch {
	case owner.Instance == "":
		return true
	case alive && status.Incarnation == owner.Incarnation:
		return status.Leaving || status.Slow && !weaker && sinceClaim > minSlowTenure
	}
	return sinceClaim > beat.HeartbeatTimeout
}

// minSlowTenure is how long an owner stays the home after its claim although it is slow.
// Owners that reach each other must not alternate within 3 s.
const minSlowTenure = 3200 * time.Millisecond

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

package fleet

import (
	"cmp"
	"slices"
	"time"

	"foxtailmux/beat"
)

// gone reports whether the owner of a home is to be followed by another
// instance. Member is what was heard of the owner, if it was heard lately. A slow
// owner is followed too, but not before it was home for a while, since homes must not
// take turns, and not by a weaker instance, which would be slower still where the load
// is the cause. An owner that has just claimed, after a restart, is not heard yet under
// its new incarnation: without the time since its claim two instances would take turns.
func gone(owner homeRow, member beat.Status, heard, weaker bool, sinceClaim time.Duration) bool {
	switch {
	case owner.Instance == "":
		return true
	case heard && member.Incarnation == owner.Incarnation:
		return member.Leaving || member.Slow && !weaker && sinceClaim > slowStay
	}
	return sinceClaim > beat.HeartbeatTimeout
}

// slowStay is how long a slow owner stays the home after its claim. Owners in touch may
// not take turns within 3 s.
const slowStay = 3200 * time.Millisecond

// candidate is an instance that could be the home of a data centre.
type candidate struct {
	peer  beat.Peer
	homes int // that it has already
}

// pickSuccessor picks the home of a data centre: an instance in it if there is one, of
// these those with most processor, and of these one with few homes. All
// instances that hear each other pick the same. It answers unlike machines, of
// which the small ones can't carry a data centre's starts.
func pickSuccessor(dataCentre string, list []candidate) string {
	best := slices.MinFunc(list, func(a, b candidate) int {
		return cmp.Or(
			-compareBool(a.peer.DataCentre == dataCentre, b.peer.DataCentre == dataCentre),
			-cmp.Compare(a.peer.Cores, b.peer.Cores),
			cmp.Compare(a.homes, b.homes),
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

package member

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Owner returns the member that owns a worker according to rendezvous hashing, or
// "" if there are no members. The order of the members does not matter.
func Owner(workerID string, members []string) string {
	var owner string
	var highestWeight uint64
	for _, m := range members {
		weight := rendezvousWeight(workerID, m)
		if owner == "" || weight > highestWeight || weight == highestWeight && m < owner {
			owner, highestWeight = m, weight
		}
	}
	return owner
}

// Owners returns the workers that each member owns. A member that owns no worker
// has an empty list.
func Owners(workerIDs, members []string) map[string][]string {
	owners := make(map[string][]string, len(members))
	for _, m := range members {
		owners[m] = []string{}
	}
	if len(members) == 0 {
		return owners
	}

	for _, w := range workerIDs {
		owner := Owner(w, members)
		owners[owner] = append(owners[owner], w)
	}
	return owners
}

// topRanked returns at most count members with the highest rendezvous weights for a
// key, the highest first.
func topRanked(key string, members []string, count int) []string {
	ranked := slices.Clone(members)
	slices.SortFunc(ranked, func(a, b string) int {
		byWeight := cmp.Compare(rendezvousWeight(key, b), rendezvousWeight(key, a))
		return cmp.Or(byWeight, cmp.Compare(a, b))
	})
	return ranked[:min(count, len(ranked))]
}

func rendezvousWeight(key, member string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(member)
	return d.Sum64()
}

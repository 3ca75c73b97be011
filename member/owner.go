package member

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Owner returns the member that owns a worker according to rendezvous hashing, or
// "" if there are no members. The order of the members does not matter.
func Owner(workerID string, members []string) string {
	var home string
	var highest uint64
	for _, m := range members {
		weight := rendezvous(workerID, m)
		if home == "" || weight > highest || weight == highest && m < home {
			home, highest = m, weight
		}
	}
	return home
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
		home := Owner(w, members)
		owners[home] = append(owners[home], w)
	}
	return owners
}

// highest returns the count members that weigh most for a key, heaviest first.
func highest(key string, members []string, count int) []string {
	ranked := slices.Clone(members)
	slices.SortFunc(ranked, func(a, b string) int {
		byWeight := cmp.Compare(rendezvous(key, b), rendezvous(key, a))
		return cmp.Or(byWeight, cmp.Compare(a, b))
	})
	return ranked[:min(count, len(ranked))]
}

func rendezvous(key, member string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(member)
	return d.Sum64()
}

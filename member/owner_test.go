package member

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func names(prefix string, count int) []string {
	list := make([]string, count)
	for i := range list {
		list[i] = fmt.Sprintf("%s%d", prefix, i)
	}
	return list
}

func ExampleOwner() {
	members := []string{"entry1", "entry2", "entry3"}
	before := Owner("worker7", members)
	slices.Reverse(members)
	fmt.Println(before == Owner("worker7", members), Owner("worker7", nil) == "")
	// Output: true true
}

func TestOnlyWorkersOfARemovedMemberMove(t *testing.T) {
	workers, members := names("worker", 660), names("entry", 7)
	for i := range members {
		rest := slices.Delete(slices.Clone(members), i, i+1)
		for _, w := range workers {
			all, without := Owner(w, members), Owner(w, rest)
			if all != members[i] && all != without {
				t.Errorf("%s moved from %s to %s after %s was removed", w, all, without, members[i])
			}
			if without == members[i] {
				t.Errorf("%s is still owned by the removed %s", w, members[i])
			}
		}
	}
}

func TestWorkersAreBalanced(t *testing.T) {
	for _, count := range []int{2, 3, 7, 30} {
		owners := Owners(names("worker", 300*count), names("entry", count))
		for m, owned := range owners {
			if len(owned) < 200 || len(owned) > 400 {
				t.Errorf("%s of %d owns %d workers, want about 300", m, count, len(owned))
			}
		}
	}
}

func TestOwnerIgnoresTheOrderOfMembers(t *testing.T) {
	r := rand.New(rand.NewPCG(seed(t), 1))
	members := names("entry", 9)
	want := Owners(names("worker", 100), members)
	r.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	if diff := cmp.Diff(want, Owners(names("worker", 100), members)); diff != "" {
		t.Error(diff)
	}
}

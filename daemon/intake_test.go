package daemon

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// Guards against claims that overload the table when instances are added.
func TestClaimsOfAllInstancesStayWithinTheTablesRate(t *testing.T) {
	got := map[int]time.Duration{}
	for _, instances := range []int{1, 4, 7, 30} {
		got[instances] = claimInterval(20*time.Millisecond, instances)
	}

	want := map[int]time.Duration{
		1:  20 * time.Millisecond,
		4:  20 * time.Millisecond,
		7:  28 * time.Millisecond,
		30: 120 * time.Millisecond,
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("interval by number of instances (-want +got):\n%s", diff)
	}
}

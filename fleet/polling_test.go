package fleet

import "testing"

// After a restart of all instances of a large fleet only the instances that were homes read
// the workers' table at once.
func TestWhoNeedsTheWorkersTable(t *testing.T) {
	own, other := homeRow{Instance: "me"}, homeRow{Instance: "other"}
	cases := []struct {
		name              string
		owner             homeRow
		healthy, listened bool
		successor         string
		want              bool
	}{
		{"own home of an earlier incarnation", own, false, false, "me", true},
		{"just started, no heartbeats yet", other, false, false, "me", false},
		{"the home is healthy", other, true, true, "me", false},
		{"the home is dead and this instance is its successor", other, false, true, "me", true},
		{"the home is dead and another instance is its successor", other, false, true, "third", false},
		{"no home, just started", homeRow{}, false, false, "me", false},
		{"no home, and this instance is the successor", homeRow{}, false, true, "me", true},
	}
	for _, c := range cases {
		if got := needsTableFor("me", c.owner, c.healthy, c.listened, func() string { return c.successor }); got != c.want {
			t.Errorf("%s: needs the table: %v", c.name, got)
		}
	}
}

package fleet

import "testing"

// After a restart of all instances of a large fleet only those that were homes read the
// workers' table at once.
func TestWhoNeedsTheWorkersTable(t *testing.T) {
	mine, other := homeRow{Instance: "me"}, homeRow{Instance: "other"}
	cases := []struct {
		name           string
		owner          homeRow
		well, listened bool
		successor      string
		want           bool
	}{
		{"its own home of an earlier life", mine, false, false, "me", true},
		{"just started, no one is heard yet", other, false, false, "me", false},
		{"the home is well", other, true, true, "me", false},
		{"the home is gone and this one follows", other, false, true, "me", true},
		{"the home is gone and another one follows", other, false, true, "third", false},
		{"no home, just started", homeRow{}, false, false, "me", false},
		{"no home, and this one follows", homeRow{}, false, true, "me", true},
	}
	for _, c := range cases {
		if got := needsTable("me", c.owner, c.well, c.listened, func() string { return c.successor }); got != c.want {
			t.Errorf("%s: %v", c.name, got)
		}
	}
}

package drain_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"foxtailmux/drain"
)

var start = time.Unix(1000, 0)

func at(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }

// update is a set that an instance reads.
type update struct {
	set   drain.Set
	at    float64 // seconds
	fresh bool
}

func TestRequestsFollowTheNewestSet(t *testing.T) {
	rows := func(version int64, rows map[string]int64) drain.Set { return drain.Set{Version: version, Rows: rows} }
	cases := map[string]struct {
		updates []update
		want    map[string]drain.Request
		version int64
	}{
		"nothing read": {nil, nil, 0},
		"a request": {
			[]update{{rows(7, map[string]int64{"kochi": 7}), 1, true}},
			map[string]drain.Request{"kochi": {Version: 7, Since: at(1)}},
			7,
		},
		"found at the start, for any time in force": {
			[]update{{rows(7, map[string]int64{"kochi": 5}), 1, false}},
			map[string]drain.Request{"kochi": {Version: 5}},
			7,
		},
		"a second one keeps the time of the first": {
			[]update{{rows(7, map[string]int64{"kochi": 7}), 1, true}, {rows(9, map[string]int64{"kochi": 7, "tvm": 9}), 4, true}},
			map[string]drain.Request{"kochi": {Version: 7, Since: at(1)}, "tvm": {Version: 9, Since: at(4)}},
			9,
		},
		"written again keeps its time": {
			[]update{{rows(7, map[string]int64{"kochi": 7}), 1, true}, {rows(9, map[string]int64{"kochi": 9}), 4, true}},
			map[string]drain.Request{"kochi": {Version: 9, Since: at(1)}},
			9,
		},
		"taken back at once": {
			[]update{{rows(7, map[string]int64{"kochi": 7}), 1, true}, {rows(8, nil), 1, true}},
			map[string]drain.Request{},
			8,
		},
		"an older set of a peer comes late": {
			[]update{{rows(8, nil), 1, true}, {rows(7, map[string]int64{"kochi": 7}), 2, true}},
			map[string]drain.Request{},
			8,
		},
	}
	for name, c := range cases {
		var r *drain.Requests
		for _, u := range c.updates {
			r, _ = r.Update(u.set, at(u.at), u.fresh)
		}
		if diff := cmp.Diff(c.want, r.All()); diff != "" || r.Version() != c.version {
			t.Errorf("%s: version %d, want %d; requests (-want +got):\n%s", name, r.Version(), c.version, diff)
		}
	}
}

func TestSetGoesToAnotherInstance(t *testing.T) {
	want := drain.Set{Version: 9, Rows: map[string]int64{"kochi": 7, "tvm": 9}}
	r, _ := (*drain.Requests)(nil).Update(want, start, true)
	if diff := cmp.Diff(want, r.Set()); diff != "" {
		t.Error(diff)
	}
}

func TestDifference(t *testing.T) {
	before, _ := (*drain.Requests)(nil).Update(drain.Set{Version: 3, Rows: map[string]int64{"tvm": 2, "kochi": 3}}, start, true)
	after, _ := before.Update(drain.Set{Version: 5, Rows: map[string]int64{"thrissur": 5, "kochi": 3, "kannur": 4}}, start, true)
	drained, takenBack := drain.Difference(before, after)
	got := [][]string{drained, takenBack}
	if diff := cmp.Diff([][]string{{"kannur", "thrissur"}, {"tvm"}}, got); diff != "" {
		t.Error(diff)
	}
}

func TestJobsAreRefusedAtOnceOnlyIfAllDataCentresAreDrained(t *testing.T) {
	cases := map[string]struct {
		rows  map[string]int64
		known []string
		want  bool
	}{
		"none drained":                   {nil, []string{"kochi"}, false},
		"all but one":                    {map[string]int64{"kochi": 1}, []string{"kochi", "tvm"}, false},
		"all":                            {map[string]int64{"kochi": 1, "tvm": 2}, []string{"kochi", "tvm"}, true},
		"one that doesn't exist":         {map[string]int64{"nowhere": 1}, []string{"kochi", "tvm"}, false},
		"no data centre is known so far": {map[string]int64{"kochi": 1}, nil, false},
	}
	for name, c := range cases {
		r, _ := (*drain.Requests)(nil).Update(drain.Set{Version: 1, Rows: c.rows}, start, true)
		if got := r.AllDrained(c.known); got != c.want {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}

func TestDecide(t *testing.T) {
	fresh, old := drain.Request{Since: at(0)}, drain.Request{}
	cases := map[string]struct {
		request drain.Request
		job     drain.Job
		at      float64
		want    drain.Action
	}{
		"not begun":                                   {fresh, drain.Job{}, 0, drain.HandBack},
		"may have been begun by an earlier home":      {fresh, drain.Job{MayRun: true}, 0, drain.Keep},
		"begun and runs":                              {fresh, drain.Job{Begun: true, MayRun: true}, 0.5, drain.Start},
		"begun, next step or retry":                   {fresh, drain.Job{Begun: true}, 0.5, drain.Start},
		"begun and still runs after a second":         {fresh, drain.Job{Begun: true, MayRun: true}, 1, drain.Keep},
		"begun, next step after a second":             {fresh, drain.Job{Begun: true}, 1, drain.HandBack},
		"begun, request found at start of instance":   {old, drain.Job{Begun: true}, 0, drain.HandBack},
		"running, request found at start of instance": {old, drain.Job{Begun: true, MayRun: true}, 0, drain.Keep},
	}
	for name, c := range cases {
		if got := c.request.Decide(c.job, at(c.at)); got != c.want {
			t.Errorf("%s: %d, want %d", name, got, c.want)
		}
	}
}

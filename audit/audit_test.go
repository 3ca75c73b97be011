package audit_test

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"foxtailmux/audit"
	"foxtailmux/model"
	"foxtailmux/platform"
	"foxtailmux/table"
)

func route(name, host, prefix string) model.Route {
	return model.Route{
		Name: name, Host: host, Prefix: prefix, Service: "s", Attempts: 3,
		Timeout: time.Second, Stretch: 1.5, Allowance: 60 * time.Millisecond,
	}
}

func routing(version int64, routes ...model.Route) model.Routing {
	return model.Routing{Version: version, Routes: routes, Limits: model.RequestLimits{MaxHeader: 16384, MaxBody: 1 << 20}}
}

// with returns the valid configuration of one route after a change.
func with(change func(*model.Routing, *model.Route)) model.Routing {
	r := routing(7, route("a", "h", "/a/"))
	change(&r, &r.Routes[0])
	return r
}

func TestCheck(t *testing.T) {
	const first = "routes[0] a"
	for name, c := range map[string]struct {
		routing model.Routing
		want    []audit.Finding
	}{
		"valid": {routing(7, route("a", "h", "/a/"), route("b", "h", "/a/b/"), route("c", "h", "/"), route("d", "i", "/a/")), nil},
		"empty": {model.Routing{}, []audit.Finding{
			{"version", audit.Missing, "the version is missing or below 1"},
			{"routes", audit.Missing, "there is no route: every request gets 404"},
			{"limits", audit.Contradiction, "the header limit is 0 or missing, which is no limit"},
		}},
		"no host, prefix and service": {
			with(func(_ *model.Routing, r *model.Route) { r.Name, r.Host, r.Prefix, r.Service = "", "", "", "" }),
			[]audit.Finding{
				{"routes[0]", audit.Missing, "the host is missing"},
				{"routes[0]", audit.Missing, "the prefix is missing"},
				{"routes[0]", audit.Missing, "the service is missing"},
			},
		},
		"prefix without slash": {
			with(func(_ *model.Routing, r *model.Route) { r.Prefix = "a/" }),
			[]audit.Finding{{first, audit.Invalid, `the prefix "a/" does not begin with /`}},
		},
		"same host and prefix": {
			routing(7, route("a", "h", "/a/"), route("b", "h", "/b/"), route("c", "h", "/a/"), route("d", "h", "/a/")),
			[]audit.Finding{
				{"routes[2] c", audit.NeverMatches, "routes[0] a has the same host and prefix and comes first"},
				{"routes[3] d", audit.NeverMatches, "routes[0] a has the same host and prefix and comes first"},
			},
		},
		"no attempts": {
			with(func(_ *model.Routing, r *model.Route) { r.Attempts = -1 }),
			[]audit.Finding{{first, audit.Contradiction, "attempts are -1 or missing, which is taken as 1"}},
		},
		"timeout equal to the allowance": {with(func(_ *model.Routing, r *model.Route) { r.Timeout = r.Allowance }), nil},
		"timeout below the allowance": {
			with(func(_ *model.Routing, r *model.Route) { r.Timeout = r.Allowance - time.Millisecond }),
			[]audit.Finding{{first, audit.Contradiction, "the timeout 59ms is below the allowance 60ms"}},
		},
		"negative allowance": {
			with(func(_ *model.Routing, r *model.Route) { r.Allowance = -time.Millisecond }),
			[]audit.Finding{{first, audit.Contradiction, "the allowance -1ms is below 0"}},
		},
		"only an allowance": {with(func(_ *model.Routing, r *model.Route) { r.Stretch = 0 }), nil},
		"only a stretch":    {with(func(_ *model.Routing, r *model.Route) { r.Stretch, r.Allowance = 1, 0 }), nil},
		"objective below the run time": {
			with(func(_ *model.Routing, r *model.Route) { r.Stretch, r.Allowance = 0.9, 0 }),
			[]audit.Finding{{first, audit.Contradiction, "the stretch 0.9 is below 1 and there is no allowance: no job can be answered in time"}},
		},
		"negative limits": {
			with(func(r *model.Routing, _ *model.Route) { r.Limits = model.RequestLimits{MaxHeader: -1, MaxBody: -2} }),
			[]audit.Finding{
				{"limits", audit.Contradiction, "the header limit is -1, which is taken as no limit"},
				{"limits", audit.Contradiction, "the body limit is -2, which is taken as no limit"},
			},
		},
	} {
		if diff := cmp.Diff(c.want, audit.Check(c.routing)); diff != "" {
			t.Errorf("%s: %s", name, diff)
		}
	}
}

func TestCheckVersion(t *testing.T) {
	for version, want := range map[int64]int{6: 1, 7: 1, 8: 0} {
		if got := audit.CheckVersion(routing(7), routing(version)); len(got) != want {
			t.Errorf("version %d after 7: %v", version, got)
		}
	}
}

func TestDiff(t *testing.T) {
	slow := route("b", "h", "/b/")
	slow.Timeout, slow.Service = 2*time.Second, "other"
	next := routing(8, route("root", "h", "/"), slow, route("new", "i", "/n/"), route("shadowed", "i", "/n/"))
	next.Limits.MaxBody = 5

	got := audit.Diff(routing(7, route("a", "h", "/a/"), route("b", "h", "/b/"), route("c", "j", "/c/"), route("root", "h", "/")), next)
	want := []audit.Change{
		{Action: audit.Removed, Target: "h/a/", Effect: "requests after it go to h/"},
		{
			Action: audit.Changed, Target: "h/b/", Effect: "requests after it use the new values",
			Fields: []audit.Field{{"service", "s", "other"}, {"timeout", "1s", "2s"}},
		},
		{Action: audit.Removed, Target: "j/c/", Effect: "requests after it get 404"},
		{Action: audit.Added, Target: "i/n/", Effect: "requests before it get 404"},
		{
			Action: audit.Changed, Target: "limits", Effect: "requests after it meet the new limits",
			Fields: []audit.Field{{"maxBody", "1048576", "5"}},
		},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}

	root, middle, other := route("root", "h", "/"), route("a", "h", "/a/"), route("other", "i", "/a/b/")
	few, all := routing(7, root, middle, other), routing(8, root, middle, other, route("b", "h", "/a/b/"))
	for _, c := range []struct {
		inForce, next model.Routing
		want          audit.Change
	}{
		{few, all, audit.Change{Action: audit.Added, Target: "h/a/b/", Effect: "requests after it no longer go to h/a/"}},
		{all, few, audit.Change{Action: audit.Removed, Target: "h/a/b/", Effect: "requests after it go to h/a/"}},
	} {
		if diff := cmp.Diff([]audit.Change{c.want}, audit.Diff(c.inForce, c.next)); diff != "" {
			t.Error(diff)
		}
	}
}

// Guards against a field of model.Route that Diff does not compare.
func TestDiffSeesEveryField(t *testing.T) {
	before := routing(7, route("a", "h", "/a/"))
	for i := range reflect.TypeFor[model.Route]().NumField() {
		changed := before.Routes[0]
		switch f := reflect.ValueOf(&changed).Elem().Field(i); f.Kind() {
		case reflect.String:
			f.SetString(f.String() + "x")
		case reflect.Int, reflect.Int64:
			f.SetInt(f.Int() + 1)
		case reflect.Float64:
			f.SetFloat(f.Float() + 1)
		case reflect.Bool:
			f.SetBool(!f.Bool())
		default:
			t.Fatalf("field %d is of kind %v", i, f.Kind())
		}
		if len(audit.Diff(before, routing(8, changed))) == 0 {
			t.Errorf("no change of %s", reflect.TypeFor[model.Route]().Field(i).Name)
		}
	}
}

func ExampleDiff() {
	changes := audit.Diff(routing(7, route("a", "h.example", "/a/")), routing(8, route("b", "h.example", "/b/")))
	for _, c := range changes {
		fmt.Println(c.Action, c.Target+":", c.Effect)
	}
	// Output:
	// removed h.example/a/: requests after it get 404
	// added h.example/b/: requests before it get 404
}

// FuzzCheck checks that a text is read for a check exactly if instances can read it, that a
// configuration does not differ from itself, and that it is found stale against itself.
func FuzzCheck(f *testing.F) {
	for _, seed := range []string{
		"", "{", "null", "[]", "{}", "{}x", `{"version":"1"}`, "{\n\"version\": 1.5\n}", `{"routes":null}`, `{"routes":[null,{}]}`,
		`{"version":7,"routes":[{"name":"r","host":"h","path-prefix":"/q/","timeout-ms":1500,"slo-ms":60,"backend":"s","attempts":3,"stretch":1.6,"hint":{}}],"limits":{"max-header-bytes":1,"max-body-bytes":-9223372036854775808}}`,
		`{"routes":[{"timeout-ms":9223372036854775807,"slo-ms":-9223372036854775808,"stretch":1e308}]}`, "{\"routes\":[{\"host\":\"\xff\"}]}",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		r, err := platform.ReadRouting(text)
		_, served := platform.DecodeRouting(table.Row{Key: platform.ConfigKey, Value: text})
		if (err == nil) != (served == nil) {
			t.Fatalf("read for a check: %v, by instances: %v", err, served)
		}
		if err != nil {
			return
		}
		audit.Check(r)
		if changes := audit.Diff(r, r); len(changes) > 0 {
			t.Errorf("differs from itself: %v", changes)
		}
		if len(audit.CheckVersion(r, r)) != 1 {
			t.Error("not stale against itself")
		}
		if removed := audit.Diff(r, model.Routing{Limits: r.Limits}); (len(removed) > 0) != (len(r.Routes) > 0) {
			t.Errorf("%d routes, %d changes without them", len(r.Routes), len(removed))
		}
	})
}

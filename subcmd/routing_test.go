package subcmd

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"foxtailmux/audit"
)

const (
	routingInForce = `{"version":7,"routes":[
		{"name":"r","host":"h","path-prefix":"/q/","timeout-ms":1500,"slo-ms":60,"backend":"s","attempts":3,"stretch":1.6}],
		"limits":{"max-header-bytes":16384}}`
	routingNext = `{"version":8,"routes":[
		{"name":"r","host":"h","path-prefix":"/q/","timeout-ms":1500,"slo-ms":60,"backend":"s","attempts":2,"stretch":1.6}],
		"limits":{"max-header-bytes":16384}}`
)

func TestRoutingCheckPageHoldsTheFlags(t *testing.T) {
	checkFlags(t, "routing check", newRoutingCheck(Streams{}), readPage(t, "../doc/foxtailmux-routing.md"))
}

func TestRoutingCheckPrintsFaultsAndChanges(t *testing.T) {
	inForce, next := writeFile(t, routingInForce), writeFile(t, routingNext)

	alone := execute(t, "", "routing", "check", next)
	if diff := cmp.Diff(result{Out: "version 8, faults: 0\n"}, alone); diff != "" {
		t.Error(diff)
	}

	compared := execute(t, "", "routing", "check", next, "-against", inForce)
	want := result{Out: "version 8, faults: 0\n\nagainst version 7, changes: 1\n" +
		"changed  h/q/      requests after it use the new values\n" +
		"         attempts  3 → 2\n" + audit.OpenJobs + "\n"}
	if diff := cmp.Diff(want, compared); diff != "" {
		t.Error(diff)
	}

	back := execute(t, "", "routing", "check", "-o", "json", "-against", next, inForce)
	var got routingReport
	if err := json.Unmarshal([]byte(back.Out), &got); err != nil || back.Code != ExitFailed || strings.Count(back.Err, "\n") != 1 {
		t.Fatal(err, back)
	}
	report := routingReport{
		File: inForce, Version: 7, InForce: 8, OpenJobs: audit.OpenJobs,
		Findings: []audit.Finding{{Place: "version", Kind: audit.Stale, Reason: "version 7 is not above 8, which is in force: instances pass over it"}},
		Changes: []audit.Change{{
			Action: audit.Changed, Target: "h/q/", Effect: "requests after it use the new values",
			Fields: []audit.Field{{Name: "attempts", Old: "2", New: "3"}},
		}},
	}
	if diff := cmp.Diff(report, got); diff != "" {
		t.Error(diff)
	}
}

func TestRoutingUsage(t *testing.T) {
	good, bad := writeFile(t, routingNext), writeFile(t, "{\n\"version\": x}")
	for args, want := range map[string]string{
		"":                               "routing: no command; see foxtailmux routing -h",
		"fly":                            `routing: unknown command "fly"; see foxtailmux routing -h`,
		"check":                          "routing check: give the file",
		"check a b":                      `routing check: unexpected argument "b"`,
		"check a -o xml":                 `routing check: flag -o: "xml" is none of json and table`,
		"check no/such":                  "routing check: open no/such: no such file or directory",
		"check " + bad:                   "routing check: " + bad + ": line 2, column 12: invalid character 'x' looking for beginning of value",
		"check " + good + " -against /x": "routing check: open /x: no such file or directory",
	} {
		got := execute(t, "", append([]string{"routing"}, strings.Fields(args)...)...)
		if diff := cmp.Diff(result{Code: ExitUsage, Err: "foxtailmux: " + want + "\n"}, got); diff != "" {
			t.Errorf("%s: %s", args, diff)
		}
	}
}

package config

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func writeFolder(t *testing.T, files map[string]string) string {
	t.Helper()
	folder := t.TempDir()
	for name, text := range files {
		if err := os.WriteFile(filepath.Join(folder, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return folder
}

const base = `pools: [{name: quoting}]
services:
  - name: quote
    pool: quoting
    maxTasks: 100
`

func TestBrokenRulesNameFileLineAndColumn(t *testing.T) {
	tests := []struct{ text, want string }{
		{"bogus: 1", "20.yaml:1:1: bogus: unknown field; known here: services, pools, teams, placement, retry, ejection, intervals, limits, access"},
		{"retry:\n  maxAttempts: 1.5", "20.yaml:2:16: retry.maxAttempts: must be a whole number, found 1.5"},
		{"retry:\n  maxAttempts: \"3\"", "20.yaml:2:16: retry.maxAttempts: must be a whole number, found the string 3"},
		{"retry:\n  maxAttempts: 11", "20.yaml:2:16: retry.maxAttempts: must be from 1 to 10, is 11"},
		{"retry:\n  hedgeAfter: 250", "20.yaml:2:15: retry.hedgeAfter: must be a duration such as 250ms, found 250"},
		{"retry:\n  hedgeAfter: 12x", "20.yaml:2:15: retry.hedgeAfter: must be a duration such as 250ms, found the string 12x"},
		{"retry:\n  hedgeShare: 0.1", "20.yaml:2:15: retry.hedgeShare: must be 0: this release does not hedge"},
		{"retry:\n  maxAttempts: 1\n  maxAttempts: 2", `20.yaml:3:3: must be valid YAML: mapping key "maxAttempts" already defined at [2:3]`},
		{"ejection:\n  backoff: 1m", "20.yaml:2:12: ejection.backoff: must be at most maxBackoff (30s), is 1m0s"},
		{"intervals:\n  configPoll: 10s", "20.yaml:2:15: intervals.configPoll: must be from 100ms to 3s, is 10s"},
		{"teams:", "20.yaml:1:1: teams: must have a value"},
		{"retry:\n  maxAttempts:", "20.yaml:2:3: retry.maxAttempts: must have a value"},
		{"teams: {}", "20.yaml:1:8: teams: must be a list, found a mapping"},
		{"teams:\n  - weight: 1", "20.yaml:2:5: teams: an item must have a name"},
		{"teams:\n  - name: a\n  - name: a", "20.yaml:3:11: teams[a]: the name must stand once in a file"},
		{"teams:\n  - name: a b", `20.yaml:2:11: teams[a b].name: must be 1 to 63 letters, digits, dots, dashes or underscores, is "a b"`},
		{"services:\n  - name: quote\n    pool: nowhere", `20.yaml:3:11: services[quote].pool: must name a pool; there is no pool "nowhere"`},
		{"services:\n  - name: quote\n    maxTasks: 0", "20.yaml:3:15: services[quote].maxTasks: must be from 1 to 1000, is 0"},
		{"services:\n  - name: quote\n    mayRepeat: yes", "20.yaml:3:16: services[quote].mayRepeat: must be true or false, found the string yes"},
		{"services:\n  - name: quote\n    maxDeadline: 1s", "20.yaml:2:11: services[quote].defaultDeadline: must be at most maxDeadline (1s), is 10s"},
		{"services:\n  - name: quote\n    expectedRun: 61s", "20.yaml:3:18: services[quote].expectedRun: must be at most maxDeadline (1m0s), is 1m1s"},
		{"placement:\n  policy: psychic", `20.yaml:2:11: placement.policy: must name a plug-in (homes, random), is "psychic"`},
		{"placement:\n  order: lifo", `20.yaml:2:10: placement.order: must name a plug-in (fifo), is "lifo"`},
		{"access:\n  - name: lead\n    role: read\n    sha256: abc", "20.yaml:4:13: access[lead].sha256: must be a SHA-256 of 64 lower-case hex digits"},
		{"access:\n  - name: lead\n    sha256: " + strings.Repeat("a", 64) + "\n    role: root", `20.yaml:4:11: access[lead].role: must be one of [read operate], is "root"`},
		{"retry: {}\n---\nretry: {}", "20.yaml:3:6: a file must hold one YAML document"},
		{"a: [", "20.yaml:1:4: must be valid YAML: sequence end token ']' not found"},
	}
	options := Plugins{Policies: []string{"homes", "random"}, Orders: []string{"fifo"}}
	for _, test := range tests {
		t.Run(test.text, func(t *testing.T) {
			folder := writeFolder(t, map[string]string{"10.yaml": base, "20.yaml": test.text})
			report, err := Check(folder, options)
			if err != nil {
				t.Fatal(err)
			}
			got := strings.ReplaceAll(report.Problems.Error(), folder+"/", "")
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestEveryProblemIsCollected(t *testing.T) {
	folder := writeFolder(t, map[string]string{
		"10.yaml": "retry: {maxAttempts: a, hedgeAfter: 1}\n",
		"20.yaml": "a: 1\nb: 2\n",
	})
	_, err := Load(folder, Plugins{})
	var problems Problems
	if !errors.As(err, &problems) {
		t.Fatalf("got %v, want Problems", err)
	}
	if diff := cmp.Diff(4, len(problems)); diff != "" {
		t.Error(diff, err)
	}
}

func TestEmptyFolderIsRefused(t *testing.T) {
	for _, files := range []map[string]string{nil, {"a.yaml": "# nothing\n"}} {
		if _, err := Load(writeFolder(t, files), Plugins{}); KindOf(err) != KindInvalid {
			t.Errorf("folder with %v: got %v, want an error of KindInvalid", files, err)
		}
	}
}

func TestLaterFilesOverrideFieldByField(t *testing.T) {
	folder := writeFolder(t, map[string]string{
		"10.yaml": base,
		"9.yaml":  "services:\n  - name: quote\n    maxTasks: 7\n    expectedRun: 90ms\nretry: {maxAttempts: 2, budgetShare: 0.5}\n",
		"20.yaml": "services:\n  - name: quote\n    maxTasks: 50\nretry: {maxAttempts: 4}\n",
	})
	doc, err := Load(folder, Plugins{})
	if err != nil {
		t.Fatal(err)
	}

	// Files are merged in the order of their names as text: 10, 20, 9.
	want := Service{Name: "quote", Pool: "quoting", MaxTasks: 7, ExpectedRun: 90 * time.Millisecond}.WithDefaults()
	if diff := cmp.Diff([]Service{want}, doc.Services); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff(Retry{BudgetShare: 0.5, MaxAttempts: 2}, doc.Retry); diff != "" {
		t.Error(diff)
	}
}

func TestEveryScalarButBoolHasARule(t *testing.T) {
	d := Example()
	d.Access = []AccessKey{{}}
	for _, l := range leaves(reflect.ValueOf(d), "", "") {
		if _, isBool := l.value.(bool); !isBool && rules[l.pattern] == nil {
			t.Errorf("%s has no rule", l.pattern)
		}
	}
}

func TestDigestIgnoresTheOrderOfLists(t *testing.T) {
	a, b := Example(), Example()
	slices.Reverse(b.Teams)
	if diff := cmp.Diff(a.Digest(), b.Digest()); diff != "" {
		t.Error(diff)
	}

	decoded, err := Decode(b.Canonical(), a.Digest())
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(a, decoded); diff != "" {
		t.Error(diff)
	}
}

func TestUnknownFieldsOfAStoredDocumentAreCorrupt(t *testing.T) {
	data := []byte(`{"services":[],"later":1}`)
	if _, err := Decode(data, digestOf(data)); KindOf(err) != KindCorrupt {
		t.Errorf("got %v, want an error of KindCorrupt", err)
	}
}

func ExampleDiff() {
	from, to := Example(), Example()
	to.Services[2].MaxTasks = 100
	to.Services[2].DefaultDeadline = 250 * time.Millisecond
	to.Teams = append(to.Teams[1:], Team{Name: "panchayat", Weight: 1})
	to.Pools = append(to.Pools, Pool{Name: "video"})
	for _, c := range Diff(from, to) {
		fmt.Println(c)
	}
	// Output:
	//   service quote.maxTasks: 200 → 100
	//   service quote.defaultDeadline: 5s → 250ms
	// + pool video (name video)
	// - team clinic (name clinic, weight 4, maxOpenJobs 500, startsPerSecond 0)
	// + team panchayat (name panchayat, weight 1, maxOpenJobs 0, startsPerSecond 0)
}

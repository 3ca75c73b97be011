package config

import (
	"bytes"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func TestExampleNamesTheServicesOfBothWorkloads(t *testing.T) {
	doc := Example()
	type facts struct {
		Pool      string
		MayRepeat bool
	}
	got := map[string]facts{}
	for _, s := range doc.Services {
		got[s.Name] = facts{s.Pool, s.MayRepeat}
	}
	want := map[string]facts{
		"quote":    {"quoting", false},
		"preview":  {"audio", true},
		"session":  {"audio", false},
		"bookmark": {"audio", false},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}

	loaded, err := Load("testdata/example", Plugins{})
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(loaded, doc); diff != "" {
		t.Error(diff)
	}
}

func ExampleStatusReport_WriteTable() {
	r := StatusReport{Instances: []InstanceStatus{
		{Addr: "10.0.0.1:9000", Status: &Status{Instance: "kochi-1", DataCentre: "kochi", Version: 7, Digest: "0123456789abcdef", SinceMillis: 61_500}},
		{Addr: "10.0.0.2:9000", Error: "not reachable: timeout"},
	}}
	_ = r.WriteTable(os.Stdout)
	// Output:
	// INSTANCE  DATA CENTRE  ADDRESS        VERSION  DIGEST        IN FORCE FOR  ERROR
	// kochi-1   kochi        10.0.0.1:9000  7        0123456789ab  1m1.5s        -
	// -         -            10.0.0.2:9000  -        -             -             not reachable: timeout
	// same version everywhere: false
}

func TestHistoryTableShowsWhoWhenWhyAndWhat(t *testing.T) {
	s := newFakeStore()
	entry := mustApply(t, s, 1)
	history, err := History(t.Context(), s)
	if err != nil {
		t.Fatal(err)
	}

	var out bytes.Buffer
	if err := history.WriteTable(&out); err != nil {
		t.Fatal(err)
	}
	parts := []string{"1 ", entry.When.Format(time.RFC3339), "ana", entry.Digest[:shortDigestDigits], entry.ChangeID, "test 1", "hash chain verified: true"}
	for _, part := range parts {
		if !strings.Contains(out.String(), part) {
			t.Errorf("%q is not in\n%s", part, out.String())
		}
	}
}

func TestDiffOfAFolderAgainstTheVersionInForce(t *testing.T) {
	s := newFakeStore()
	doc := Example()
	doc.Services[2].MaxTasks = 100
	applied, err := Apply(t.Context(), s, doc, "ana", "smaller jobs")
	if err != nil {
		t.Fatal(err)
	}

	got, err := DiffFolder(t.Context(), s, "testdata/example", Plugins{})
	if err != nil {
		t.Fatal(err)
	}
	want := DiffReport{
		Number:     1,
		FromDigest: applied.Entry.Digest,
		ToDigest:   Example().Digest(),
		Changes:    []Change{{Kind: Changed, Path: "service quote.maxTasks", From: "100", To: "200"}},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

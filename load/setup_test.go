package load

import (
	"context"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestVariantConfigurationChangesOnlyNamedFields(t *testing.T) {
	text := "variants:\n- name: a\n  cluster:\n    entries: 2\n    configuration:\n      placement: {policy: random}\n      retry:\n        maxAttempts: 5\n"
	experiment, err := ReadExperiment([]byte(text))
	if err != nil {
		t.Fatal(err)
	}

	want := malabar().Document(1)
	want.Placement.Policy = "random"
	want.Retry.MaxAttempts = 5
	got, err := experiment.Variants[0].Cluster.mergeConfiguration(malabar().Document(1))
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("document (-want +got):\n%s", diff)
	}
}

func TestBadClustersAreRejected(t *testing.T) {
	for _, cluster := range []string{
		"{entries: 0}",
		"{entries: 1, faults: [{every: 0}]}",
		"{entries: 1, configuration: {placement: {speed: 1}}}",
	} {
		if _, err := ReadExperiment([]byte("variants: [{name: a, cluster: " + cluster + "}]")); err == nil {
			t.Errorf("accepted %s", cluster)
		}
	}
}

func TestHealthyResponseLeavesOutJobsOnFaultyWorkers(t *testing.T) {
	text := "preset: tihiZvok\nrounds: 2\nduration: 300ms\ntimeScale: 0.1\nworkers: 4\nvariants:\n" +
		"- {name: healthy, cluster: {direct: true}}\n" +
		"- {name: slow, cluster: {direct: true, faults: [{every: 4, slowFactor: 2}]}}\n"
	experiment, err := ReadExperiment([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	comparison, err := RunExperiment(context.Background(), experiment, "x", nil)
	if err != nil {
		t.Fatal(err)
	}
	if err := comparison.Err(); err != nil {
		t.Error(err)
	}

	healthy, slow := comparison.Variants[0], comparison.Variants[1]
	if healthy.Response.Count == 0 || healthy.HealthyResponse.Count != healthy.Response.Count {
		t.Errorf("healthy: %d of %d responses are without a faulty worker", healthy.HealthyResponse.Count, healthy.Response.Count)
	}
	if slow.HealthyResponse.Count == 0 || slow.HealthyResponse.Count >= slow.Response.Count {
		t.Errorf("slow: %d of %d responses are without a faulty worker", slow.HealthyResponse.Count, slow.Response.Count)
	}
}

package proof

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"foxtailmux/platform/stand"
)

const (
	// stormRoutes is the number of queues of the largest configuration that operators have.
	stormRoutes = 1700

	// stormChanges and stormGap are the changes in quick succession, and the time between two.
	stormChanges = 12
	stormGap     = 200 * time.Millisecond
)

// stormConfig returns the row of a version with stormRoutes queues. Version N has the prefixes /v1/ to /vN/.
func stormConfig(t *testing.T, version int) (key, value string) {
	t.Helper()
	key, value = stand.ConfigRow(version)
	var config struct {
		Version int              `json:"version"`
		Routes  []map[string]any `json:"routes"`
	}
	if err := json.Unmarshal([]byte(value), &config); err != nil {
		t.Fatal(err)
	}
	base := config.Routes[0]
	for n := range stormRoutes {
		route := map[string]any{}
		for k, v := range base {
			route[k] = v
		}
		route["name"], route["path-prefix"] = fmt.Sprint("r", n), fmt.Sprintf("/other%d/", n)
		if n < version {
			route["path-prefix"] = fmt.Sprintf("/v%d/", n+1)
		}
		config.Routes = append(config.Routes, route)
	}
	text, err := json.Marshal(config)
	if err != nil {
		t.Fatal(err)
	}
	return key, string(text)
}

// hasQueue reports whether an instance serves a version's queue.
func hasQueue(t *testing.T, i *soakInstance, version int) bool {
	t.Helper()
	req, err := stand.NewJobRequest(i.callersAddr, "", 1, 1, 0, jobTimeout, "", "")
	if err != nil {
		t.Fatal(err)
	}
	req.Method, req.URL.Path = http.MethodGet, fmt.Sprintf("/v%d/", version)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Large configurations follow each other while callers submit jobs: each is in force in time at every
// instance and none is taken back by an older one.
func TestLargeConfigurationsInQuickSuccession(t *testing.T) {
	s := newFleet(t, []string{"kochi", "kochi", "kochi", "kochi", "kochi", "tvm", "tvm", "tvm", "tvm", "tvm"}, []string{"kochi", "tvm"})
	first := s.version
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	callers := s.startLoad(ctx, 1)
	began := time.Now()
	for n := 1; n <= stormChanges; n++ {
		key, value := stormConfig(t, first+n)
		put := time.Now()
		s.store.Put(key, value)
		for _, i := range s.instances {
			for !hasQueue(t, i, first+n) {
				if took := time.Since(put); took > 3*time.Second {
					t.Fatalf("version %d is not in force at %s after %v", first+n, i.name, took)
				}
				time.Sleep(5 * time.Millisecond)
			}
			for earlier := first + 1; earlier < first+n; earlier++ {
				if !hasQueue(t, i, earlier) {
					t.Errorf("%s skipped back behind version %d", i.name, earlier)
				}
			}
		}
		time.Sleep(time.Until(put.Add(stormGap)))
	}
	cancel()
	callers.Wait()
	got := s.statusesAfter(began)
	if got[http.StatusNotFound] > 0 || got[http.StatusOK] < 19*got[http.StatusServiceUnavailable] {
		t.Errorf("responses by status: %v", got)
	}
	s.check()
}

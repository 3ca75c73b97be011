package proof

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"foxtailmux/platform/stand"
)

// Guards against an old configuration in force: the open connections of all instances to the store
// go silent, and a change that follows is read only when the requests for changes time out
// (review/4). The platform allows 3 s after the silence.
func TestConfigurationIsInForceInTimeAfterConnectionsWentSilent(t *testing.T) {
	for _, c := range []struct {
		name   string
		waited time.Duration // time that the requests for changes have waited at the silence
		within time.Duration // from the silence
	}{
		{"in time", 500 * time.Millisecond, 3 * time.Second},
		{"with time left for a retry that is lost", 20 * time.Millisecond, 3*time.Second - lostRetry},
	} {
		t.Run(c.name, func(t *testing.T) { playSilence(t, c.waited, c.within) })
	}
}

// lostRetry is how much later a change is read if the first request on a new connection is lost: a dial
// or a response that does not come, and the delay of the next request.
const lostRetry = 900 * time.Millisecond

func playSilence(t *testing.T, waited, within time.Duration) {
	s := newFleet(t, []string{"kochi", "tvm"}, []string{"kochi", "kochi", "tvm"})
	s.putConfig() // each instance sends its next request for changes now
	time.Sleep(waited)

	for _, i := range s.instances {
		i.storeProxy.goSilent()
	}
	silenced := time.Now()
	time.Sleep(500 * time.Millisecond)
	s.version++
	key, value := stand.ConfigRow(s.version)
	s.store.Put(key, strings.ReplaceAll(value, "/q/", "/new/"))
	time.Sleep(time.Until(silenced.Add(within)))

	for _, i := range s.instances {
		statuses := map[string]int{}
		for _, prefix := range []string{"/q/", "/new/"} {
			req, err := stand.NewJobRequest(i.callersAddr, "00000000000000aa", 1, taskMilliCores, 70*time.Millisecond, jobTimeout, s.spec, "")
			if err != nil {
				t.Fatal(err)
			}
			req.URL.Path = strings.Replace(req.URL.Path, "/q/", prefix, 1)
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				t.Fatal(err)
			}
			_ = resp.Body.Close()
			statuses[prefix] = resp.StatusCode
		}
		want := map[string]int{"/q/": http.StatusNotFound, "/new/": http.StatusOK}
		if diff := cmp.Diff(want, statuses); diff != "" {
			t.Errorf("%s: status by route (-want +got):\n%s", i.name, diff)
		}
	}
}

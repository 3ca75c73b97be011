package subcmd

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"foxtailmux/setup"
)

// startOperatorsPort starts a fake operators' port, which responds with the body to a request
// for the state with the key "secret", and returns its address.
func startOperatorsPort(t *testing.T, body string) string {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != statePath || r.Header.Get("Authorization") != "Bearer secret" {
			w.WriteHeader(http.StatusUnauthorized)
			_, _ = io.WriteString(w, "no valid key")
			return
		}
		_, _ = io.WriteString(w, body)
	}))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

func TestStatePrintsIndentedJSON(t *testing.T) {
	addr := startOperatorsPort(t, `{"instance":"a","queued":3}`)
	want := result{Out: "{\n  \"instance\": \"a\",\n  \"queued\": 3\n}\n"}
	if diff := cmp.Diff(want, execute(t, "", "state", "-operators", addr, "-key", "secret")); diff != "" {
		t.Error(diff)
	}

	t.Setenv(setup.KeyVariable, "secret")
	if diff := cmp.Diff(want, execute(t, "", "state", "-operators", addr)); diff != "" {
		t.Error(diff)
	}
}

func TestStateFailsOnOtherAnswers(t *testing.T) {
	addr := startOperatorsPort(t, "<html>")
	for key, want := range map[string]string{
		"wrong":  " answers 401 Unauthorized: no valid key\n",
		"secret": " does not answer with JSON: <html>\n",
	} {
		got := execute(t, "", "state", "-operators", addr, "-key", key)
		if diff := cmp.Diff(result{Code: 1, Err: "foxtailmux: state: " + addr + want}, got); diff != "" {
			t.Error(diff)
		}
	}

	got := execute(t, "", "state", "-operators", refusingAddr(t))
	if got.Code != ExitFailed || !strings.HasSuffix(got.Err, "connection refused\n") {
		t.Errorf("got %+v", got)
	}
}

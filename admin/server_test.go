package admin

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"foxtailmux/config"
)

// versionWithKeys returns a configuration with a key of each role.
func versionWithKeys() *config.Version {
	doc := config.Example()
	for name, role := range map[string]config.Role{"reader": config.RoleRead, "operator": config.RoleOperate} {
		sum := sha256.Sum256([]byte(name + "-secret"))
		doc.Access = append(doc.Access, config.AccessKey{Name: name, SHA256: hex.EncodeToString(sum[:]), Role: role})
	}
	return &config.Version{Number: 3, Digest: doc.Digest(), Document: doc}
}

func versionWithoutKeys() *config.Version {
	doc := config.Example()
	return &config.Version{Number: 3, Digest: doc.Digest(), Document: doc}
}

// startServer starts a server for the duration of the test, with options that change may alter.
func startServer(t *testing.T, version *config.Version, change func(*Options)) *Server {
	t.Helper()
	o := Options{
		Addr:    "127.0.0.1:0",
		Version: func() *config.Version { return version },
		Status:  func() config.Status { return config.Status{Instance: "a", DataCentre: "kochi"} },
		Ready:   func() error { return nil },
		State:   func() any { return map[string]int{"openJobs": 1} },
		Metrics: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "up 1\n")
		}),
		SetLogLevel: func(level string) error {
			if level != "debug" {
				return errors.New("unknown level")
			}
			return nil
		},
		Operations: map[string]Operation{
			"drain": func(_ context.Context, body json.RawMessage) (any, error) { return body, nil },
		},
	}
	if change != nil {
		change(&o)
	}
	s := New(o)
	if err := s.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := s.Stop(context.Background()); err != nil {
			t.Error(err)
		}
		<-s.Done()
	})
	return s
}

func request(t *testing.T, s *Server, method, path, key, body string) (int, string) {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), method, "http://"+s.Addr()+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	if key != "" {
		r.Header.Set("Authorization", key)
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, string(data)
}

func TestAccessByRole(t *testing.T) {
	const reader, operator = "Bearer reader-secret", "Bearer operator-secret"
	tests := []struct {
		name              string
		version           *config.Version
		method, path, key string
		want              int
		rejected          uint64
	}{
		{"health is open", versionWithKeys(), "GET", "/healthz", "", 200, 0},
		{"readiness is open", versionWithKeys(), "GET", "/readyz", "", 200, 0},
		{"read key reads", versionWithKeys(), "GET", "/state", reader, 200, 0},
		{"operate key reads", versionWithKeys(), "GET", "/metrics", operator, 200, 0},
		{"read key does not operate", versionWithKeys(), "POST", "/v1/drain", reader, 403, 0},
		{"operate key operates", versionWithKeys(), "POST", "/v1/drain", operator, 200, 0},
		{"no key", versionWithKeys(), "GET", "/v1/config", "", 401, 1},
		{"wrong key", versionWithKeys(), "GET", "/v1/config/status", "Bearer wrong", 401, 1},
		{"wrong key to operate", versionWithKeys(), "PUT", "/v1/logLevel", "Bearer wrong", 401, 1},
		{"empty key", versionWithKeys(), "GET", "/state", "Bearer ", 401, 1},
		{"hash in place of the key", versionWithKeys(), "GET", "/state", "Bearer " + versionWithKeys().Document.Access[0].SHA256, 401, 1},
		{"key without scheme", versionWithKeys(), "GET", "/state", "reader-secret", 401, 1},
		{"read is open without keys", versionWithoutKeys(), "GET", "/state", "", 200, 0},
		{"nobody operates without keys", versionWithoutKeys(), "POST", "/v1/drain", operator, 403, 0},
		{"status is open before the first configuration", nil, "GET", "/v1/config/status", "", 200, 0},
		{"state waits for the configuration", nil, "GET", "/state", "", 503, 0},
		{"operations wait for the configuration", nil, "POST", "/v1/drain", operator, 503, 0},
		{"unknown path", versionWithKeys(), "GET", "/nothing", operator, 404, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := startServer(t, test.version, nil)
			status, body := request(t, s, test.method, test.path, test.key, `{"level":"debug"}`)
			if diff := cmp.Diff(test.want, status); diff != "" {
				t.Error(diff, body)
			}
			if diff := cmp.Diff(test.rejected, s.Rejected()); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestReadinessReturnsTheReason(t *testing.T) {
	s := startServer(t, versionWithoutKeys(), func(o *Options) { o.Ready = func() error { return errors.New("no workers") } })
	status, body := request(t, s, "GET", "/readyz", "", "")
	if diff := cmp.Diff(503, status); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff(`{"error":"no workers"}`, body); diff != "" {
		t.Error(diff)
	}
}

func TestConfigurationIsServedWithItsDigest(t *testing.T) {
	want := versionWithoutKeys()
	s := startServer(t, want, nil)
	_, body := request(t, s, "GET", "/v1/config", "", "")
	var got config.Version
	if err := json.Unmarshal([]byte(body), &got); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, &got); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff(got.Digest, got.Document.Digest()); diff != "" {
		t.Error(diff)
	}
}

func TestStateBeyondTheBoundIsAnError(t *testing.T) {
	s := startServer(t, versionWithoutKeys(), func(o *Options) { o.State = func() any { return strings.Repeat("x", maxStateBytes) } })
	status, _ := request(t, s, "GET", "/state", "", "")
	if diff := cmp.Diff(500, status); diff != "" {
		t.Error(diff)
	}
}

func TestPanicInAHandlerIsAnErrorAndServingContinues(t *testing.T) {
	s := startServer(t, versionWithoutKeys(), func(o *Options) { o.State = func() any { panic("broken") } })
	status, _ := request(t, s, "GET", "/state", "", "")
	if diff := cmp.Diff(500, status); diff != "" {
		t.Error(diff)
	}
	status, _ = request(t, s, "GET", "/healthz", "", "")
	if diff := cmp.Diff(200, status); diff != "" {
		t.Error(diff)
	}
}

func TestBadBodiesAreRefused(t *testing.T) {
	const operator = "Bearer operator-secret"
	s := startServer(t, versionWithKeys(), nil)
	tests := []struct {
		method, path, body string
		want               int
	}{
		{"PUT", "/v1/logLevel", `{"level":"debug"}`, 200},
		{"PUT", "/v1/logLevel", `{"level":"loud"}`, 400},
		{"PUT", "/v1/logLevel", `{`, 400},
		{"POST", "/v1/drain", `{`, 400},
	}
	for _, test := range tests {
		status, body := request(t, s, test.method, test.path, operator, test.body)
		if diff := cmp.Diff(test.want, status); diff != "" {
			t.Errorf("%s %s: %s %s", test.method, test.path, diff, body)
		}
	}
}

// The test sends the headers without a body: the server closes the connection after its
// response, and a client that is still writing a body may get a reset before it reads it.
func TestBodyBeyondTheBoundIsRefusedByItsLength(t *testing.T) {
	s := startServer(t, versionWithKeys(), nil)
	conn, err := net.Dial("tcp", s.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "POST /v1/drain HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer operator-secret\r\nContent-Length: %d\r\n\r\n", maxBodyBytes+1)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if diff := cmp.Diff(413, resp.StatusCode); diff != "" {
		t.Error(diff)
	}
}

func TestStatusIsCollectedFromEveryInstance(t *testing.T) {
	first := startServer(t, versionWithKeys(), func(o *Options) {
		o.Status = func() config.Status { return config.Status{Instance: "a", Version: 3, Digest: "d", SinceMillis: 1500} }
	})
	second := startServer(t, versionWithKeys(), func(o *Options) {
		o.Status = func() config.Status { return config.Status{Instance: "b", Version: 3, Digest: "d", SinceMillis: 2500} }
	})
	outdated := startServer(t, versionWithKeys(), func(o *Options) {
		o.Status = func() config.Status { return config.Status{Instance: "c", Version: 2, Digest: "c", SinceMillis: 1} }
	})
	same := config.CollectStatus(t.Context(), []string{first.Addr(), second.Addr()}, "reader-secret")
	if diff := cmp.Diff([]string{"a", "b"}, []string{same.Instances[0].Status.Instance, same.Instances[1].Status.Instance}); diff != "" {
		t.Error(diff)
	}

	empty := startServer(t, versionWithKeys(), nil)
	others := map[string][]string{
		"none has a version": {empty.Addr(), empty.Addr()},
		"one outdated":       {first.Addr(), outdated.Addr()},
		"one not reachable":  {first.Addr(), unusedAddr(t)},
		"none":               nil,
	}
	if !same.Same {
		t.Error("two instances with the same version are reported as different")
	}
	for name, addrs := range others {
		if config.CollectStatus(t.Context(), addrs, "reader-secret").Same {
			t.Errorf("%s: reported as same", name)
		}
	}

	report := config.CollectStatus(t.Context(), []string{unusedAddr(t), first.Addr()}, "wrong")
	for _, instance := range report.Instances {
		if instance.Status != nil || instance.Error == "" {
			t.Errorf("%+v", instance)
		}
	}
}

// Guards against a report of one version everywhere that leaves out instances that were not
// named on the command line: members of the queried instances are queried too. One that
// announced its stop is left out; one without an address that answers counts as an error.
func TestStatusIsCollectedFromMembersToo(t *testing.T) {
	instanceWithMembers := func(instance string, members ...config.MemberStatus) *Server {
		return startServer(t, versionWithoutKeys(), func(o *Options) {
			o.Status = func() config.Status {
				return config.Status{Instance: instance, Version: 3, Digest: "d", Members: members}
			}
		})
	}
	stoppedAddr, oldAddr := unusedAddr(t), unusedAddr(t)
	last := instanceWithMembers("d")
	third := instanceWithMembers("c", config.MemberStatus{Instance: "d", OperatorsAddr: last.Addr()})
	second := instanceWithMembers("b",
		config.MemberStatus{Instance: "c", OperatorsAddr: third.Addr(), State: "suspect"},
		config.MemberStatus{Instance: "d", DataCentre: "kochi", State: "alive"},
		config.MemberStatus{Instance: "d", OperatorsAddr: oldAddr, State: "dead"},
		config.MemberStatus{Instance: "stopped", OperatorsAddr: stoppedAddr, State: "leaving"},
	)
	report := config.CollectStatus(t.Context(), []string{second.Addr()}, "")
	var found []string
	for _, s := range report.Instances {
		found = append(found, s.Addr)
	}
	if diff := cmp.Diff([]string{second.Addr(), third.Addr(), last.Addr()}, found); diff != "" || !report.Same {
		t.Error(report.Same, diff)
	}

	for _, lost := range []config.MemberStatus{
		{Instance: "e", DataCentre: "kochi", OperatorsAddr: stoppedAddr, State: "dead"},
		{Instance: "e", DataCentre: "kochi", State: "alive"},
	} {
		report := config.CollectStatus(t.Context(), []string{instanceWithMembers("a", lost).Addr()}, "")
		if report.Same || len(report.Instances) != 2 {
			t.Fatalf("%+v", report)
		}
		got := report.Instances[1]
		if got.Instance != "e" || got.DataCentre != "kochi" || got.Addr != lost.OperatorsAddr || got.Error == "" {
			t.Errorf("%+v", got)
		}
	}
}

// unusedAddr returns an address on which nothing listens.
func unusedAddr(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// Guards against a server that keeps its listener open when Stop comes before the first accept.
func TestStopRightAfterStartEnds(t *testing.T) {
	for range 20 {
		s := New(Options{Addr: "127.0.0.1:0", Version: versionWithoutKeys})
		if err := s.Start(t.Context()); err != nil {
			t.Fatal(err)
		}
		if err := s.Stop(t.Context()); err != nil {
			t.Fatal(err)
		}
		<-s.Done()
	}
}

func TestStopWithoutStartEnds(t *testing.T) {
	s := New(Options{Version: versionWithoutKeys})
	if err := s.Stop(t.Context()); err != nil {
		t.Fatal(err)
	}
	<-s.Done()
	var failure *Error
	if err := s.Start(t.Context()); !errors.As(err, &failure) || failure.Kind != KindState {
		t.Errorf("got %v", err)
	}
}

func TestAddressInUseIsAnError(t *testing.T) {
	s := startServer(t, versionWithoutKeys(), nil)
	var failure *Error
	err := New(Options{Addr: s.Addr(), Version: versionWithoutKeys}).Start(t.Context())
	if !errors.As(err, &failure) || failure.Kind != KindListen {
		t.Errorf("got %v", err)
	}
}

package table

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

const testTimeout = 5 * time.Second

func serve(t *testing.T, handler http.HandlerFunc) *Client {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return NewClient(server.Listener.Addr().String(), testTimeout)
}

func respondWith(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}
}

func kindOf(t *testing.T, err error) Kind {
	t.Helper()
	var failure *Error
	if !errors.As(err, &failure) {
		t.Fatalf("no table.Error: %v", err)
	}
	return failure.Kind
}

func TestKeysAreEscapedAsOnePathElement(t *testing.T) {
	var path string
	c := serve(t, func(w http.ResponseWriter, r *http.Request) {
		path = r.RequestURI
		_, _ = w.Write([]byte(`{"key":"config/head","value":{"a":1},"version":3}`))
	})

	got, err := c.Get(t.Context(), "config/head")
	if err != nil {
		t.Fatal(err)
	}
	want := Row{Key: "config/head", Value: []byte(`{"a":1}`), Version: 3}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff(RowsPath+"config%2Fhead", path); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff([]uint64{1, 0}, []uint64{c.Reads(), c.Writes()}); diff != "" {
		t.Error(diff)
	}
}

func TestMalformedResponsesAreErrors(t *testing.T) {
	get := func(c *Client) error { _, err := c.Get(t.Context(), "k"); return err }
	scan := func(c *Client) error { _, err := c.Scan(t.Context(), "p/", "p/b", 1); return err }
	commit := func(c *Client) error {
		_, err := c.Commit(t.Context(), Transaction{Conditions: []Condition{{Key: "k", Version: 1}}})
		return err
	}
	list := func(c *Client) error { _, err := c.Instances(t.Context()); return err }

	tests := []struct {
		call   func(*Client) error
		status int
		body   string
	}{
		{get, 200, ``},
		{get, 200, `{}`},
		{get, 200, `null`},
		{get, 200, `{"key":"k","value":{"a":1},"ver`},
		{get, 200, `{"key":"k","version":2}`},
		{get, 200, `{"key":"k","value":1,"version":0}`},
		{get, 200, `{"key":"k","value":1,"version":-1}`},
		{get, 200, `{"key":"other","value":1,"version":1}`},
		{scan, 200, `{}`},
		{scan, 200, `{"rows":[],"more":true}`},
		{scan, 200, `{"rows":[{"key":"p/b","value":1,"version":1}]}`},
		{scan, 200, `{"rows":[{"key":"q/c","value":1,"version":1}]}`},
		{scan, 200, `{"rows":[{"key":"p/c","value":1,"version":1},{"key":"p/d","value":1,"version":1}]}`},
		{commit, 200, `{}`},
		{commit, 200, `{"committed":false}`},
		{commit, 409, `{"committed":true}`},
		{commit, 409, `{"committed":false}`},
		{commit, 409, `{"committed":false,"conflicts":[{"key":"k","value":1,"version":1}]}`},
		{commit, 409, `{"committed":false,"conflicts":[{"key":"x","value":1,"version":2}]}`},
		{commit, 500, `{"committed":true}`},
		{list, 200, `{}`},
		{list, 200, `{"workers":[]}`},
		{list, 200, `{"workers":[{"id":""}],"entries":[]}`},
	}
	for _, test := range tests {
		t.Run(fmt.Sprintf("%d %s", test.status, test.body), func(t *testing.T) {
			err := test.call(serve(t, respondWith(test.status, test.body)))
			if diff := cmp.Diff(KindUnknown, kindOf(t, err)); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestServiceUnavailableIsRefused(t *testing.T) {
	c := serve(t, respondWith(http.StatusServiceUnavailable, "down"))
	_, err := c.Commit(t.Context(), Transaction{})
	if diff := cmp.Diff(KindRefused, kindOf(t, err)); diff != "" {
		t.Error(diff)
	}
}

func TestMissingObjectIsNotFound(t *testing.T) {
	_, err := serve(t, respondWith(http.StatusNotFound, "")).GetObject(t.Context(), "a")
	if !errors.Is(err, ErrNotFound) {
		t.Errorf("got %v", err)
	}
}

func TestFailedDialIsNotSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := listener.Addr().String()
	_ = listener.Close()

	err = NewClient(addr, testTimeout).PutObject(t.Context(), "a", []byte("b"))
	if diff := cmp.Diff(KindNotSent, kindOf(t, err)); diff != "" {
		t.Error(diff)
	}
}

func TestEndedContextIsNotSent(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	var requests atomic.Int64
	c := serve(t, func(http.ResponseWriter, *http.Request) { requests.Add(1) })

	err := c.PutObject(ctx, "a", nil)
	if diff := cmp.Diff(KindNotSent, kindOf(t, err)); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff(int64(0), requests.Load()); diff != "" {
		t.Error(diff)
	}
}

// A server closes the connection after it has read the request. It must receive each
// request once, also on a connection that was kept alive.
func TestRequestsAreNotRetriedAfterTheServerCloses(t *testing.T) {
	var requests atomic.Int64
	c := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		if requests.Add(1) == 1 {
			_, _ = w.Write([]byte(`{"key":"k","version":0}`))
			return
		}
		conn, _, _ := w.(http.Hijacker).Hijack()
		_ = conn.Close()
	})
	if _, err := c.Get(t.Context(), "k"); err != nil {
		t.Fatal(err)
	}

	_, err := c.Get(t.Context(), "k")
	if diff := cmp.Diff(KindUnknown, kindOf(t, err)); diff != "" {
		t.Error(diff)
	}
	err = c.PutObject(t.Context(), "a", []byte("b"))
	if diff := cmp.Diff(KindUnknown, kindOf(t, err)); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff(int64(3), requests.Load()); diff != "" {
		t.Error(diff)
	}
}

func TestUnresponsiveServerTimesOutAtTheDeadline(t *testing.T) {
	release := make(chan struct{})
	c := serve(t, func(http.ResponseWriter, *http.Request) { <-release })
	defer close(release)
	c.timeout = 50 * time.Millisecond

	_, err := c.Get(t.Context(), "k")
	if diff := cmp.Diff(KindUnknown, kindOf(t, err)); diff != "" {
		t.Error(diff)
	}
}

func FuzzParseResponses(f *testing.F) {
	f.Add([]byte(`{"key":"k","value":{"a":1},"version":3}`))
	f.Add([]byte(`{"rows":[{"key":"p/c","value":1,"version":1}],"more":false}`))
	f.Add([]byte(`{"committed":false,"conflicts":[{"key":"k","value":1,"version":2}]}`))
	f.Add([]byte(`{"workers":[{"id":"a","addr":"b"}],"entries":[]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		if r, err := parseRow(body, "k"); err == nil && (r.Key != "k" || (r.Version > 0) != (len(r.Value) > 0)) {
			t.Errorf("accepted row %+v", r)
		}
		if s, err := parseScan(body, "p/", "p/b", 1); err == nil && len(s.Rows) > 1 {
			t.Errorf("accepted page %+v", s)
		}
		transaction := Transaction{Conditions: []Condition{{Key: "k", Version: 1}}}
		if c, err := parseCommit(body, http.StatusConflict, transaction); err == nil && (c.Committed || len(c.Conflicts) == 0) {
			t.Errorf("accepted commit %+v", c)
		}
		list, err := parseInstances(body)
		if err != nil {
			return
		}
		for _, w := range list.Workers {
			if w.ID == "" {
				t.Errorf("accepted worker %+v", w)
			}
		}
	})
}

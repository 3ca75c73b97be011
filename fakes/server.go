// Package fakes holds stand-ins for the platform and for workers, with
// switches that make them fail in chosen ways.
package fakes

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync"

	"github.com/sourcegraph/conc"
)

// maxBodyBytes bounds the body of a request to a stand-in.
const maxBodyBytes = 16 << 20

// server runs one handler on a set of listeners until it is closed.
type server struct {
	http   http.Server
	ctx    context.Context
	cancel context.CancelFunc
	group  conc.WaitGroup
	done   chan struct{}
	once   sync.Once

	mu     sync.Mutex
	closed bool
	active sync.WaitGroup
}

type connKey struct{}

func startServer(handler http.Handler, listeners ...*listener) *server {
	s := &server{done: make(chan struct{})}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.http.Handler = handler
	s.http.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, c)
	}
	for _, l := range listeners {
		s.group.Go(func() { s.http.Serve(l) })
	}
	return s
}

// close stops the server at once, as a killed process would.
func (s *server) close() {
	s.once.Do(func() {
		s.stopEntering()
		s.cancel()
		s.http.Close()
		s.group.Wait()
		s.active.Wait()
		close(s.done)
	})
	<-s.done
}

// enter counts a piece of work that close waits for; leave ends it. It
// returns false once the server is closed.
func (s *server) enter() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.active.Add(1)
	return true
}

func (s *server) leave() {
	s.active.Done()
}

func (s *server) stopEntering() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
}

// requestConn returns the connection that carries the request.
func requestConn(r *http.Request) *conn {
	c, _ := r.Context().Value(connKey{}).(*conn)
	return c
}

// abort closes the connection of the request without an answer.
func abort() {
	panic(http.ErrAbortHandler)
}

// lastElement returns the unescaped rest of the path after the prefix.
func lastElement(r *http.Request, prefix string) (string, bool) {
	rest, ok := strings.CutPrefix(r.URL.EscapedPath(), prefix)
	if !ok || rest == "" {
		return "", false
	}
	name, err := url.PathUnescape(rest)
	return name, err == nil
}

func readBody(r *http.Request) ([]byte, error) {
	return io.ReadAll(http.MaxBytesReader(nil, r.Body, maxBodyBytes))
}

func readJSON(r *http.Request, v any) error {
	body, err := readBody(r)
	if err != nil {
		return &Error{Op: "read body", Kind: KindRequest, Err: err}
	}
	if err := json.Unmarshal(body, v); err != nil {
		return &Error{Op: "decode body", Kind: KindRequest, Err: err}
	}
	return nil
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	w.Write(body)
}

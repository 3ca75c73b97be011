// Package fakes has stand-ins for the platform and for workers, with fault
// switches that make them fail in a given way.
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

// maxBodyBytes bounds the body of a request.
const maxBodyBytes = 16 << 20

// server serves one handler on several listeners until it is closed.
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

// close ends all connections at once, like a process that is killed, and waits
// for the work that startWork has registered.
func (s *server) close() {
	s.once.Do(func() {
		s.refuseWork()
		s.cancel()
		s.http.Close()
		s.group.Wait()
		s.active.Wait()
		close(s.done)
	})
	<-s.done
}

// startWork registers work that close waits for, until endWork is called. It
// returns false if the server is closed.
func (s *server) startWork() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.active.Add(1)
	return true
}

func (s *server) endWork() {
	s.active.Done()
}

func (s *server) refuseWork() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
}

// requestConn returns the connection over which the request arrived.
func requestConn(r *http.Request) *conn {
	c, _ := r.Context().Value(connKey{}).(*conn)
	return c
}

// abort closes the connection of the request without a response.
func abort() {
	panic(http.ErrAbortHandler)
}

// pathSuffix returns the unescaped rest of the request's path after the prefix,
// and false if there is none.
func pathSuffix(r *http.Request, prefix string) (string, bool) {
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

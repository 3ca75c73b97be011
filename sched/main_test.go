package sched

import (
	"bufio"
	"net"
	"os"
	"testing"

	"github.com/valyala/fasthttp"
)

// TestMain serves one request before the tests: with its first response fasthttp
// starts a goroutine that never ends, and a synctest bubble in which it started
// would wait for it forever.
func TestMain(m *testing.M) {
	near, far := net.Pipe()
	server := fasthttp.Server{Handler: func(*fasthttp.RequestCtx) {}}
	go func() { _ = server.ServeConn(far) }()

	if _, err := near.Write([]byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n")); err != nil {
		panic(err)
	}
	var response fasthttp.Response
	if err := response.Read(bufio.NewReader(near)); err != nil {
		panic(err)
	}
	_ = near.Close()
	os.Exit(m.Run())
}

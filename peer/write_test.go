package peer

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"net"
	"sync/atomic"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/rotisserie/eris"
	"github.com/sourcegraph/jsonrpc2"
)

// brokenConn fails its first write after armed was set, and writes only the first bytes
// of it.
type brokenConn struct {
	net.Conn
	armed  *atomic.Bool
	passes int // number of bytes that the failing write writes
}

func (c brokenConn) Write(p []byte) (int, error) {
	if !c.armed.CompareAndSwap(true, false) {
		return c.Conn.Write(p)
	}
	n, err := c.Conn.Write(p[:c.passes])
	if err != nil {
		return n, err
	}
	return n, eris.New("broken")
}

// A call whose write fails is sent again on a new connection only if none of its bytes were
// written; otherwise the peer could handle it twice.
func TestOnlyAnUnwrittenCallIsSentAgain(t *testing.T) {
	cases := []struct {
		name    string
		passes  int
		want    *outcome
		handled int64
	}{
		{name: "no byte written", passes: 0, handled: 1},
		{name: "one byte written", passes: 1, want: &outcome{Kind: Unconfirmed, Sent: true}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var armed atomic.Bool
			var handled atomic.Int64
			o := optionsFor("a")
			o.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
				raw, err := dialTCP(ctx, addr)
				return brokenConn{Conn: raw, armed: &armed, passes: c.passes}, err
			}
			a, b := startGroup(t, o), startGroup(t, optionsFor("b"))
			b.Handle("echo", func(_ context.Context, params json.RawMessage) (any, error) {
				handled.Add(1)
				return params, nil
			})
			a.SetPeer("b", b.Addr())
			if _, err := a.link("b").probedConn(t.Context()); err != nil {
				t.Fatal(err)
			}

			armed.Store(true)
			err := call(t, a, "b", "echo", 1, nil)
			if c.want == nil && err != nil {
				t.Errorf("the call was not sent on a new connection: %v", err)
			}
			if c.want != nil {
				wantOutcome(t, err, *c.want)
			}
			if diff := cmp.Diff(c.handled, handled.Load()); diff != "" {
				t.Errorf("handled calls (-want +got)\n%s", diff)
			}
		})
	}
}

func TestBytesAreReportedOnBothEnds(t *testing.T) {
	var sent, received atomic.Int64
	caller, callee := optionsFor("a"), optionsFor("b")
	caller.OnBytes = func(direction string, n int) {
		if direction == Sent {
			sent.Add(int64(n))
		}
	}
	callee.OnBytes = func(direction string, n int) {
		if direction == Received {
			received.Add(int64(n))
		}
	}
	a, b := startGroup(t, caller), startGroup(t, callee)
	b.Handle("echo", echo)
	a.SetPeer("b", b.Addr())
	if err := call(t, a, "b", "echo", 1, nil); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(sent.Load(), received.Load()); diff != "" || sent.Load() == 0 {
		t.Errorf("sent %d, received %d bytes", sent.Load(), received.Load())
	}
}

func FuzzReadObject(f *testing.F) {
	const limit = 1 << 10 // bytes
	var frame bytes.Buffer
	codec := boundedCodec{maxFrame: limit}
	if err := codec.WriteObject(&frame, &jsonrpc2.Request{Method: "echo"}); err != nil {
		f.Fatal(err)
	}
	f.Add(frame.Bytes())
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{0x81, 0x08, '{', '}'})

	f.Fuzz(func(t *testing.T, data []byte) {
		size, sizeErr := peekSize(bufio.NewReader(bytes.NewReader(data)))
		var got json.RawMessage
		err := codec.ReadObject(bufio.NewReader(bytes.NewReader(data)), &got)
		if err == nil && (sizeErr != nil || size > limit) {
			t.Errorf("a frame of %d bytes was read", size)
		}
		if len(got) > limit {
			t.Errorf("read %d bytes", len(got))
		}
	})
}

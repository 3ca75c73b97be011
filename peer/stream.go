package peer

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/jsonrpc2"
)

// attempt records whether any byte of a request was handed to the connection.
type attempt struct {
	ctx   context.Context
	begun atomic.Bool
}

// stream is a jsonrpc2.ObjectStream over a connection with deadlines, a frame
// limit, and a record of which requests were begun.
type stream struct {
	conn    net.Conn
	reader  *bufio.Reader
	codec   boundedCodec
	options *Options

	readTimeout time.Duration
	peer        string       // at the other end of an outgoing connection
	toldAt      atomic.Int64 // last call of OnHeard, as heardAt
	heardAt     atomic.Int64 // nanoseconds since started
	started     time.Time
	expired     atomic.Bool // it ended because it was idle

	mu       sync.Mutex
	attempts map[jsonrpc2.ID]*attempt
	next     *attempt // of the message that is written next
}

func newStream(conn net.Conn, o *Options, readTimeout time.Duration) *stream {
	s := &stream{
		conn:        conn,
		codec:       boundedCodec{maxFrame: o.MaxFrame},
		options:     o,
		readTimeout: readTimeout,
		started:     time.Now(),
		attempts:    map[jsonrpc2.ID]*attempt{},
	}
	s.toldAt.Store(-int64(heardInterval))
	s.reader = bufio.NewReader(readerFunc(s.read))
	return s
}

type readerFunc func(p []byte) (int, error)

// Read calls the function.
func (f readerFunc) Read(p []byte) (int, error) {
	return f(p)
}

func (s *stream) read(p []byte) (int, error) {
	if err := s.conn.SetReadDeadline(time.Now().Add(s.readTimeout)); err != nil {
		return 0, err
	}

	n, err := s.conn.Read(p)
	if n > 0 {
		now := int64(time.Since(s.started))
		s.heardAt.Store(now)
		s.options.OnBytes(Received, n)
		s.tell(now)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		s.expired.Store(true)
		return n, io.EOF // An idle connection ends without an error.
	}
	return n, err
}

// tell reports that the peer was heard.
func (s *stream) tell(now int64) {
	if s.peer == "" || now-s.toldAt.Load() < int64(heardInterval) {
		return
	}
	s.toldAt.Store(now)
	s.options.OnActivity(s.peer)
}

// silence returns the time since the last byte was received.
func (s *stream) silence() time.Duration {
	return time.Since(s.started) - time.Duration(s.heardAt.Load())
}

// ReadObject reads the next message.
func (s *stream) ReadObject(v any) error {
	return s.codec.ReadObject(s.reader, v)
}

// WriteObject writes a message whole, or closes the connection.
func (s *stream) WriteObject(obj any) error {
	a := s.takeNext()

	var frame bytes.Buffer
	if err := s.codec.WriteObject(&frame, obj); err != nil {
		return err
	}
	if frame.Len() > s.codec.maxFrame {
		return eris.Wrapf(errFrameTooLarge, "%d bytes, limit %d", frame.Len(), s.codec.maxFrame)
	}
	if a != nil && a.ctx.Err() != nil {
		return errExpired
	}
	return s.write(frame.Bytes(), a)
}

func (s *stream) write(frame []byte, a *attempt) error {
	if err := s.conn.SetWriteDeadline(time.Now().Add(s.options.WriteTimeout)); err != nil {
		return err
	}
	if a != nil {
		a.begun.Store(true)
	}

	n, err := s.conn.Write(frame)
	if n > 0 {
		s.options.OnBytes(Sent, n)
	}
	if err == nil {
		return nil
	}

	if a != nil && n == 0 {
		a.begun.Store(false)
	}
	_ = s.conn.Close()
	return err
}

// Close closes the connection.
func (s *stream) Close() error {
	return s.conn.Close()
}

// register announces a request, so that its write is recorded in a.
func (s *stream) register(id jsonrpc2.ID, a *attempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.attempts[id] = a
}

func (s *stream) forget(id jsonrpc2.ID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.attempts, id)
}

// onSend runs under the sending lock of the jsonrpc2 connection, right before
// WriteObject.
func (s *stream) onSend(req *jsonrpc2.Request, _ *jsonrpc2.Response) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next = nil
	if req != nil {
		s.next = s.attempts[req.ID]
	}
}

func (s *stream) takeNext() *attempt {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.next
	s.next = nil
	return a
}

// encode turns parameters into JSON before a connection is picked, so that a
// value that can't be encoded never touches one.
func encode(params any) (json.RawMessage, error) {
	if raw, ok := params.(json.RawMessage); ok && raw != nil {
		return raw, nil
	}
	return json.Marshal(params)
}

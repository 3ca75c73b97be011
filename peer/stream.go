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

// requestWrite records whether any byte of a request may have been sent.
type requestWrite struct {
	ctx       context.Context // of the call
	mayBeSent atomic.Bool
}

// stream is a jsonrpc2.ObjectStream over a connection. It sets deadlines, limits the
// size of frames, and records for each request whether it may have been sent.
type stream struct {
	conn    net.Conn
	reader  *bufio.Reader
	codec   boundedCodec
	options *Options

	readTimeout    time.Duration            // an idle connection is closed after it
	remote         atomic.Pointer[identity] // other end of an outgoing connection, once it has identified itself
	lastActivityAt atomic.Int64             // last call of OnActivity, in nanoseconds since openedAt
	lastReadAt     atomic.Int64             // last received bytes, in nanoseconds since openedAt
	openedAt       time.Time
	idleTimedOut   atomic.Bool // the connection was closed because it was idle

	mu     sync.Mutex
	writes map[jsonrpc2.ID]*requestWrite // of the open calls
	next   *requestWrite                 // of the message that is written next
}

func newStream(conn net.Conn, o *Options, readTimeout time.Duration) *stream {
	s := &stream{
		conn:        conn,
		codec:       boundedCodec{maxFrame: o.MaxFrame},
		options:     o,
		readTimeout: readTimeout,
		openedAt:    time.Now(),
		writes:      map[jsonrpc2.ID]*requestWrite{},
	}
	s.lastActivityAt.Store(-int64(activityInterval))
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
		now := int64(time.Since(s.openedAt))
		s.lastReadAt.Store(now)
		s.options.OnBytes(Received, n)
		s.reportActivity(now)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		s.idleTimedOut.Store(true)
		return n, io.EOF // the end of an idle connection is not an error
	}
	return n, err
}

// reportActivity calls OnActivity, at most once in activityInterval.
func (s *stream) reportActivity(now int64) {
	remote := s.remote.Load()
	if remote == nil || now-s.lastActivityAt.Load() < int64(activityInterval) {
		return
	}
	s.lastActivityAt.Store(now)
	s.options.OnActivity(remote.ID, remote.Incarnation)
}

// idleTime returns the time since bytes were last received.
func (s *stream) idleTime() time.Duration {
	return time.Since(s.openedAt) - time.Duration(s.lastReadAt.Load())
}

// ReadObject reads the next message.
func (s *stream) ReadObject(v any) error {
	return s.codec.ReadObject(s.reader, v)
}

// WriteObject writes a message. The connection is closed if the write fails, since a
// partly written frame makes it unusable. A message that is too large or whose call has
// ended is not written, and the connection stays open.
func (s *stream) WriteObject(obj any) error {
	w := s.takeNext()

	var frame bytes.Buffer
	if err := s.codec.WriteObject(&frame, obj); err != nil {
		return err
	}
	if frame.Len() > s.codec.maxFrame {
		return eris.Wrapf(errFrameTooLarge, "%d bytes, limit %d", frame.Len(), s.codec.maxFrame)
	}
	if w != nil && w.ctx.Err() != nil {
		return errCallEnded
	}
	return s.write(frame.Bytes(), w)
}

func (s *stream) write(frame []byte, w *requestWrite) error {
	if err := s.conn.SetWriteDeadline(time.Now().Add(s.options.WriteTimeout)); err != nil {
		return err
	}
	if w != nil {
		w.mayBeSent.Store(true)
	}

	n, err := s.conn.Write(frame)
	if n > 0 {
		s.options.OnBytes(Sent, n)
	}
	if err == nil {
		return nil
	}

	if w != nil && n == 0 {
		w.mayBeSent.Store(false)
	}
	_ = s.conn.Close()
	return err
}

// discardUnsent makes the close of a broken connection discard the bytes that the other end has not
// received. Otherwise the kernel delivers them, with requests whose calls have ended, as soon as the
// other end can be reached again.
func (s *stream) discardUnsent() {
	if c, ok := s.conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = c.SetLinger(0) // a connection that has failed delivers nothing
	}
}

// Close closes the connection.
func (s *stream) Close() error {
	return s.conn.Close()
}

// register makes the stream record the write of a request in w.
func (s *stream) register(id jsonrpc2.ID, w *requestWrite) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes[id] = w
}

func (s *stream) unregister(id jsonrpc2.ID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.writes, id)
}

// onSend remembers the request that the next WriteObject writes. The jsonrpc2 connection
// calls it right before WriteObject, while it holds its lock for sending.
func (s *stream) onSend(req *jsonrpc2.Request, _ *jsonrpc2.Response) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next = nil
	if req != nil {
		s.next = s.writes[req.ID]
	}
}

func (s *stream) takeNext() *requestWrite {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.next
	s.next = nil
	return w
}

// encode encodes parameters as JSON. It is called before a connection is picked, so that
// a value that can't be encoded affects no connection.
func encode(params any) (json.RawMessage, error) {
	if raw, ok := params.(json.RawMessage); ok && raw != nil {
		return raw, nil
	}
	return json.Marshal(params)
}

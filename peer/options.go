package peer

import (
	"context"
	"net"
	"time"

	"github.com/phuslu/log"

	"foxtailmux/model"
	"foxtailmux/pause"
)

// Directions of the bytes that OnBytes reports.
const (
	Sent     = "sent"
	Received = "received"
)

// Logger is the logger of a group, which logs at debug level only.
type Logger interface {
	Debug() *log.Entry
}

// Options configure a Group. Zero fields other than Self and ListenAddr take defaults.
type Options struct {
	Self       model.Entry // identity that the group sends in the response to a ping
	ListenAddr string      // IP:port

	Listen func(addr string) (net.Listener, error)
	Dial   func(ctx context.Context, addr string) (net.Conn, error)

	// PauseDetector detects that the process was paused, and ends the contexts of
	// the requests that were read before the pause. The group runs it. The default
	// is a detector of its own.
	PauseDetector *pause.Detector

	// OnBytes is called with the number of bytes of every read and write.
	OnBytes func(direction string, n int)

	// OnActivity is called when bytes from an incarnation of a peer arrive on a connection to
	// it, at most every 100 ms for each connection. It must not block.
	OnActivity func(peerID, incarnation string)

	// OnConnectResult is called with true when a connection to a peer was opened
	// and the peer responded on it, and with false when that failed. It must not
	// block.
	OnConnectResult func(peerID string, connected bool)

	// Clock returns the time since boot, suspensions included. The default is pause.SinceBoot.
	Clock func() time.Duration

	Log Logger // nil discards the messages

	MaxFrame        int // bytes of one message
	MaxOpenCalls    int // to one peer
	MaxOpenRequests int // in progress on one incoming connection

	// A connection that has received no bytes for ProbeInterval is probed by a ping
	// before a call uses it, and while calls wait on it. It is closed when there is
	// no response to the ping within ProbeTimeout.
	ProbeInterval time.Duration
	ProbeTimeout  time.Duration

	DialTimeout  time.Duration
	WriteTimeout time.Duration // of one message
	IdleTimeout  time.Duration // after which an outgoing connection without received bytes is closed; an incoming one after twice this time

	// Backoff between failed dials to one peer; it doubles with each failure.
	MinBackoff time.Duration
	MaxBackoff time.Duration
}

const (
	activityInterval = 100 * time.Millisecond // a fraction of the time without heartbeats after which a peer is suspected dead

	defaultMaxFrame        = 32 << 20 // bytes
	defaultMaxOpenCalls    = 1024
	defaultMaxOpenRequests = 1024
	defaultProbeInterval   = 500 * time.Millisecond
	defaultProbeTimeout    = 500 * time.Millisecond
	defaultDialTimeout     = time.Second
	defaultWriteTimeout    = time.Second
	defaultIdleTimeout     = 30 * time.Second
	defaultMinBackoff      = 20 * time.Millisecond
	defaultMaxBackoff      = time.Second
)

func (o Options) withDefaults() Options {
	if o.Listen == nil {
		o.Listen = listenTCP
	}
	if o.Dial == nil {
		o.Dial = dialTCP
	}
	if o.OnBytes == nil {
		o.OnBytes = func(string, int) {}
	}

	if o.Clock == nil {
		o.Clock = pause.SinceBoot
	}
	if o.Log == nil {
		o.Log = &log.Logger{Level: log.PanicLevel}
	}
	if o.PauseDetector == nil {
		o.PauseDetector = pause.NewDetector()
	}
	if o.OnActivity == nil {
		o.OnActivity = func(string, string) {}
	}
	if o.OnConnectResult == nil {
		o.OnConnectResult = func(string, bool) {}
	}

	setDefault(&o.MaxFrame, defaultMaxFrame)
	setDefault(&o.MaxOpenCalls, defaultMaxOpenCalls)
	setDefault(&o.MaxOpenRequests, defaultMaxOpenRequests)
	setDefault(&o.ProbeInterval, defaultProbeInterval)
	setDefault(&o.ProbeTimeout, defaultProbeTimeout)
	setDefault(&o.DialTimeout, defaultDialTimeout)
	setDefault(&o.WriteTimeout, defaultWriteTimeout)
	setDefault(&o.IdleTimeout, defaultIdleTimeout)
	setDefault(&o.MinBackoff, defaultMinBackoff)
	setDefault(&o.MaxBackoff, defaultMaxBackoff)
	return o
}

func setDefault[T int | time.Duration](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}

func listenTCP(addr string) (net.Listener, error) {
	return net.Listen("tcp", addr)
}

func dialTCP(ctx context.Context, addr string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", addr)
}

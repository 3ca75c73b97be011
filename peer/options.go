package peer

import (
	"context"
	"net"
	"time"

	"github.com/phuslu/log"

	"foxtailmux/model"
	"foxtailmux/pause"
)

// Directions that OnBytes reports.
const (
	Sent     = "sent"
	Received = "received"
)

// Logger takes what is of use when a fault is looked for.
type Logger interface {
	Debug() *log.Entry
}

// Options configure a Group. Fields left zero take their defaults.
type Options struct {
	Self       model.Entry
	ListenAddr string

	Listen func(addr string) (net.Listener, error)
	Dial   func(ctx context.Context, addr string) (net.Conn, error)

	// PauseDetector ends the requests that were read before a pause of the process.
	// The group runs it; nil takes one of its own.
	PauseDetector *pause.Detector

	// OnBytes is called with the bytes of every read and write.
	OnBytes func(direction string, n int)

	// OnActivity is called when bytes of a peer came on a connection to it, at most each
	// heardInterval. It must not block.
	OnActivity func(peerID string)

	// OnConnectResult is called when a peer answered on a new connection, and when
	// none to it could be opened. It must not block.
	OnConnectResult func(peerID string, reached bool)

	Log Logger // nil discards

	MaxFrame        int // bytes of one message
	MaxOpenCalls    int // open calls to one peer
	MaxOpenRequests int // requests in progress of one incoming connection

	// A connection that was silent for ProbeInterval is probed before a
	// call uses it, and while calls wait on it. It is closed when the probe is
	// not answered within ProbeTimeout.
	ProbeInterval time.Duration
	ProbeTimeout  time.Duration

	DialTimeout  time.Duration
	WriteTimeout time.Duration
	IdleTimeout  time.Duration

	MinBackoff time.Duration
	MaxBackoff time.Duration
}

const (
	heardInterval = 100 * time.Millisecond // a fraction of the silence after which a peer counts as dead

	defaultMaxFrame          = 32 << 20 // bytes
	defaultMaxCalls          = 1024
	defaultMaxServed         = 1024
	defaultHeartbeatInterval = 500 * time.Millisecond
	defaultHeartbeatTimeout  = 500 * time.Millisecond
	defaultDialTimeout       = time.Second
	defaultWriteTimeout      = time.Second
	defaultIdleTimeout       = 30 * time.Second
	defaultMinBackoff        = 20 * time.Millisecond
	defaultMaxBackoff        = time.Second
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

	if o.Log == nil {
		o.Log = &log.Logger{Level: log.PanicLevel}
	}
	if o.PauseDetector == nil {
		o.PauseDetector = pause.NewDetector()
	}
	if o.OnActivity == nil {
		o.OnActivity = func(string) {}
	}
	if o.OnConnectResult == nil {
		o.OnConnectResult = func(string, bool) {}
	}

	setDefault(&o.MaxFrame, defaultMaxFrame)
	setDefault(&o.MaxOpenCalls, defaultMaxCalls)
	setDefault(&o.MaxOpenRequests, defaultMaxServed)
	setDefault(&o.ProbeInterval, defaultHeartbeatInterval)
	setDefault(&o.ProbeTimeout, defaultHeartbeatTimeout)
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

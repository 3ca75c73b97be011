package member

import (
	"context"
	"encoding/json"
	"time"

	"github.com/phuslu/log"

	"foxtailmux/model"
)

// Transport carries requests between entry instances. peer.Group implements it.
type Transport interface {
	CallWithoutProbe(ctx context.Context, peerID, method string, params, result any) error
	Handle(method string, handler func(ctx context.Context, params json.RawMessage) (any, error))
	SetPeer(id, addr string)
	RemovePeer(id string)
}

// Logger receives debug messages.
type Logger interface {
	Debug() *log.Entry
}

// Options configures a Group. Load and Config are called several times per second.
// Config returns the version in force of the shared configuration and its digest.
// MinPeriod is the minimum time between two heartbeats to a member until
// SetMinPeriod changes it; 0 means 500 ms.
type Options struct {
	Self      model.Entry
	Seeds     []string // peer addresses, IP:port
	Transport Transport
	Load      func() model.Load
	Config    func() (number int64, digest string)

	// OnBytes is called for each exchange with the number of bytes sent and
	// received, packet headers included.
	OnBytes func(n int)

	Log        Logger // nil discards all messages
	MinPeriod  time.Duration
	RandomSeed uint64 // for the start delay; 0 draws a random one
}

const (
	defaultMinPeriod = 500 * time.Millisecond
	maxPeriod        = 10 * time.Second

	// Bytes per second for heartbeats sent and received, packet headers
	// included.
	trafficBudget = 2300

	exchangeTimeout = 2 * time.Second
	leaveTimeout    = time.Second

	// A member of the same data centre is suspect after this number of periods
	// without a heartbeat, and dead after twice that time.
	maxMissedPeriods = 3

	// Heartbeats of members in other data centres are mostly learned
	// from hints, which are less frequent than heartbeats.
	remoteSuspectAfter = 45 * time.Second
	remoteDeadAfter    = 2 * remoteSuspectAfter

	// An unreachable member gets its next heartbeat after this time, so that a
	// short failure costs little.
	retryUnreachableAfter = 2 * time.Second

	// A member without heartbeats is removed after this time. Until then its
	// record is kept, and it is probed while dead.
	forgetAfter = 10 * time.Minute

	// A tick that is later than this shows that the process was paused.
	pauseThreshold = time.Second

	// The first period is this multiple of the minimum period: the traffic does
	// not yet show the size of the group.
	initialPeriodFactor = 4

	hintsPerMessage         = 2
	maxPeriodGrowth         = 3 // factor from one period to the next
	linksPerCentrePair      = 2 // links between two data centres
	probesPerRound          = 4 // addresses without a known member
	maxRecords              = 512
	maxReplacedIncarnations = 4096
	requestOverhead         = 60  // bytes of a JSON-RPC request besides its parameters
	responseOverhead        = 42  // bytes of a JSON-RPC response besides its result
	packetOverhead          = 156 // bytes of the TCP and IP headers of request, response and acknowledgement
	heartbeatMethod         = "heartbeat"
	ticksPerPeriod          = 2
)

func (o Options) withDefaults() Options {
	if o.MinPeriod == 0 {
		o.MinPeriod = defaultMinPeriod
	}
	if o.OnBytes == nil {
		o.OnBytes = func(int) {}
	}
	if o.Log == nil {
		o.Log = &log.Logger{Level: log.PanicLevel}
	}
	if o.Load == nil {
		o.Load = func() model.Load { return model.Load{} }
	}
	if o.Config == nil {
		o.Config = func() (int64, string) { return 0, "" }
	}
	return o
}

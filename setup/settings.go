// Package setup loads the settings of one process from a YAML file, environment
// variables and command-line flags, and checks them.
package setup

import "time"

// Settings hold the configuration of one process, read once at its start.
// Addresses are IP:port; a listener with port 0 gets a free port from the
// kernel.
type Settings struct {
	Instance   string    `yaml:"instance" json:"instance"`
	DataCentre string    `yaml:"dataCentre" json:"dataCentre"`
	Callers    Callers   `yaml:"callers" json:"callers"`
	Operators  Operators `yaml:"operators" json:"operators"`
	Peers      Peers     `yaml:"peers" json:"peers"`
	Platform   Platform  `yaml:"platform" json:"platform"`
	Placement  Placement `yaml:"placement" json:"placement"`
	Limits     Limits    `yaml:"limits" json:"limits"`
	Stop       Stop      `yaml:"stop" json:"stop"`
	Log        Log       `yaml:"log" json:"log"`
}

// Callers configures the listener to which callers submit jobs. Sizes are in
// bytes.
type Callers struct {
	Addr           string        `yaml:"addr" json:"addr"`
	MaxBodyBytes   int           `yaml:"maxBodyBytes" json:"maxBodyBytes"`
	MaxHeaderBytes int           `yaml:"maxHeaderBytes" json:"maxHeaderBytes"`
	ReadTimeout    time.Duration `yaml:"readTimeout" json:"readTimeout"`
	IdleTimeout    time.Duration `yaml:"idleTimeout" json:"idleTimeout"`
	MaxConnections int           `yaml:"maxConnections" json:"maxConnections"`

	// ReadyAddr is the listener on which the load balancer of a users' platform
	// checks whether the instance accepts connections. There is none if it is
	// empty.
	ReadyAddr string `yaml:"readyAddr" json:"readyAddr"`
}

// Operators configures the listener for health, metrics, state and
// configuration. If MetricsAddr is set, metrics are served there as well.
type Operators struct {
	Addr        string `yaml:"addr" json:"addr"`
	MetricsAddr string `yaml:"metricsAddr" json:"metricsAddr"`
}

// Peers configures the listener for other instances. Seeds are the addresses of
// the instances that are contacted first to discover the others.
type Peers struct {
	Addr  string   `yaml:"addr" json:"addr"`
	Seeds []string `yaml:"seeds" json:"seeds"`
}

// Platform configures the connection to the platform, which provides the table,
// the object store and the list of instances. Timeout bounds one request.
// Adapter names the plug-in that implements the protocol of a users' platform;
// without one the protocol of package table is used. MaxLease is the longest
// lease that the workers of a users' platform grant, and ResubmitDelay the time after which its callers submit a job
// again that got no response.
type Platform struct {
	Addr     string        `yaml:"addr" json:"addr"`
	Timeout  time.Duration `yaml:"timeout" json:"timeout"`
	Adapter  string        `yaml:"adapter" json:"adapter"`
	MaxLease time.Duration `yaml:"maxLease" json:"maxLease"`

	ResubmitDelay time.Duration `yaml:"resubmitDelay" json:"resubmitDelay"`
}

// Placement configures which jobs a home starts where and when.
type Placement struct {
	// FarFactor is how many times as long a task takes on a worker outside the rack that holds its data.
	// 0 and 1 mean that it makes no difference.
	FarFactor float64 `yaml:"farFactor" json:"farFactor"`

	// Speeds makes a home learn how fast each worker runs tasks. It changes the
	// placement only where workers differ in speed.
	Speeds bool `yaml:"speeds" json:"speeds"`

	// Shares makes a home divide the capacity of a service with several queues
	// over them while it is short.
	Shares bool `yaml:"shares" json:"shares"`
}

// Limits bound the jobs, tasks and tickets that this process holds, even if the
// shared configuration allows more, and describe the machine.
type Limits struct {
	OpenJobs          int `yaml:"openJobs" json:"openJobs"`
	QueuedTasks       int `yaml:"queuedTasks" json:"queuedTasks"`
	TicketsPerRequest int `yaml:"ticketsPerRequest" json:"ticketsPerRequest"`

	// Cores is the number of cores of the machine. On a users' platform, each
	// data centre has a home: the one entry instance that at present owns its
	// workers and alone starts tasks on them. The instances with the most cores
	// become homes.
	Cores float64 `yaml:"processor" json:"processor"`

	// Link is the bandwidth of the machine's network link in Mbit/s, 0 if it is
	// not known. The timeout of a request to a worker is extended by the time
	// that the request queues for the link.
	Link float64 `yaml:"link" json:"link"`

	// Memory is the memory of the machine that the process may use, in MiB, and
	// Descriptors the number of files and sockets that it may have open. Both are
	// 0 if they are not known.
	Memory      int `yaml:"memory" json:"memory"`
	Descriptors int `yaml:"descriptors" json:"descriptors"`
}

// Stop configures a graceful shutdown. After it reports itself as not ready, the
// process accepts connections for DrainDelay, so that the load balancer notices.
// It exits after Limit even if requests are still in progress.
type Stop struct {
	DrainDelay time.Duration `yaml:"drainDelay" json:"drainDelay"`
	Limit      time.Duration `yaml:"limit" json:"limit"`
}

// Format is the encoding of log lines.
type Format string

// The encodings of log lines.
const (
	FormatJSON    Format = "json"
	FormatConsole Format = "console"
)

// Log configures logging. Level is the lowest level that is logged, one of
// LogLevels.
type Log struct {
	Level  string `yaml:"level" json:"level"`
	Format Format `yaml:"format" json:"format"`
}

const (
	kibibyte = 1 << 10
	mebibyte = 1 << 20
)

// Default returns the defaults of all settings. Instance and DataCentre have no
// default and must be set.
func Default() Settings {
	return Settings{
		Callers: Callers{
			Addr:           "127.0.0.1:8700",
			MaxBodyBytes:   4 * mebibyte,
			MaxHeaderBytes: 16 * kibibyte,
			ReadTimeout:    10 * time.Second,
			IdleTimeout:    time.Minute,
			MaxConnections: 4096,
		},
		Operators: Operators{Addr: "127.0.0.1:8701"},
		Peers:     Peers{Addr: "127.0.0.1:8702", Seeds: []string{}},
		Platform: Platform{
			Addr:     "127.0.0.1:8703",
			Timeout:  2 * time.Second,
			MaxLease: time.Second,

			ResubmitDelay: 1300 * time.Millisecond,
		},
		Limits: Limits{
			OpenJobs:          5000,
			QueuedTasks:       50_000,
			TicketsPerRequest: 1000,
			Cores:             1,
		},
		Stop: Stop{
			DrainDelay: 3 * time.Second,
			Limit:      75 * time.Second,
		},
		Log: Log{Level: "info", Format: FormatJSON},
	}
}

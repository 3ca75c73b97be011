// Package setup holds the settings of one process: the file, the environment
// and the flags they come from, and the checks they must pass.
package setup

import "time"

// Settings are what one process learns at its start. Addresses are IP:port;
// port 0 lets the kernel pick one.
type Settings struct {
	Instance   string    `yaml:"instance" json:"instance"`
	DataCentre string    `yaml:"dataCentre" json:"dataCentre"`
	Callers    Callers   `yaml:"callers" json:"callers"`
	Operators  Operators `yaml:"operators" json:"operators"`
	Peers      Peers     `yaml:"peers" json:"peers"`
	Platform   Platform  `yaml:"platform" json:"platform"`
	Limits     Limits    `yaml:"limits" json:"limits"`
	Stop       Stop      `yaml:"stop" json:"stop"`
	Log        Log       `yaml:"log" json:"log"`
}

// Callers is the listener that callers submit jobs to. Sizes are in bytes.
type Callers struct {
	Addr           string        `yaml:"addr" json:"addr"`
	MaxBodyBytes   int           `yaml:"maxBodyBytes" json:"maxBodyBytes"`
	MaxHeaderBytes int           `yaml:"maxHeaderBytes" json:"maxHeaderBytes"`
	ReadTimeout    time.Duration `yaml:"readTimeout" json:"readTimeout"`
	IdleTimeout    time.Duration `yaml:"idleTimeout" json:"idleTimeout"`
	MaxConnections int           `yaml:"maxConnections" json:"maxConnections"`

	// ReadyAddr is where the balancer of a users' platform asks whether the
	// instance takes connections.
	ReadyAddr string `yaml:"readyAddr" json:"readyAddr"`
}

// Operators is the listener for health, metrics, state and configuration.
// Metrics are served at MetricsAddr too, unless it is empty.
type Operators struct {
	Addr        string `yaml:"addr" json:"addr"`
	MetricsAddr string `yaml:"metricsAddr" json:"metricsAddr"`
}

// Peers is the listener for the other instances, and the addresses of those
// that are asked first for the rest.
type Peers struct {
	Addr  string   `yaml:"addr" json:"addr"`
	Seeds []string `yaml:"seeds" json:"seeds"`
}

// Platform is where the table, the object store and the list of instances are
// reached. Timeout bounds one request. Adapter names the plug-in that speaks a
// users' platform; without one the platform speaks the protocol of package
// table. MaxLease is the longest lease that workers of such a platform grant.
type Platform struct {
	Addr     string        `yaml:"addr" json:"addr"`
	Timeout  time.Duration `yaml:"timeout" json:"timeout"`
	Adapter  string        `yaml:"adapter" json:"adapter"`
	MaxLease time.Duration `yaml:"maxLease" json:"maxLease"`
}

// Limits bound what this process holds, whatever the shared configuration
// allows.
type Limits struct {
	OpenJobs          int `yaml:"openJobs" json:"openJobs"`
	QueuedTasks       int `yaml:"queuedTasks" json:"queuedTasks"`
	TicketsPerRequest int `yaml:"ticketsPerRequest" json:"ticketsPerRequest"`

	// Cores is what the machine has, in cores. On a users' platform the
	// homes go to the instances that have most.
	Cores float64 `yaml:"processor" json:"processor"`

	// Link is the bandwidth of the machine's network link, in megabits a second; 0 is
	// not known. Orders wait for their answers longer by the time that they queue.
	Link float64 `yaml:"link" json:"link"`
}

// Stop is the course of a graceful shutdown. The process stays open for
// DrainDelay after it turned unready, so that the balancer notices; it ends at
// Limit even if requests are still in progress.
type Stop struct {
	DrainDelay time.Duration `yaml:"drainDelay" json:"drainDelay"`
	Limit      time.Duration `yaml:"limit" json:"limit"`
}

// Format is the form of a log line.
type Format string

// The forms of a log line.
const (
	FormatJSON    Format = "json"
	FormatConsole Format = "console"
)

// Log says what is logged. Level is one of debug, info, warn and error.
type Log struct {
	Level  string `yaml:"level" json:"level"`
	Format Format `yaml:"format" json:"format"`
}

const (
	kibibyte = 1 << 10
	mebibyte = 1 << 20
)

// Default returns the value of every setting that file, environment and flags
// leave out. Instance and DataCentre have none and must be given.
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

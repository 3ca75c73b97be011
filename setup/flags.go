package setup

import (
	"flag"
	"io"
	"strings"
)

// EnvPrefix is the prefix of the environment variables that set fields, such as
// FOXTAILMUX_CALLERS_ADDR for callers.addr.
const EnvPrefix = "FOXTAILMUX_"

// KeyVariable is the environment variable with an operator's bearer key. Commands
// that send requests to an instance read it; it sets no field.
const KeyVariable = EnvPrefix + "KEY"

// FileVariable is the environment variable with the path of the settings file,
// used if no flag gives one. It sets no field.
const FileVariable = EnvPrefix + "CONFIG"

// Override is a field set by a command-line flag. Name is the field's path, such
// as callers.addr.
type Override struct {
	Name  string
	Value string
}

// Flags returns a flag set with one flag for each field, named by its path.
// Setting a flag writes to s.
func Flags(s *Settings) *flag.FlagSet {
	fs := flag.NewFlagSet("settings", flag.ContinueOnError)
	fs.SetOutput(io.Discard)

	fs.StringVar(&s.Instance, "instance", s.Instance, "id of this instance")
	fs.StringVar(&s.DataCentre, "dataCentre", s.DataCentre, "data centre of this instance")
	bindCallers(fs, &s.Callers)
	fs.StringVar(&s.Operators.Addr, "operators.addr", s.Operators.Addr, "IP:port for operators")
	fs.StringVar(&s.Operators.MetricsAddr, "operators.metricsAddr", s.Operators.MetricsAddr, "IP:port for metrics alone")
	fs.StringVar(&s.Peers.Addr, "peers.addr", s.Peers.Addr, "IP:port for peers")
	fs.Var((*commaSeparated)(&s.Peers.Seeds), "peers.seeds", "IP:port of peers, separated by commas")
	fs.StringVar(&s.Platform.Addr, "platform.addr", s.Platform.Addr, "IP:port of the platform")
	fs.DurationVar(&s.Platform.Timeout, "platform.timeout", s.Platform.Timeout, "time for a request to the platform")
	fs.StringVar(&s.Platform.Adapter, "platform.adapter", s.Platform.Adapter, "plug-in that speaks a users' platform")
	fs.DurationVar(&s.Platform.ResubmitDelay, "platform.resubmitDelay", s.Platform.ResubmitDelay, "time after which callers submit a job again that got no response")
	fs.DurationVar(&s.Platform.MaxLease, "platform.maxLease", s.Platform.MaxLease, "longest lease that workers grant")
	fs.Float64Var(&s.Placement.FarFactor, "placement.farFactor", s.Placement.FarFactor, "run time of a task outside the rack of its data over that in it; 0 is no difference")
	bindLimits(fs, &s.Limits)
	fs.BoolVar(&s.Placement.Speeds, "placement.speeds", s.Placement.Speeds, "learn how fast each worker runs tasks")
	fs.BoolVar(&s.Placement.Shares, "placement.shares", s.Placement.Shares, "divide short capacity over the queues of a service")
	fs.DurationVar(&s.Stop.DrainDelay, "stop.drainDelay", s.Stop.DrainDelay, "time for the balancer to notice a stop")
	fs.DurationVar(&s.Stop.Limit, "stop.limit", s.Stop.Limit, "longest time of a stop")
	fs.StringVar(&s.Log.Level, "log.level", s.Log.Level, "debug, info, warn or error")
	fs.StringVar((*string)(&s.Log.Format), "log.format", string(s.Log.Format), "json or console")
	return fs
}

func bindCallers(fs *flag.FlagSet, c *Callers) {
	fs.StringVar(&c.Addr, "callers.addr", c.Addr, "IP:port for callers")
	fs.IntVar(&c.MaxBodyBytes, "callers.maxBodyBytes", c.MaxBodyBytes, "largest body of a request, in bytes")
	fs.IntVar(&c.MaxHeaderBytes, "callers.maxHeaderBytes", c.MaxHeaderBytes, "largest header of a request, in bytes")
	fs.DurationVar(&c.ReadTimeout, "callers.readTimeout", c.ReadTimeout, "time to read a request")
	fs.DurationVar(&c.IdleTimeout, "callers.idleTimeout", c.IdleTimeout, "time until an idle connection is closed")
	fs.IntVar(&c.MaxConnections, "callers.maxConnections", c.MaxConnections, "most connections at once")
	fs.StringVar(&c.ReadyAddr, "callers.readyAddr", c.ReadyAddr, "IP:port for the balancer of a users' platform")
}

func bindLimits(fs *flag.FlagSet, l *Limits) {
	fs.IntVar(&l.OpenJobs, "limits.openJobs", l.OpenJobs, "most open jobs")
	fs.IntVar(&l.QueuedTasks, "limits.queuedTasks", l.QueuedTasks, "most queued tasks")
	fs.IntVar(&l.TicketsPerRequest, "limits.ticketsPerRequest", l.TicketsPerRequest, "most tickets in one request")
	fs.Float64Var(&l.Cores, "limits.processor", l.Cores, "cores of the machine")
	fs.Float64Var(&l.Link, "limits.link", l.Link, "bandwidth of the machine's link, in Mbit/s; 0 is not known")
	fs.IntVar(&l.Memory, "limits.memory", l.Memory, "memory of the machine for the process, in MiB; 0 is not known")
	fs.IntVar(&l.Descriptors, "limits.descriptors", l.Descriptors, "most open files and sockets; 0 is not known")
}

// EnvVariable returns the name of the environment variable that sets the field
// with that path.
func EnvVariable(field string) string {
	name := strings.ReplaceAll(field, ".", "_")
	return EnvPrefix + strings.ToUpper(name)
}

// commaSeparated is a flag.Value that holds a list of values.
type commaSeparated []string

// String returns the values separated by commas.
func (l *commaSeparated) String() string {
	return strings.Join(*l, ",")
}

// Set replaces the values by those in text, none if it is empty.
func (l *commaSeparated) Set(text string) error {
	*l = commaSeparated{}
	if text == "" {
		return nil
	}

	for value := range strings.SplitSeq(text, ",") {
		*l = append(*l, strings.TrimSpace(value))
	}
	return nil
}

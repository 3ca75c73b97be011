package load

import (
	"maps"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"foxtailmux/config"
	"foxtailmux/fakes"
	"foxtailmux/model"
)

// Preset describes a workload and the fleet of workers that serves it. Fields
// that end in Share are between 0 and 1.
type Preset struct {
	Name        string
	Pool        string
	Workers     int
	Slots       int // of each worker
	RackSize    int // workers in a rack
	DataCentres []string
	Capacity    model.Resources // of each worker
	Services    []Service
	Teams       []Team
	Burst       Burst
	CancelWaves CancelWaves

	NeverFitsShare   float64       // of jobs that need more than any worker has
	MisdeclaredShare float64       // of tasks whose declared run time is ten times or a tenth of the true one
	ResubmitShare    float64       // of jobs on tickets that are submitted a second time
	MaxResubmitWait  time.Duration // from the first to the second submission

	// OneWayDelay is the network delay between data centres. It documents the
	// workload; this package doesn't emulate it.
	OneWayDelay time.Duration
}

// Service describes the jobs of one service. A job is of a service with a
// probability in proportion to the weights of all services.
type Service struct {
	Name        string
	Weight      float64
	MedianTasks float64 // of a log-normal number of tasks for each job
	SigmaTasks  float64 // standard deviation of the logarithm of that number
	MaxTasks    int
	RunTime     RunTime
	Deadline    time.Duration
	Repeatable  bool
	TicketShare float64 // of jobs that are submitted on a ticket
	KeyShare    float64 // of jobs that have an idempotency key; none has both
	Needs       model.Resources
	EchoBytes   int // extra bytes in the result of each task
}

// RunTime is a log-normal distribution of run times, limited to Min and Max,
// with a share of longer runs that are uniform between Max and Longest.
type RunTime struct {
	Median    time.Duration
	Sigma     float64 // standard deviation of the logarithm
	Min       time.Duration
	Max       time.Duration
	LongShare float64 // of runs longer than Max
	Longest   time.Duration
}

// Team is a group of callers. A job is of a team with a probability in proportion
// to the weights of all teams.
type Team struct {
	Name   string
	Weight float64
}

// Burst describes periods of a higher arrival rate. TeamShare of the jobs of a
// burst come from one team, which each burst draws.
type Burst struct {
	MeanInterval time.Duration // mean time from the end of a burst to the start of the next
	Length       time.Duration
	RateFactor   float64 // arrival rate as a multiple of that outside bursts
	TeamShare    float64
}

// CancelWaves describes moments at which callers cancel many jobs at once. A
// wave cancels a share of the jobs on tickets that arrived within Window before
// it.
type CancelWaves struct {
	MeanInterval time.Duration // between waves, which are at least Window apart
	Window       time.Duration
	Share        float64
}

var presets = map[string]func() Preset{}

// RegisterPreset makes a preset available to NewPreset under the name. It must
// be called from an init function.
func RegisterPreset(name string, build func() Preset) {
	presets[name] = build
}

// NewPreset returns the preset of that name. It fails with KindOptions when
// none is registered.
func NewPreset(name string) (Preset, error) {
	build, ok := presets[name]
	if !ok {
		err := eris.Errorf("no preset %q, there are %v", name, slices.Sorted(maps.Keys(presets)))
		return Preset{}, &Error{Op: "find preset", Kind: KindOptions, Err: err}
	}
	return build(), nil
}

// TotalSlots returns the number of task slots of all workers.
func (p Preset) TotalSlots() int {
	return p.Workers * p.Slots
}

// Fleet returns the options of the stand-ins for the workers.
func (p Preset) Fleet() fakes.FleetOptions {
	return fakes.FleetOptions{
		Count:       p.Workers,
		Name:        p.Pool,
		Pool:        p.Pool,
		DataCentres: p.DataCentres,
		RackSize:    p.RackSize,
		Slots:       p.Slots,
		Capacity:    p.Capacity,
	}
}

// Document returns a configuration with the services, the pool and the teams
// of the preset, with every deadline multiplied by the time scale.
func (p Preset) Document(timeScale float64) config.Document {
	document := config.Default()
	document.Pools = []config.Pool{{Name: p.Pool}}
	for _, s := range p.Services {
		document.Services = append(document.Services, config.Service{
			Name:            s.Name,
			Pool:            p.Pool,
			MayRepeat:       s.Repeatable,
			MaxTasks:        s.MaxTasks,
			DefaultDeadline: scaleDeadline(s.Deadline, timeScale),
			MaxDeadline:     2 * scaleDeadline(s.Deadline, timeScale),
			ExpectedRun:     scale(s.RunTime.Median, timeScale),
		})
	}
	for _, t := range p.Teams {
		document.Teams = append(document.Teams, config.Team{Name: t.Name, Weight: 1})
	}
	return document
}

// scale multiplies a duration.
func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}

// minDeadline bounds scaled deadlines from below, since the overhead of an entry
// instance doesn't shrink with the time scale.
const minDeadline = 500 * time.Millisecond

func scaleDeadline(d time.Duration, factor float64) time.Duration {
	return max(scale(d, factor), minDeadline)
}

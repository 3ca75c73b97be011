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

// Preset describes a workload and the fleet of workers that serves it.
type Preset struct {
	Name        string
	Pool        string
	Workers     int
	Slots       int // of each worker
	RackSize    int
	DataCentres []string
	Capacity    model.Resources // of each worker
	Services    []Service
	Teams       []Team
	Burst       Burst
	Waves       Waves

	NeverFitsShare  float64 // of jobs, with needs above every worker
	WrongShare      float64 // of tasks, declared ten times too long or short
	ResubmitShare   float64 // of jobs on tickets, submitted a second time
	MaxResubmitWait time.Duration

	// OneWay is the delay between data centres, for information only: the
	// load tool doesn't add it.
	OneWay time.Duration
}

// Service describes the jobs of one service. Weights are relative.
type Service struct {
	Name        string
	Weight      float64
	MedianTasks float64
	SpreadTasks float64 // sigma of the log-normal number of tasks
	MaxTasks    int
	Run         RunTime
	Deadline    time.Duration
	Repeatable  bool
	TicketShare float64
	KeyShare    float64
	Needs       model.Resources
	EchoBytes   int
}

// RunTime is a log-normal distribution within bounds, with a share of longer
// runs that are uniform between Max and Longest.
type RunTime struct {
	Median    time.Duration
	Sigma     float64
	Min       time.Duration
	Max       time.Duration
	LongShare float64
	Longest   time.Duration
}

// Team is a source of jobs. Weights are relative.
type Team struct {
	Name   string
	Weight float64
}

// Burst describes phases of a higher arrival rate. TeamShare of the jobs of
// a burst come from one team.
type Burst struct {
	Every     time.Duration // mean time between bursts
	Length    time.Duration
	Factor    float64
	TeamShare float64
}

// Waves describes waves of cancellations. A wave cancels a share of the jobs
// on tickets that arrived within Window before it.
type Waves struct {
	Every  time.Duration
	Window time.Duration
	Share  float64
}

var presets = map[string]func() Preset{}

// RegisterPreset adds a preset to the table that NewPreset looks into.
func RegisterPreset(name string, build func() Preset) {
	presets[name] = build
}

// NewPreset returns the preset of that name. It fails with KindOptions when
// there is none.
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

// Fleet returns the options of stand-ins for the workers.
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
			ExpectedRun:     scale(s.Run.Median, timeScale),
		})
	}
	for _, t := range p.Teams {
		document.Teams = append(document.Teams, config.Team{Name: t.Name, Weight: 1})
	}
	return document
}

func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}

// minDeadline keeps scaled deadlines above the cost of the path itself.
const minDeadline = 500 * time.Millisecond

func scaleDeadline(d time.Duration, factor float64) time.Duration {
	return max(scale(d, factor), minDeadline)
}

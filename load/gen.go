package load

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"foxtailmux/fakes"
	"foxtailmux/model"
)

// Submission is a job together with what its sender knows of it. Times count
// from the start of the run. 0 in CancelAt and ResubmitAt means never.
type Submission struct {
	Index      int
	At         time.Duration
	Job        model.Job
	OnTicket   bool
	NeverFits  bool
	CancelAt   time.Duration
	ResubmitAt time.Duration
	Nonces     []string
	Ideal      time.Duration
	Work       time.Duration
}

// GeneratorOptions are the settings of a Generator.
type GeneratorOptions struct {
	Preset      Preset
	Seed        uint64
	RunID       string  // part of every nonce and key
	TimeScale   float64 // multiplies run times, deadlines, bursts and waves
	Utilisation float64 // share of the capacity that the mean load takes
}

// Generator produces the submissions of a run. Equal options give equal
// submissions.
type Generator struct {
	options GeneratorOptions
	random  *rand.Rand
	rate    float64 // jobs per second outside bursts
	index   int
	now     time.Duration

	burstFrom, burstUntil time.Duration
	burstTeam             string
	wave                  time.Duration
}

// Streams of the random numbers of one seed.
const (
	streamSubmissions = 1
	streamEstimate    = 2
)

// estimateJobs is the number of jobs that the mean work is estimated from.
const estimateJobs = 20_000

// NewGenerator returns a generator at the start of its run.
func NewGenerator(options GeneratorOptions) *Generator {
	options.Preset.Burst = options.Preset.Burst.scaled(options.TimeScale)
	options.Preset.Waves = options.Preset.Waves.scaled(options.TimeScale)
	g := &Generator{
		options: options,
		random:  rand.New(rand.NewPCG(options.Seed, streamSubmissions)),
	}
	perSecond := options.Utilisation * float64(options.Preset.TotalSlots()) / g.meanWork().Seconds()
	burst := options.Preset.Burst
	g.rate = perSecond / (1 + burst.share()*(burst.Factor-1))
	g.nextBurst(0)
	g.nextWave(0)
	return g
}

func (b Burst) scaled(factor float64) Burst {
	b.Every = scale(b.Every, factor)
	b.Length = scale(b.Length, factor)
	return b
}

func (w Waves) scaled(factor float64) Waves {
	w.Every = scale(w.Every, factor)
	w.Window = scale(w.Window, factor)
	return w
}

// share returns the share of time that bursts take.
func (b Burst) share() float64 {
	if b.Every <= 0 {
		return 0
	}
	return b.Length.Seconds() / (b.Every + b.Length).Seconds()
}

// meanWork estimates the slot time of a job.
func (g *Generator) meanWork() time.Duration {
	random := rand.New(rand.NewPCG(0, streamEstimate))
	var total time.Duration
	for range estimateJobs {
		service := g.options.Preset.service(random)
		for range service.tasks(random) {
			total += g.runTime(service.Run, random)
		}
	}
	return total / estimateJobs
}

// Next returns the next submission in order of arrival.
func (g *Generator) Next() Submission {
	g.advance()
	for g.wave > 0 && g.now > g.wave {
		g.nextWave(g.wave)
	}

	s := Submission{Index: g.index, At: g.now}
	g.index++
	g.fill(&s)
	g.plan(&s)
	return s
}

// advance moves the clock to the next arrival of a Poisson process whose
// rate is higher during bursts.
func (g *Generator) advance() {
	for {
		rate, until := g.rate, g.burstFrom
		if g.now >= g.burstFrom {
			rate, until = g.rate*g.options.Preset.Burst.Factor, g.burstUntil
		}
		next := g.now + seconds(g.random.ExpFloat64()/rate)
		if until <= 0 || next < until {
			g.now = next
			return
		}
		g.now = until
		if until == g.burstUntil {
			g.nextBurst(until)
		}
	}
}

// nextBurst draws the next burst after the given time.
func (g *Generator) nextBurst(after time.Duration) {
	burst := g.options.Preset.Burst
	if burst.Every <= 0 {
		g.burstFrom = math.MaxInt64
		return
	}
	g.burstFrom = after + max(1, scale(burst.Every, g.random.ExpFloat64()))
	g.burstUntil = g.burstFrom + burst.Length
	g.burstTeam = g.options.Preset.team(g.random)
}

func (g *Generator) nextWave(after time.Duration) {
	waves := g.options.Preset.Waves
	if waves.Every <= 0 {
		return
	}
	g.wave = after + max(waves.Window, scale(waves.Every, g.random.ExpFloat64()))
}

// fill draws the job of a submission.
func (g *Generator) fill(s *Submission) {
	service := g.options.Preset.service(g.random)
	s.Job = model.Job{
		Team:           g.options.Preset.team(g.random),
		Service:        service.Name,
		DeadlineMillis: scaleDeadline(service.Deadline, g.options.TimeScale).Milliseconds(),
		Repeatable:     service.Repeatable,
	}
	if g.now >= g.burstFrom && g.random.Float64() < g.options.Preset.Burst.TeamShare {
		s.Job.Team = g.burstTeam
	}

	var longest time.Duration
	for i := range service.tasks(g.random) {
		run := g.runTime(service.Run, g.random)
		longest = max(longest, run)
		s.Work += run
		nonce := fmt.Sprintf("%s-%d-%d", g.options.RunID, s.Index, i)
		s.Nonces = append(s.Nonces, nonce)
		s.Job.Tasks = append(s.Job.Tasks, g.task(service, nonce, run))
	}
	s.Ideal = ideal(longest, s.Work, g.options.Preset.TotalSlots())

	choice := g.random.Float64()
	s.OnTicket = choice < service.TicketShare
	if !s.OnTicket && choice < service.TicketShare+service.KeyShare {
		s.Job.IdempotencyKey = fmt.Sprintf("%s-%d", g.options.RunID, s.Index)
	}
}

// ideal returns the lowest response time that the slots permit.
func ideal(longest, work time.Duration, slots int) time.Duration {
	return max(longest, work/time.Duration(max(slots, 1)))
}

func (g *Generator) task(service Service, nonce string, run time.Duration) model.Task {
	payload, err := json.Marshal(fakes.Payload{
		Nonce:     nonce,
		RunMillis: run.Milliseconds(),
		EchoBytes: service.EchoBytes,
	})
	if err != nil {
		panic(err)
	}
	return model.Task{Payload: payload, ExpectedMillis: g.declare(run), Needs: service.Needs}
}

// declare returns the run time that the job declares, in milliseconds.
func (g *Generator) declare(run time.Duration) int64 {
	factor := math.Exp(0.3 * g.random.NormFloat64())
	if g.random.Float64() < g.options.Preset.WrongShare {
		factor = 0.1
		if g.random.Float64() < 0.5 {
			factor = 10
		}
	}
	return max(1, scale(run, factor).Milliseconds())
}

// neverFitsCores is above the cores of every worker.
const neverFitsCores = 100_000

// plan decides whether the job can never run, is cancelled or is submitted
// twice.
func (g *Generator) plan(s *Submission) {
	preset := g.options.Preset
	if g.random.Float64() < preset.NeverFitsShare {
		s.NeverFits = true
		s.Job.Tasks[len(s.Job.Tasks)-1].Needs.Cores = neverFitsCores
		return
	}
	if !s.OnTicket {
		return
	}
	if g.wave > 0 && g.wave-g.now < preset.Waves.Window && g.random.Float64() < preset.Waves.Share {
		s.CancelAt = g.wave
		return
	}
	if g.random.Float64() < preset.ResubmitShare {
		s.ResubmitAt = g.now + scale(preset.MaxResubmitWait, g.random.Float64()*g.options.TimeScale)
	}
}

// runTime draws a run time in whole milliseconds.
func (g *Generator) runTime(r RunTime, random *rand.Rand) time.Duration {
	run := scale(r.Median, math.Exp(r.Sigma*random.NormFloat64()))
	run = min(max(run, r.Min), r.Max)
	if random.Float64() < r.LongShare {
		run = r.Max + scale(r.Longest-r.Max, random.Float64())
	}
	run = scale(run, g.options.TimeScale).Round(time.Millisecond)
	return max(run, time.Millisecond)
}

// tasks draws the number of tasks of a job.
func (s Service) tasks(random *rand.Rand) int {
	count := int(math.Round(s.MedianTasks * math.Exp(s.SpreadTasks*random.NormFloat64())))
	return min(max(count, 1), s.MaxTasks)
}

func (p Preset) service(random *rand.Rand) Service {
	weights := make([]float64, len(p.Services))
	for i, s := range p.Services {
		weights[i] = s.Weight
	}
	return p.Services[pick(weights, random)]
}

func (p Preset) team(random *rand.Rand) string {
	weights := make([]float64, len(p.Teams))
	for i, t := range p.Teams {
		weights[i] = t.Weight
	}
	return p.Teams[pick(weights, random)].Name
}

// pick returns an index with a probability in proportion to its weight.
func pick(weights []float64, random *rand.Rand) int {
	total := 0.0
	for _, w := range weights {
		total += w
	}
	point := random.Float64() * total
	for i, w := range weights {
		if point < w {
			return i
		}
		point -= w
	}
	return len(weights) - 1
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}

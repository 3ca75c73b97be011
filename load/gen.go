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

// Submission is a job, the plan of when to send it, and the data that its answer
// is checked and measured against. SubmitAt, CancelAt and ResubmitAt count from
// the start of the run; CancelAt and ResubmitAt are 0 for a job that is not
// cancelled or resubmitted.
type Submission struct {
	Index      int
	SubmitAt   time.Duration
	Job        model.Job
	UsesTicket bool // submitted on a ticket, which is set when the job is sent
	NeverFits  bool // needs more than any worker has, so it must be refused
	CancelAt   time.Duration
	ResubmitAt time.Duration
	Nonces     []string      // of the tasks; each result must return its task's nonce
	Ideal      time.Duration // lowest response time that the slots permit
	Work       time.Duration // sum of the tasks' run times
}

// GeneratorOptions are the settings of a Generator.
type GeneratorOptions struct {
	Preset      Preset
	Seed        uint64
	RunID       string  // prefix of every nonce and idempotency key
	TimeScale   float64 // multiplies run times, deadlines, bursts and cancellation waves
	Utilisation float64 // mean load as a share of all slots, 0.8 for 80 %
}

// Generator draws the submissions of a run. Equal options give equal
// submissions. It may be used by one goroutine at a time.
type Generator struct {
	options  GeneratorOptions
	random   *rand.Rand
	baseRate float64 // jobs per second outside bursts
	index    int
	now      time.Duration // arrival of the last submission

	burstFrom, burstUntil time.Duration
	burstTeam             string
	waveAt                time.Duration // of the next cancellation wave; 0 without waves
}

// Streams of random numbers. They are separate so that the estimate of the mean
// work does not change the submissions.
const (
	streamSubmissions = 1
	streamEstimate    = 2
)

// estimateSampleJobs is the number of jobs that the mean work is estimated
// from.
const estimateSampleJobs = 20_000

// NewGenerator returns a generator of the submissions from the start of a run.
// It sets the arrival rate so that the mean load, bursts included, is the
// requested utilisation.
func NewGenerator(options GeneratorOptions) *Generator {
	options.Preset.Burst = options.Preset.Burst.scaled(options.TimeScale)
	options.Preset.CancelWaves = options.Preset.CancelWaves.scaled(options.TimeScale)
	g := &Generator{
		options: options,
		random:  rand.New(rand.NewPCG(options.Seed, streamSubmissions)),
	}
	meanRate := options.Utilisation * float64(options.Preset.TotalSlots()) / g.meanWork().Seconds()
	burst := options.Preset.Burst
	g.baseRate = meanRate / (1 + burst.timeShare()*(burst.RateFactor-1))
	g.scheduleBurst(0)
	g.scheduleWave(0)
	return g
}

func (b Burst) scaled(factor float64) Burst {
	b.MeanInterval = scale(b.MeanInterval, factor)
	b.Length = scale(b.Length, factor)
	return b
}

func (w CancelWaves) scaled(factor float64) CancelWaves {
	w.MeanInterval = scale(w.MeanInterval, factor)
	w.Window = scale(w.Window, factor)
	return w
}

// timeShare returns the share of the run that bursts take up.
func (b Burst) timeShare() float64 {
	if b.MeanInterval <= 0 {
		return 0
	}
	return b.Length.Seconds() / (b.MeanInterval + b.Length).Seconds()
}

// meanWork estimates the mean work of a job: the sum of its run times.
func (g *Generator) meanWork() time.Duration {
	random := rand.New(rand.NewPCG(0, streamEstimate))
	var total time.Duration
	for range estimateSampleJobs {
		service := g.options.Preset.drawService(random)
		for range service.drawTaskCount(random) {
			total += g.drawRunTime(service.RunTime, random)
		}
	}
	return total / estimateSampleJobs
}

// Next returns the next submission, in order of SubmitAt.
func (g *Generator) Next() Submission {
	g.advanceClock()
	for g.waveAt > 0 && g.now > g.waveAt {
		g.scheduleWave(g.waveAt)
	}

	s := Submission{Index: g.index, SubmitAt: g.now}
	g.index++
	g.drawJob(&s)
	g.drawSpecialCase(&s)
	return s
}

// advanceClock moves the clock to the next arrival of a Poisson process whose
// rate is higher during bursts. When the rate changes before the arrival that
// was drawn, it draws anew from the time of the change.
func (g *Generator) advanceClock() {
	for {
		rate, until := g.baseRate, g.burstFrom
		if g.now >= g.burstFrom {
			rate, until = g.baseRate*g.options.Preset.Burst.RateFactor, g.burstUntil
		}
		next := g.now + secondsToDuration(g.random.ExpFloat64()/rate)
		if until <= 0 || next < until {
			g.now = next
			return
		}
		g.now = until
		if until == g.burstUntil {
			g.scheduleBurst(until)
		}
	}
}

// scheduleBurst draws the time and the team of the next burst after the given
// time. If the preset has no bursts, the next one never starts.
func (g *Generator) scheduleBurst(after time.Duration) {
	burst := g.options.Preset.Burst
	if burst.MeanInterval <= 0 {
		g.burstFrom = math.MaxInt64
		return
	}
	g.burstFrom = after + max(1, scale(burst.MeanInterval, g.random.ExpFloat64()))
	g.burstUntil = g.burstFrom + burst.Length
	g.burstTeam = g.options.Preset.drawTeam(g.random)
}

// scheduleWave draws the time of the next cancellation wave after the given
// time.
func (g *Generator) scheduleWave(after time.Duration) {
	waves := g.options.Preset.CancelWaves
	if waves.MeanInterval <= 0 {
		return
	}
	g.waveAt = after + max(waves.Window, scale(waves.MeanInterval, g.random.ExpFloat64()))
}

// drawJob draws the service, team, tasks, and the ticket or key of a submission.
func (g *Generator) drawJob(s *Submission) {
	service := g.options.Preset.drawService(g.random)
	s.Job = model.Job{
		Team:           g.options.Preset.drawTeam(g.random),
		Service:        service.Name,
		DeadlineMillis: scaleDeadline(service.Deadline, g.options.TimeScale).Milliseconds(),
		Repeatable:     service.Repeatable,
	}
	if g.now >= g.burstFrom && g.random.Float64() < g.options.Preset.Burst.TeamShare {
		s.Job.Team = g.burstTeam
	}

	var longest time.Duration
	for i := range service.drawTaskCount(g.random) {
		run := g.drawRunTime(service.RunTime, g.random)
		longest = max(longest, run)
		s.Work += run
		nonce := fmt.Sprintf("%s-%d-%d", g.options.RunID, s.Index, i)
		s.Nonces = append(s.Nonces, nonce)
		s.Job.Tasks = append(s.Job.Tasks, g.newTask(service, nonce, run))
	}
	s.Ideal = idealResponse(longest, s.Work, g.options.Preset.TotalSlots())

	choice := g.random.Float64()
	s.UsesTicket = choice < service.TicketShare
	if !s.UsesTicket && choice < service.TicketShare+service.KeyShare {
		s.Job.IdempotencyKey = fmt.Sprintf("%s-%d", g.options.RunID, s.Index)
	}
}

// idealResponse returns the lowest response time that the slots permit: the
// longest run, or the time that all slots together take for the work.
func idealResponse(longest, work time.Duration, slots int) time.Duration {
	return max(longest, work/time.Duration(max(slots, 1)))
}

// newTask returns a task whose payload makes a worker stand-in run for the given
// time and return the nonce.
func (g *Generator) newTask(service Service, nonce string, run time.Duration) model.Task {
	payload, err := json.Marshal(fakes.Payload{
		Nonce:     nonce,
		RunMillis: run.Milliseconds(),
		EchoBytes: service.EchoBytes,
	})
	if err != nil {
		panic(err)
	}
	return model.Task{Payload: payload, ExpectedMillis: g.drawDeclaredMillis(run), Needs: service.Needs}
}

// drawDeclaredMillis returns the expected run time that a task declares, in
// milliseconds: the true one with a log-normal error, or for MisdeclaredShare of
// the tasks ten times or a tenth of it.
func (g *Generator) drawDeclaredMillis(run time.Duration) int64 {
	factor := math.Exp(0.3 * g.random.NormFloat64())
	if g.random.Float64() < g.options.Preset.MisdeclaredShare {
		factor = 0.1
		if g.random.Float64() < 0.5 {
			factor = 10
		}
	}
	return max(1, scale(run, factor).Milliseconds())
}

// neverFitsCores is more than any worker has.
const neverFitsCores = 100_000

// drawSpecialCase makes some jobs too large for every worker, and some jobs on
// tickets cancelled or submitted twice. A job is at most one of these.
func (g *Generator) drawSpecialCase(s *Submission) {
	preset := g.options.Preset
	if g.random.Float64() < preset.NeverFitsShare {
		s.NeverFits = true
		s.Job.Tasks[len(s.Job.Tasks)-1].Needs.Cores = neverFitsCores
		return
	}
	if !s.UsesTicket {
		return
	}
	if g.waveAt > 0 && g.waveAt-g.now < preset.CancelWaves.Window && g.random.Float64() < preset.CancelWaves.Share {
		s.CancelAt = g.waveAt
		return
	}
	if g.random.Float64() < preset.ResubmitShare {
		s.ResubmitAt = g.now + scale(preset.MaxResubmitWait, g.random.Float64()*g.options.TimeScale)
	}
}

// drawRunTime draws a run time in whole milliseconds, at least one.
func (g *Generator) drawRunTime(r RunTime, random *rand.Rand) time.Duration {
	run := scale(r.Median, math.Exp(r.Sigma*random.NormFloat64()))
	run = min(max(run, r.Min), r.Max)
	if random.Float64() < r.LongShare {
		run = r.Max + scale(r.Longest-r.Max, random.Float64())
	}
	run = scale(run, g.options.TimeScale).Round(time.Millisecond)
	return max(run, time.Millisecond)
}

// drawTaskCount draws the number of tasks of a job.
func (s Service) drawTaskCount(random *rand.Rand) int {
	count := int(math.Round(s.MedianTasks * math.Exp(s.SigmaTasks*random.NormFloat64())))
	return min(max(count, 1), s.MaxTasks)
}

func (p Preset) drawService(random *rand.Rand) Service {
	weights := make([]float64, len(p.Services))
	for i, s := range p.Services {
		weights[i] = s.Weight
	}
	return p.Services[drawIndex(weights, random)]
}

func (p Preset) drawTeam(random *rand.Rand) string {
	weights := make([]float64, len(p.Teams))
	for i, t := range p.Teams {
		weights[i] = t.Weight
	}
	return p.Teams[drawIndex(weights, random)].Name
}

// drawIndex returns an index with a probability in proportion to its weight.
func drawIndex(weights []float64, random *rand.Rand) int {
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

func secondsToDuration(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}

package load

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"

	"foxtailmux/model"
)

// Targets are the addresses of the entry instances, as IP and port.
type Targets struct {
	Entries  []string `yaml:"entries" json:"entries"` // for callers
	Admins   []string `yaml:"admins" json:"admins"`   // for operators; may be empty
	AdminKey string   `yaml:"adminKey" json:"-"`
}

// RunOptions are the settings of one run.
type RunOptions struct {
	GeneratorOptions
	Targets        Targets
	Duration       time.Duration
	Warmup         time.Duration // arrivals before it are sent but not recorded
	MaxOutstanding int           // bound of jobs in flight; 0 takes the default
	History        *History      // takes every answer; may be nil

	// FaultyWorkers are left out of Report.Others.
	FaultyWorkers map[string]bool

	// Direct answers the jobs in place of the entry instances. It may be nil.
	Direct func(model.Job) (status int, answer model.Answer)
}

// Limits of a run.
const (
	maxDuration           = time.Hour
	defaultMaxOutstanding = 20_000
	answerSlack           = 5 * time.Second // beyond the job's deadline
	ticketWait            = 200 * time.Millisecond
)

func (o RunOptions) validate() error {
	fail := func(reason string) error {
		return &Error{Op: "check options", Kind: KindOptions, Err: eris.New(reason)}
	}
	switch {
	case len(o.Targets.Entries) == 0 && o.Direct == nil:
		return fail("no entry addresses")
	case o.Duration <= 0 || o.Duration > maxDuration:
		return fail("duration must be above 0 and at most 1h")
	case o.Warmup < 0 || o.Warmup >= o.Duration:
		return fail("warmup must be at least 0 and below the duration")
	case o.TimeScale <= 0:
		return fail("timeScale must be above 0")
	case o.Utilisation <= 0:
		return fail("utilisation must be above 0")
	case len(o.Preset.Services) == 0 || len(o.Preset.Teams) == 0 || o.Preset.TotalSlots() <= 0:
		return fail("preset needs services, teams and slots")
	case o.RunID == "":
		return fail("no run id")
	}
	return nil
}

// runner sends the jobs of one run.
type runner struct {
	options  RunOptions
	client   *client
	supply   *supply
	recorder *recorder
	started  time.Time
	tasks    atomic.Int64 // sent, with those of the warm-up
	slots    chan struct{}
	group    conc.WaitGroup
}

// Run sends the jobs of a run, waits for every answer and returns the
// report. It fails with KindOptions on bad options. When the context ends,
// no further jobs are sent.
func Run(ctx context.Context, options RunOptions) (Report, error) {
	report, _, err := run(ctx, options)
	return report, err
}

// RunCurves is Run that also returns the curve of the overhead for a plot.
func RunCurves(ctx context.Context, options RunOptions) (Report, []Curve, error) {
	report, recorder, err := run(ctx, options)
	if err != nil {
		return Report{}, nil, err
	}
	return report, []Curve{{Name: options.Preset.Name, histogram: recorder.overhead}}, nil
}

func run(ctx context.Context, options RunOptions) (Report, *recorder, error) {
	if err := options.validate(); err != nil {
		return Report{}, nil, err
	}
	if options.MaxOutstanding == 0 {
		options.MaxOutstanding = defaultMaxOutstanding
	}

	r := &runner{
		options:  options,
		client:   newClient(options.Targets.Entries),
		recorder: newRecorder(),
		slots:    make(chan struct{}, options.MaxOutstanding),
	}
	r.recorder.faulty = options.FaultyWorkers
	before, beforeErr := scrape(options.Targets.Admins, options.Targets.AdminKey)
	r.sendAll(ctx)
	after, afterErr := scrape(options.Targets.Admins, options.Targets.AdminKey)

	report := r.recorder.finish()
	r.describe(&report)
	r.addMessages(&report, after.minus(before), firstError(beforeErr, afterErr))
	return report, r.recorder, nil
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// sendAll sends each job at its arrival and waits for the answers.
func (r *runner) sendAll(ctx context.Context) {
	generator := NewGenerator(r.options.GeneratorOptions)
	supplyCtx, stopSupply := context.WithCancel(ctx)
	var fetching conc.WaitGroup
	if r.options.Direct == nil {
		r.supply = newSupply(supplyCtx, r.client, fetching.Go)
	}

	r.started = time.Now()
	for {
		s := generator.Next()
		if s.At > r.options.Duration {
			break
		}
		pause(ctx, time.Until(r.started.Add(s.At)))
		if ctx.Err() != nil {
			break
		}
		r.dispatch(s)
	}

	r.group.Wait()
	stopSupply()
	fetching.Wait()
	r.client.http.CloseIdleConnections()
}

// dispatch starts the goroutine of a job unless too many are outstanding.
func (r *runner) dispatch(s Submission) {
	select {
	case r.slots <- struct{}{}:
	default:
		r.recorder.change(func(report *Report) { report.NotSent++ })
		return
	}
	r.group.Go(func() {
		defer func() { <-r.slots }()
		r.handle(s)
	})
}

func (r *runner) handle(s Submission) {
	recorder := r.recorder
	if s.At < r.options.Warmup {
		recorder = newRecorder()
		defer func() { r.keepFindings(recorder) }()
	}
	r.tasks.Add(int64(len(s.Job.Tasks)))
	if r.options.Direct != nil {
		s.OnTicket = false
		s.CancelAt, s.ResubmitAt = 0, 0
	}
	if s.OnTicket {
		r.takeTicket(&s, recorder)
	}

	recorder.sent(s, time.Since(r.started.Add(s.At)))
	var side conc.WaitGroup
	first, second := make(chan outcome, 1), make(chan outcome, 1)
	if s.CancelAt > 0 {
		side.Go(func() { r.cancel(s, recorder) })
	}
	if s.ResubmitAt > 0 {
		side.Go(func() { second <- r.submitAt(s, s.ResubmitAt) })
	}
	first <- r.submitAt(s, s.At)
	side.Wait()
	r.settle(recorder, <-first, second)
}

// keepFindings copies the findings of a job of the warm-up.
func (r *runner) keepFindings(warmup *recorder) {
	for _, f := range warmup.report.Findings {
		r.recorder.find(&f)
	}
}

// settle records the outcome of a job and that of its resubmission.
func (r *runner) settle(recorder *recorder, first outcome, second <-chan outcome) {
	recorder.add(first)
	if first.submission.ResubmitAt == 0 {
		return
	}
	again := <-second
	recorder.addAgain(again)
	if first.err == nil && again.err == nil {
		recorder.find(CheckResubmission(first.submission, first.answer, again.answer))
	}
}

// takeTicket puts a ticket on the job. A job that gets none is neither
// cancelled nor submitted twice.
func (r *runner) takeTicket(s *Submission, recorder *recorder) {
	ticket, ok := r.supply.take(ticketWait)
	if !ok {
		s.OnTicket = false
		s.CancelAt, s.ResubmitAt = 0, 0
		recorder.change(func(report *Report) { report.NoTicket++ })
		return
	}
	s.Job.Ticket = ticket
}

func (r *runner) submitAt(s Submission, at time.Duration) outcome {
	time.Sleep(time.Until(r.started.Add(at)))
	timeout := time.Duration(s.Job.DeadlineMillis)*time.Millisecond + answerSlack
	status, answer, err := r.submit(s.Job, timeout)

	o := outcome{submission: s, status: status, answer: answer, err: err}
	o.response = time.Since(r.started.Add(at))
	if err == nil {
		o.finding = Check(s, status, answer)
	}
	if r.options.History != nil {
		r.options.History.Observe(s, answer)
	}
	return o
}

func (r *runner) submit(job model.Job, timeout time.Duration) (int, model.Answer, error) {
	if r.options.Direct != nil {
		status, answer := r.options.Direct(job)
		return status, answer, nil
	}
	return r.client.submit(job, timeout)
}

func (r *runner) cancel(s Submission, recorder *recorder) {
	time.Sleep(time.Until(r.started.Add(s.CancelAt)))
	err := r.client.cancel(s.Job.Ticket)
	recorder.change(func(report *Report) {
		report.Cancellations++
		if err != nil {
			report.CancelErrors++
		}
	})
}

// describe copies the options of the run into its report.
func (r *runner) describe(report *Report) {
	report.Preset = r.options.Preset.Name
	report.Seed = r.options.Seed
	report.RunID = r.options.RunID
	report.DurationSeconds = (r.options.Duration - r.options.Warmup).Seconds()
	report.Utilisation = r.options.Utilisation
	report.TimeScale = r.options.TimeScale
}

// addMessages puts the messages of the run into the report. They cover the
// warm-up too, so they are divided by the tasks of the whole run.
func (r *runner) addMessages(report *Report, messages Messages, err error) {
	tasks := float64(r.tasks.Load())
	switch {
	case err != nil:
		report.MessagesReason = err.Error()
	case len(r.options.Targets.Admins) == 0:
		report.MessagesReason = "no operators' addresses"
	default:
		report.MessagesKnown = true
		report.Messages = messages
		report.NeededPerTask = share(messages.Needed, tasks)
		report.WastedPerTask = share(messages.Wasted, tasks)
	}
}

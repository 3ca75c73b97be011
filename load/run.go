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
	Entries  []string `yaml:"entries" json:"entries"` // callers' ports, used round-robin
	Admins   []string `yaml:"admins" json:"admins"`   // operators' ports, for the metrics; may be empty
	AdminKey string   `yaml:"adminKey" json:"-"`      // bearer token at the operators' ports; may be empty
}

// RunOptions are the settings of one run.
type RunOptions struct {
	GeneratorOptions
	Targets        Targets
	Duration       time.Duration // time during which jobs arrive
	Warmup         time.Duration // jobs that arrive before it are sent, but only their violations are recorded
	MaxOutstanding int           // limit of jobs without an answer; 0 takes the default
	History        *History      // observes every answer; may be nil

	// FaultyWorkers holds the ids of workers with injected faults. A job with a
	// task on one of them is left out of Report.HealthyResponse.
	FaultyWorkers map[string]bool

	// SubmitDirect runs a job on the workers without an entry instance; such jobs
	// have no tickets, cancellations or second submissions. When it is nil, jobs
	// are sent to the entry instances.
	SubmitDirect func(model.Job) (status int, answer model.Answer)
}

// Limits of a run.
const (
	maxRunDuration        = time.Hour
	defaultMaxOutstanding = 20_000
	answerGrace           = 5 * time.Second        // added to the job's deadline for the timeout of its request
	ticketTimeout         = 200 * time.Millisecond // then the job is sent without a ticket
)

func (o RunOptions) validate() error {
	fail := func(reason string) error {
		return &Error{Op: "check options", Kind: KindOptions, Err: eris.New(reason)}
	}
	switch {
	case len(o.Targets.Entries) == 0 && o.SubmitDirect == nil:
		return fail("no entry addresses")
	case o.Duration <= 0 || o.Duration > maxRunDuration:
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

// runner sends the jobs of one run and records their outcomes.
type runner struct {
	options          RunOptions
	client           *client
	ticketPrefetcher *ticketPrefetcher
	recorder         *recorder
	startTime        time.Time
	tasksSent        atomic.Int64  // tasks of all jobs sent, warm-up included
	inFlight         chan struct{} // semaphore of jobs without an answer
	group            conc.WaitGroup
}

// Run sends the jobs of a run, waits for every answer and returns the report.
// It fails with KindOptions on bad options. When the context ends, it stops
// sending and reports on the jobs sent so far.
func Run(ctx context.Context, options RunOptions) (Report, error) {
	report, _, err := run(ctx, options)
	return report, err
}

// RunWithCurves does the same as Run and also returns the distribution of the
// overhead for a plot.
func RunWithCurves(ctx context.Context, options RunOptions) (Report, []Curve, error) {
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
		inFlight: make(chan struct{}, options.MaxOutstanding),
	}
	r.recorder.faultyWorkers = options.FaultyWorkers
	before, beforeErr := scrape(options.Targets.Admins, options.Targets.AdminKey)
	r.sendAll(ctx)
	after, afterErr := scrape(options.Targets.Admins, options.Targets.AdminKey)

	report := r.recorder.summarise()
	r.copyOptions(&report)
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

// sendAll sends each job at its planned time and waits for all answers.
func (r *runner) sendAll(ctx context.Context) {
	generator := NewGenerator(r.options.GeneratorOptions)
	fetchCtx, stopFetching := context.WithCancel(ctx)
	var fetchers conc.WaitGroup
	if r.options.SubmitDirect == nil {
		r.ticketPrefetcher = newTicketPrefetcher(fetchCtx, r.client, fetchers.Go)
	}

	r.startTime = time.Now()
	for {
		s := generator.Next()
		if s.SubmitAt > r.options.Duration {
			break
		}
		sleep(ctx, time.Until(r.startTime.Add(s.SubmitAt)))
		if ctx.Err() != nil {
			break
		}
		r.startJob(s)
	}

	r.group.Wait()
	stopFetching()
	fetchers.Wait()
	r.client.http.CloseIdleConnections()
}

// startJob starts a goroutine that sends the job. When MaxOutstanding jobs are
// without an answer, it only counts the job as not sent, so that a slow
// instance doesn't slow down the arrivals.
func (r *runner) startJob(s Submission) {
	select {
	case r.inFlight <- struct{}{}:
	default:
		r.recorder.updateReport(func(report *Report) { report.NotSent++ })
		return
	}
	r.group.Go(func() {
		defer func() { <-r.inFlight }()
		r.sendJob(s)
	})
}

// sendJob sends a job, and its cancellation or second submission if it has one,
// and records the outcome. Jobs of the warm-up go to a recorder of their own, of
// which only the findings are kept.
func (r *runner) sendJob(s Submission) {
	recorder := r.recorder
	if s.SubmitAt < r.options.Warmup {
		recorder = newRecorder()
		defer func() { r.copyFindings(recorder) }()
	}
	r.tasksSent.Add(int64(len(s.Job.Tasks)))
	if r.options.SubmitDirect != nil {
		s.UsesTicket = false
		s.CancelAt, s.ResubmitAt = 0, 0
	}
	if s.UsesTicket {
		r.takeTicket(&s, recorder)
	}

	recorder.recordSent(s, time.Since(r.startTime.Add(s.SubmitAt)))
	var side conc.WaitGroup
	first, second := make(chan outcome, 1), make(chan outcome, 1)
	if s.CancelAt > 0 {
		side.Go(func() { r.cancel(s, recorder) })
	}
	if s.ResubmitAt > 0 {
		side.Go(func() { second <- r.submitAt(s, s.ResubmitAt) })
	}
	first <- r.submitAt(s, s.SubmitAt)
	side.Wait()
	r.recordOutcomes(recorder, <-first, second)
}

// copyFindings adds the findings on a job of the warm-up to the report of the
// run, since a violation counts at any time.
func (r *runner) copyFindings(warmup *recorder) {
	for _, f := range warmup.report.Findings {
		r.recorder.addFinding(&f)
	}
}

// recordOutcomes records the outcome of a job and of its second submission, and
// compares the two answers.
func (r *runner) recordOutcomes(recorder *recorder, first outcome, second <-chan outcome) {
	recorder.recordFirst(first)
	if first.submission.ResubmitAt == 0 {
		return
	}
	resubmitted := <-second
	recorder.recordResubmission(resubmitted)
	if first.err == nil && resubmitted.err == nil {
		recorder.addFinding(CheckResubmission(first.submission, first.answer, resubmitted.answer))
	}
}

// takeTicket sets the ticket of the job. When none comes in time, the job is
// sent without a ticket and neither cancelled nor submitted twice.
func (r *runner) takeTicket(s *Submission, recorder *recorder) {
	ticket, ok := r.ticketPrefetcher.take(ticketTimeout)
	if !ok {
		s.UsesTicket = false
		s.CancelAt, s.ResubmitAt = 0, 0
		recorder.updateReport(func(report *Report) { report.NoTicket++ })
		return
	}
	s.Job.Ticket = ticket
}

func (r *runner) submitAt(s Submission, at time.Duration) outcome {
	time.Sleep(time.Until(r.startTime.Add(at)))
	timeout := time.Duration(s.Job.DeadlineMillis)*time.Millisecond + answerGrace
	status, answer, err := r.submit(s.Job, timeout)

	o := outcome{submission: s, status: status, answer: answer, err: err}
	o.response = time.Since(r.startTime.Add(at))
	if err == nil {
		o.finding = Check(s, status, answer)
	}
	if r.options.History != nil {
		r.options.History.Observe(s, answer)
	}
	return o
}

func (r *runner) submit(job model.Job, timeout time.Duration) (int, model.Answer, error) {
	if r.options.SubmitDirect != nil {
		status, answer := r.options.SubmitDirect(job)
		return status, answer, nil
	}
	return r.client.submit(job, timeout)
}

func (r *runner) cancel(s Submission, recorder *recorder) {
	time.Sleep(time.Until(r.startTime.Add(s.CancelAt)))
	err := r.client.cancel(s.Job.Ticket)
	recorder.updateReport(func(report *Report) {
		report.Cancellations++
		if err != nil {
			report.CancelErrors++
		}
	})
}

// copyOptions copies the options of the run into its report.
func (r *runner) copyOptions(report *Report) {
	report.Preset = r.options.Preset.Name
	report.Seed = r.options.Seed
	report.RunID = r.options.RunID
	report.DurationSeconds = (r.options.Duration - r.options.Warmup).Seconds()
	report.Utilisation = r.options.Utilisation
	report.TimeScale = r.options.TimeScale
}

// addMessages puts the message counts of the run into the report, or the reason
// why they are unknown. They include the warm-up, so the counts per task divide
// by the tasks of the whole run.
func (r *runner) addMessages(report *Report, messages Messages, err error) {
	tasks := float64(r.tasksSent.Load())
	switch {
	case err != nil:
		report.MessagesUnknownReason = err.Error()
	case len(r.options.Targets.Admins) == 0:
		report.MessagesUnknownReason = "no operators' addresses"
	default:
		report.MessagesKnown = true
		report.Messages = messages
		report.NeededPerTask = ratio(messages.Needed, tasks)
		report.WastedPerTask = ratio(messages.Wasted, tasks)
	}
}

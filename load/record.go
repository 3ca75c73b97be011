package load

import (
	"encoding/json"
	"errors"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"foxtailmux/fakes"
	"foxtailmux/model"
)

// maxFindings is the number of findings that a report lists; it counts the
// others.
const maxFindings = 20

// recorder collects the outcomes of the jobs of a run. It may be used by several
// goroutines.
type recorder struct {
	mu                sync.Mutex
	report            Report
	response          histogram
	overhead          histogram
	responseOverIdeal histogram
	healthyResponse   histogram // responses of jobs without a task on a faulty worker
	faultyWorkers     map[string]bool
	refusedAfter      histogram // response times of answers that the job did not run
	senderLag         histogram // delay of sending after the planned time
	teams             map[string]*teamRecord
	total             goodput // of all teams
}

// goodput counts the jobs and their work (the sum of their run times), and the
// part of both that was answered completely before the deadline.
type goodput struct {
	jobs, jobsInTime int
	jobsLost         int // jobs that failed and may have run
	work, workInTime time.Duration
}

// teamRecord holds the measurements of one team's jobs.
type teamRecord struct {
	goodput
	overhead histogram
}

func newRecorder() *recorder {
	return &recorder{
		report: Report{
			Results:         map[string]int{},
			Ran:             map[string]int{},
			Refusals:        map[string]int{},
			Statuses:        map[string]int{},
			TransportErrors: map[string]int{},
			Violations:      map[string]int{},
		},
		response:          newHistogram(),
		overhead:          newHistogram(),
		responseOverIdeal: newHistogram(),
		healthyResponse:   newHistogram(),
		refusedAfter:      newHistogram(),
		senderLag:         newHistogram(),
		teams:             map[string]*teamRecord{},
	}
}

// outcome is the answer to a submission, or the error in its place.
type outcome struct {
	submission Submission
	status     int
	answer     model.Answer
	err        error         // set if no answer arrived
	response   time.Duration // from the planned time of the submission
	finding    *Finding      // violation by the answer; nil if there is none
}

// updateReport calls apply with the report under the lock.
func (r *recorder) updateReport(apply func(*Report)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	apply(&r.report)
}

// recordSent records that a job was sent, and how long after its planned time.
func (r *recorder) recordSent(s Submission, lag time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Jobs++
	r.report.Tasks += len(s.Job.Tasks)
	r.senderLag.record(lag)
}

// recordFirst records the outcome of a job's first submission. Cancelled jobs
// and jobs that can never run don't count for goodput, refusal times and
// losses.
func (r *recorder) recordFirst(o outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.countAnswer(o)
	if o.submission.NeverFits {
		r.recordNeverFits(o)
		return
	}

	complete := o.complete()
	if complete {
		r.response.record(o.response)
		r.overhead.record(o.response - o.submission.Ideal)
		r.responseOverIdeal.record(ratioAsMillis(o.response, o.submission.Ideal))
	}
	if complete && !o.ranOn(r.faultyWorkers) {
		r.healthyResponse.record(o.response)
	}
	if o.submission.CancelAt > 0 {
		return
	}
	team := r.teamRecord(o.submission.Job.Team)
	if complete {
		team.overhead.record(o.response - o.submission.Ideal)
	}
	if o.refused() {
		r.refusedAfter.record(o.response)
	}
	deadline := time.Duration(o.submission.Job.DeadlineMillis) * time.Millisecond
	inTime := complete && o.response <= deadline
	team.add(o.submission, inTime)
	r.total.add(o.submission, inTime)
	if o.lost() {
		r.total.jobsLost++
	}
}

// recordResubmission records the outcome of the second submission on a ticket.
func (r *recorder) recordResubmission(o outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Resubmissions++
	r.countAnswer(o)
}

// complete reports whether the answer is complete and without a finding.
func (o outcome) complete() bool {
	return o.err == nil && o.finding == nil && o.answer.Result == model.Complete
}

// lost reports whether the job failed and may have run, so that its caller can't
// safely submit it again.
func (o outcome) lost() bool {
	return o.err != nil || o.answer.Result == model.Failed && o.answer.Ran != model.RanNo
}

// refused reports whether the job failed without having run.
func (o outcome) refused() bool {
	return o.err == nil && o.answer.Result == model.Failed && o.answer.Ran == model.RanNo
}

// ranOn reports whether one of the results comes from one of the workers.
func (o outcome) ranOn(workers map[string]bool) bool {
	if len(workers) == 0 {
		return false
	}
	for _, raw := range o.answer.Tasks {
		var result fakes.TaskResult
		if err := json.Unmarshal(raw, &result); err == nil && workers[result.Worker] {
			return true
		}
	}
	return false
}

// countAnswer counts the answer by HTTP status, result, ran and failure kind, or
// the missing answer by the class of the error.
func (r *recorder) countAnswer(o outcome) {
	if o.err != nil {
		r.report.TransportErrors[errorClass(o)]++
		return
	}
	r.report.Statuses[strconv.Itoa(o.status)]++
	r.report.Results[string(o.answer.Result)]++
	if o.answer.Result != model.Complete {
		r.report.Ran[string(o.answer.Ran)]++
	}
	if o.answer.Error != nil {
		r.report.Refusals[string(o.answer.Error.Kind)]++
	}
	if o.finding != nil {
		r.report.AddFindings([]Finding{*o.finding})
	}
}

// addFinding adds a finding to the report; nil is none.
func (r *recorder) addFinding(f *Finding) {
	if f == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.AddFindings([]Finding{*f})
}

// recordNeverFits counts a job that can never run, and whether it was refused
// with the failure kind for that.
func (r *recorder) recordNeverFits(o outcome) {
	r.report.NeverFits++
	if o.answer.Error == nil || o.answer.Error.Kind != model.FailNeverFits || o.answer.Ran != model.RanNo {
		r.report.NeverFitsNotRefused++
	}
}

// teamRecord returns the record of a team, which it creates if needed.
func (r *recorder) teamRecord(name string) *teamRecord {
	team, ok := r.teams[name]
	if !ok {
		team = &teamRecord{overhead: newHistogram()}
		r.teams[name] = team
	}
	return team
}

func (g *goodput) add(s Submission, inTime bool) {
	g.jobs++
	g.work += s.Work
	if inTime {
		g.jobsInTime++
		g.workInTime += s.Work
	}
}

// workShare returns the share of the work that was answered in time.
func (g *goodput) workShare() float64 {
	return ratio(g.workInTime.Seconds(), g.work.Seconds())
}

// errorClass classifies the error because of which there is no answer.
func errorClass(o outcome) string {
	switch {
	case errors.Is(o.err, fasthttp.ErrTimeout):
		return "timeout"
	case errors.Is(o.err, fasthttp.ErrDialTimeout):
		return "dialTimeout"
	case errors.Is(o.err, fasthttp.ErrConnectionClosed):
		return "connectionClosed"
	case o.status != 0:
		return "notJson"
	default:
		return "other"
	}
}

// ratioAsMillis returns the ratio of two durations as milliseconds, so that a
// histogram, which records durations, reports a ratio of 1 as 1.
func ratioAsMillis(response, ideal time.Duration) time.Duration {
	return scale(time.Millisecond, ratio(response.Seconds(), ideal.Seconds()))
}

// summarise returns the report with the quantiles and shares of all recorded
// outcomes.
func (r *recorder) summarise() Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	report := r.report
	report.Response = r.response.quantiles()
	report.Overhead = r.overhead.quantiles()
	report.ResponseOverIdeal = r.responseOverIdeal.quantiles()
	report.HealthyResponse = r.healthyResponse.quantiles()
	report.RefusedAfter = r.refusedAfter.quantiles()
	report.LostShare = ratio(float64(r.total.jobsLost), float64(r.total.jobs))
	report.SenderLag = r.senderLag.quantiles()
	report.InTimeShare = ratio(float64(r.total.jobsInTime), float64(r.total.jobs))
	report.WorkInTimeShare = r.total.workShare()
	r.summariseTeams(&report)
	return report
}

func (r *recorder) summariseTeams(report *Report) {
	var shares []float64
	for name, team := range r.teams {
		report.Teams = append(report.Teams, TeamReport{
			Name:            name,
			Jobs:            team.jobs,
			WorkInTimeShare: team.workShare(),
			Overhead:        team.overhead.quantiles(),
		})
		shares = append(shares, team.workShare())
	}
	slices.SortFunc(report.Teams, func(a, b TeamReport) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})

	report.JainIndex = JainIndex(shares)
	if len(shares) > 0 {
		report.WorstOverBest = ratio(slices.Min(shares), slices.Max(shares))
	}
}

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

// maxFindings bounds the findings that a report shows in full.
const maxFindings = 20

// recorder collects the outcomes of the jobs of a run.
type recorder struct {
	mu       sync.Mutex
	report   Report
	response histogram
	overhead histogram
	ratio    histogram
	others   histogram // responses without a task on a faulty worker
	faulty   map[string]bool
	refused  histogram // until the answer that nothing ran
	lag      histogram
	teams    map[string]*teamRecord
	total    good
}

// good counts the jobs and the slot time that were asked for and the part
// that was answered in time.
type good struct {
	jobs, jobsInTime int
	lost             int // failed after they may have run
	work, workInTime time.Duration
}

type teamRecord struct {
	good
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
		response: newHistogram(),
		overhead: newHistogram(),
		ratio:    newHistogram(),
		others:   newHistogram(),
		refused:  newHistogram(),
		lag:      newHistogram(),
		teams:    map[string]*teamRecord{},
	}
}

// outcome is what a submission led to.
type outcome struct {
	submission Submission
	status     int
	answer     model.Answer
	err        error
	response   time.Duration
	finding    *Finding
}

// change updates the report under the lock.
func (r *recorder) change(apply func(*Report)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	apply(&r.report)
}

func (r *recorder) sent(s Submission, lag time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Jobs++
	r.report.Tasks += len(s.Job.Tasks)
	r.lag.record(lag)
}

// add records the outcome of a first submission.
func (r *recorder) add(o outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.count(o)
	if o.submission.NeverFits {
		r.addNeverFits(o)
		return
	}

	complete := o.complete()
	if complete {
		r.response.record(o.response)
		r.overhead.record(o.response - o.submission.Ideal)
		r.ratio.record(ratioAsMillis(o.response, o.submission.Ideal))
	}
	if complete && !o.ranOn(r.faulty) {
		r.others.record(o.response)
	}
	if o.submission.CancelAt > 0 {
		return
	}
	team := r.team(o.submission.Job.Team)
	if complete {
		team.overhead.record(o.response - o.submission.Ideal)
	}
	if o.refused() {
		r.refused.record(o.response)
	}
	deadline := time.Duration(o.submission.Job.DeadlineMillis) * time.Millisecond
	inTime := complete && o.response <= deadline
	team.add(o.submission, inTime)
	r.total.add(o.submission, inTime)
	if o.lost() {
		r.total.lost++
	}
}

// addAgain records the outcome of a second submission on a ticket.
func (r *recorder) addAgain(o outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Resubmissions++
	r.count(o)
}

// complete tells whether the answer is complete and without a finding.
func (o outcome) complete() bool {
	return o.err == nil && o.finding == nil && o.answer.Result == model.Complete
}

// lost tells whether the job failed and may not be submitted again safely.
func (o outcome) lost() bool {
	return o.err != nil || o.answer.Result == model.Failed && o.answer.Ran != model.RanNo
}

// refused tells whether the answer says that the job did not run.
func (o outcome) refused() bool {
	return o.err == nil && o.answer.Result == model.Failed && o.answer.Ran == model.RanNo
}

// ranOn tells whether a task ran on one of the workers.
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

// count counts the answer by its status, result and kind.
func (r *recorder) count(o outcome) {
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
		r.report.Add([]Finding{*o.finding})
	}
}

func (r *recorder) find(f *Finding) {
	if f == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Add([]Finding{*f})
}

func (r *recorder) addNeverFits(o outcome) {
	r.report.NeverFits++
	if o.answer.Error == nil || o.answer.Error.Kind != model.FailNeverFits || o.answer.Ran != model.RanNo {
		r.report.NeverFitsWrong++
	}
}

func (r *recorder) team(name string) *teamRecord {
	team, ok := r.teams[name]
	if !ok {
		team = &teamRecord{overhead: newHistogram()}
		r.teams[name] = team
	}
	return team
}

func (g *good) add(s Submission, inTime bool) {
	g.jobs++
	g.work += s.Work
	if inTime {
		g.jobsInTime++
		g.workInTime += s.Work
	}
}

func (g *good) workShare() float64 {
	return share(g.workInTime.Seconds(), g.work.Seconds())
}

// errorClass names why there was no answer.
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

// ratioAsMillis returns the ratio of two durations in the unit that the
// histogram reports as 1.
func ratioAsMillis(response, ideal time.Duration) time.Duration {
	return scale(time.Millisecond, share(response.Seconds(), ideal.Seconds()))
}

// finish computes the summary of everything recorded.
func (r *recorder) finish() Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	report := r.report
	report.Response = r.response.quantiles()
	report.Overhead = r.overhead.quantiles()
	report.Ratio = r.ratio.quantiles()
	report.Others = r.others.quantiles()
	report.RefusedAfter = r.refused.quantiles()
	report.LostShare = share(float64(r.total.lost), float64(r.total.jobs))
	report.SenderLag = r.lag.quantiles()
	report.InTimeShare = share(float64(r.total.jobsInTime), float64(r.total.jobs))
	report.WorkInTimeShare = r.total.workShare()
	r.finishTeams(&report)
	return report
}

func (r *recorder) finishTeams(report *Report) {
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

	report.Jain = Jain(shares)
	if len(shares) > 0 {
		report.WorstOverBest = share(slices.Min(shares), slices.Max(shares))
	}
}

package subcmd

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/peterbourgon/ff/v4"

	"foxtailmux/model"
	"foxtailmux/setup"
)

const (
	submitExample = "submit -entry 127.0.0.1:8700 -team malabar -service quote -tasks 3 -payload '{\"item\":\"bench\"}'"

	jobsPath    = "/v1/jobs"
	ticketsPath = "/v1/tickets"

	ticketTimeout = 5 * time.Second

	// answerTimeout is the timeout of a job without a deadline. That of a job with a
	// deadline is answerMargin longer than the deadline.
	answerTimeout = 2 * time.Minute
	answerMargin  = 10 * time.Second
)

func init() {
	register(Command{Name: "submit", Example: submitExample, Build: newSubmit})
}

// submitFlags are the flags of the command submit.
type submitFlags struct {
	jobFlags
	entries string
	ticket  bool
	format  string
}

func newSubmit(s Streams) *ff.Command {
	var f submitFlags
	fs := newFlags("submit")
	f.bind(fs)
	fs.StringVar(&f.entries, "entry", setup.Default().Callers.Addr, "IP:port of entry instances, separated by commas")
	fs.BoolVar(&f.ticket, "ticket", false, "fetch a ticket and submit on it")
	fs.StringVar(&f.format, "format", "json", "json or table")

	return &ff.Command{
		Name:      "submit",
		Usage:     program + " submit (-job FILE | -team TEAM -service SERVICE) [FLAGS]",
		ShortHelp: "submit a job and print its answer",
		LongHelp: longHelp("Submits a job once and prints its answer. The next entry instance is tried only\n"+
			"if the one before refused the connection, so that nothing was sent to it.\n"+
			"Exits with 0 if the answer is complete and with 1 if it is failed.", submitExample),
		Flags: ff.NewFlagSetFrom("submit", fs),
		Exec: func(ctx context.Context, args []string) error {
			if err := rejectArgs("submit", args); err != nil {
				return err
			}
			return f.run(ctx, s)
		},
	}
}

func (f *submitFlags) run(ctx context.Context, s Streams) error {
	addrs, err := f.validate()
	if err != nil {
		return err
	}
	job, err := f.job(s.In)
	if err != nil {
		return err
	}

	if f.ticket {
		if err := fetchTicket(ctx, addrs, &job); err != nil {
			return err
		}
	}

	answer, err := submit(ctx, addrs, job)
	if err != nil {
		return err
	}
	if err := printAnswer(s.Out, f.format, answer); err != nil {
		return err
	}
	return answerError(answer)
}

// validate checks the flags that do not describe the job and returns the addresses of the
// entry instances.
func (f *submitFlags) validate() ([]string, error) {
	if f.format != "json" && f.format != "table" {
		return nil, usageError("submit", "flag -format: %q is none of json and table", f.format)
	}
	if f.ticket && f.key != "" {
		return nil, usageError("submit", "-ticket can't be combined with -key")
	}

	addrs, err := splitAddrs(f.entries)
	if err != nil {
		return nil, usageError("submit", "flag -entry: %v", err)
	}
	return addrs, nil
}

// ticketRequest is the body of a request for tickets.
type ticketRequest struct {
	Count int `json:"count"`
}

// fetchTicket requests a ticket and sets it in the job.
func fetchTicket(ctx context.Context, addrs []string, job *model.Job) error {
	if job.Ticket != "" || job.IdempotencyKey != "" {
		return usageError("submit", "-ticket can't be combined with a job that holds a ticket or an idempotencyKey")
	}

	body, err := json.Marshal(ticketRequest{Count: 1})
	if err != nil {
		return err
	}
	x := exchange{method: http.MethodPost, path: ticketsPath, body: body, timeout: ticketTimeout}
	addr, err := x.send(ctx, addrs)
	if err != nil {
		return failedError("submit", "%s gives no ticket: %v; no task ran", addr, err)
	}

	var batch model.TicketBatch
	if err := json.Unmarshal(x.response, &batch); err != nil || len(batch.Tickets) != 1 || batch.Tickets[0] == "" {
		return failedError("submit", "%s gives no ticket: %d %s; no task ran", addr, x.status, excerpt(x.response))
	}
	job.Ticket = batch.Tickets[0]
	return nil
}

// submit submits a job at most once. The text of an error says whether tasks may have run.
func submit(ctx context.Context, addrs []string, job model.Job) (model.Answer, error) {
	body, err := json.Marshal(job)
	if err != nil {
		return model.Answer{}, inputError("submit", "%v", err)
	}

	x := exchange{method: http.MethodPost, path: jobsPath, body: body, timeout: answerTimeoutOf(job)}
	addr, err := x.send(ctx, addrs)
	if err != nil && notSent(err) {
		return model.Answer{}, failedError("submit", "%s is not reached: %v; no task ran", addr, err)
	}
	if err != nil {
		return model.Answer{}, failedError("submit", "%s gives no answer: %v; tasks may have run%s", addr, err, resubmitHint(job))
	}
	return readAnswer(addr, &x, job)
}

// answerTimeoutOf returns how long to wait for the answer to a job.
func answerTimeoutOf(job model.Job) time.Duration {
	if job.DeadlineMillis == 0 {
		return answerTimeout
	}
	return time.Duration(job.DeadlineMillis)*time.Millisecond + answerMargin
}

// resubmitHint returns the end of an error message: the ticket or key with which the job can
// be submitted again without a second start of its tasks.
func resubmitHint(job model.Job) string {
	switch {
	case job.Ticket != "":
		return fmt.Sprintf("; submit again on ticket %s only", job.Ticket)
	case job.IdempotencyKey != "":
		return fmt.Sprintf("; submit again with key %s only", job.IdempotencyKey)
	}
	return ""
}

// readAnswer decodes an answer. It returns an error unless the answer is that of a failed job
// or holds a result for every task.
func readAnswer(addr string, x *exchange, job model.Job) (model.Answer, error) {
	var answer model.Answer
	err := json.Unmarshal(x.response, &answer)
	if err != nil || answer.Result != model.Complete && answer.Result != model.Failed {
		return model.Answer{}, failedError("submit", "%s gives no answer but %d %s; tasks may have run%s",
			addr, x.status, excerpt(x.response), resubmitHint(job))
	}
	if answer.Result == model.Complete && len(answer.Tasks) != len(job.Tasks) {
		return model.Answer{}, failedError("submit", "%s answers %d of %d tasks as complete", addr, len(answer.Tasks), len(job.Tasks))
	}
	return answer, nil
}

// answerError returns an error if the job failed.
func answerError(answer model.Answer) error {
	if answer.Result == model.Complete {
		return nil
	}
	if answer.Error == nil {
		return failedError("submit", "job %s failed (ran: %s)", answer.JobID, answer.Ran)
	}
	return failedError("submit", "job %s failed (ran: %s): %s: %s", answer.JobID, answer.Ran, answer.Error.Kind, answer.Error.Reason)
}

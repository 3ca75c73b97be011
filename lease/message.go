package lease

import "foxtailmux/model"

// Start requests a run of a task. Run is the number of the run and rises with each start of the
// task, and Until is the end of its lease on the worker's clock in milliseconds.
type Start struct {
	Task  string `json:"task"`
	Run   int64  `json:"run"`
	Spec  string `json:"spec,omitempty"`
	Until int64  `json:"until"`
	Token int64  `json:"token"` // fencing token of the home

	// Incarnation is that of the worker which the home has picked. No other one may get the start: it may have less
	// capacity or other labels.
	Incarnation int64 `json:"incarnation"`

	// Earliest is the least value of the worker's clock when the start is sent, 0 if unknown. A response from
	// before belongs to an earlier request.
	Earliest int64 `json:"earliest,omitempty"`
}

// Stop requests the end of a run, or that a run that has not begun never begins.
type Stop struct {
	Task  string
	Run   int64
	Token int64
}

// Renewal extends the lease of all runs on a worker to Until on its clock in milliseconds,
// acknowledges the ended runs up to LastEndSeen and requests the later ones. With Until 0 the
// lease stays as it is. The worker may wait for WaitMillis for a run to end before it responds.
type Renewal struct {
	Until       int64
	Token       int64
	LastEndSeen int64
	WaitMillis  int64
}

// Refusal is the reason why a worker did not carry out a request.
type Refusal string

// Reasons of a refusal. Fenced: the worker has seen a higher fencing token, so there is a later
// home. Outdated: a run with this number or a higher one was stopped or has ended. Late: the
// lease was over on arrival. NoCapacity: the worker's capacity is in use. Unhealthy: the worker
// accepts no work. OtherWorker: another worker responds at the address. OtherIncarnation: the worker has
// restarted, and got nothing.
const (
	Accepted    Refusal = ""
	Fenced      Refusal = "fenced"
	Outdated    Refusal = "outdated"
	Late        Refusal = "late"
	NoCapacity  Refusal = "noRoom"
	Unhealthy   Refusal = "unhealthy"
	OtherWorker Refusal = "otherWorker"
	Rejected    Refusal = "rejected" // any other reason

	OtherIncarnation Refusal = "otherIncarnation"
)

// Reply is the response to a start or a stop. Clock is the worker's clock in milliseconds, 0 if
// the response did not carry it.
type Reply struct {
	Clock   int64   `json:"clock"`
	Refusal Refusal `json:"refusal,omitempty"`
}

// EndReason is how a run ended.
type EndReason string

// Ways in which a run ends. Failed: through the fault of the task or the worker. Expired:
// nobody renewed its lease.
const (
	Done           EndReason = "done"
	Failed         EndReason = "failed"
	Stopped        EndReason = "stopped"
	Expired        EndReason = "lapsed"
	GangEnded      EndReason = "broken" // another member of its gang ended
	GangIncomplete EndReason = "alone"  // the rest of its gang did not start
	Lost           EndReason = "lost"   // concluded by the home: the worker no longer has the run
)

// EndedRun is a run that ended. Sequence numbers the ended runs of one incarnation of a worker,
// and Run is the number of the run.
type EndedRun struct {
	Sequence int64
	Task     string
	Run      int64
	Reason   EndReason
}

// Active is a run in progress on a worker. Run is its number and Percent the share of its work
// that is done.
type Active struct {
	Task    string
	Run     int64
	Percent int
}

// Report is a worker's response to a renewal. Incarnation identifies the incarnation of the
// worker.
type Report struct {
	Reply
	Incarnation int64
	Active      []Active
	Ended       []EndedRun
}

// Run is one execution of a task on a worker, with the resources that it reserves. Number tells
// the runs of a task apart.
type Run struct {
	Task   string
	Number int64
	Needs  model.Resources
}

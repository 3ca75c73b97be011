package lease

import "foxtailmux/model"

// Start orders one run of a task. Until is the end of the lease on the
// worker's clock, in milliseconds. Run rises with each start of a task.
type Start struct {
	Task  string `json:"task"`
	Run   int64  `json:"run"`
	Spec  string `json:"spec,omitempty"`
	Until int64  `json:"until"`
	Token int64  `json:"token"` // fencing token of the home
}

// Stop orders the end of a run, or that it never starts.
type Stop struct {
	Task  string
	Run   int64
	Token int64
}

// Renewal renews the lease of all that runs on a worker, acknowledges the ends up
// to Seen and asks for the later ones. Until 0 leaves the lease as it is. The
// worker may wait WaitMillis for an end before it answers.
type Renewal struct {
	Until       int64
	Token       int64
	LastEndSeen int64
	WaitMillis  int64
}

// Refusal is why a worker did not carry an order out.
type Refusal string

// The refusals. Fenced: the worker saw a higher fencing token. Outdated: a run
// with this number or a higher one was stopped or ended. Late: the lease was
// over on arrival. NoRoom: the worker's capacity is taken. Unhealthy: the
// worker takes no work. OtherWorker: another worker answers at the address.
const (
	Accepted    Refusal = ""
	Fenced      Refusal = "fenced"
	Outdated    Refusal = "outdated"
	Late        Refusal = "late"
	NoCapacity  Refusal = "noRoom"
	Unhealthy   Refusal = "unhealthy"
	OtherWorker Refusal = "otherWorker"
	Rejected    Refusal = "rejected" // for another reason
)

// Reply is the answer to a start or a stop. Clock is the worker's clock in
// milliseconds, 0 if the answer did not tell it.
type Reply struct {
	Clock   int64   `json:"clock"`
	Refusal Refusal `json:"refusal,omitempty"`
}

// EndReason is how a run ended.
type EndReason string

// The endings. Failed is through the task's or the worker's fault; Lapsed
// means that the lease ran out.
const (
	Done           EndReason = "done"
	Failed         EndReason = "failed"
	Stopped        EndReason = "stopped"
	Expired        EndReason = "lapsed"
	GangEnded      EndReason = "broken" // another member of its gang ended
	GangIncomplete EndReason = "alone"  // the rest of its gang did not come
	Lost           EndReason = "lost"   // concluded here: the worker no longer runs it
)

// EndedRun is one ended run. Number counts the ends of one life of a worker.
type EndedRun struct {
	Sequence int64
	Task     string
	Run      int64
	Reason   EndReason
}

// Active is one run on a worker. Percent is the work that is done.
type Active struct {
	Task    string
	Run     int64
	Percent int
}

// Report is a worker's answer to a hold. Born identifies the life of the
// worker; 0 if it did not tell.
type Report struct {
	Reply
	Incarnation int64
	Active      []Active
	Ended       []EndedRun
}

// Run is a run that a home knows of.
type Run struct {
	Task   string
	Number int64
	Needs  model.Resources
}

package demo

import (
	"encoding/json"
	"fmt"
	"time"

	"foxtailmux/fakes"
	"foxtailmux/load"
	"foxtailmux/model"
)

// jobKind describes one kind of job that the demo submits.
type jobKind struct {
	name        string
	service     string
	teams       []string
	tasks       int
	runTime     time.Duration // of each task
	repeatable  bool
	keyed       bool
	needs       model.Resources
	wantFailure model.FailureKind // expected refusal; empty if the job is expected to complete
}

var (
	quote    = jobKind{name: "quote", service: "quote", teams: []string{"counter", "schools"}, tasks: 4, runTime: 80 * time.Millisecond}
	preview  = jobKind{name: "preview", service: "preview", teams: []string{"listeners"}, tasks: 1, runTime: 50 * time.Millisecond, repeatable: true}
	session  = jobKind{name: "session", service: "session", teams: []string{"clinic"}, tasks: 10, runTime: 150 * time.Millisecond}
	bookmark = jobKind{name: "bookmark", service: "bookmark", teams: []string{"listeners"}, tasks: 1, runTime: 20 * time.Millisecond, keyed: true}

	neverFits = jobKind{
		name: "quote too large for any worker", service: "quote", teams: []string{"counter"}, tasks: 1, runTime: time.Millisecond,
		needs: model.Resources{Cores: 1000}, wantFailure: model.FailNeverFits,
	}
	unknownTeam = jobKind{
		name: "quote of an unknown team", service: "quote", teams: []string{"nobody"}, tasks: 1, runTime: time.Millisecond,
		wantFailure: model.FailBadRequest,
	}
)

// jobKinds are the rows of the table, in their order.
var jobKinds = []jobKind{quote, preview, session, bookmark, neverFits, unknownTeam}

// jobMix is the sequence of jobs that the demo submits repeatedly.
var jobMix = []jobKind{
	quote, preview, quote, bookmark, session,
	quote, preview, preview, quote, bookmark,
	quote, preview, unknownTeam, quote, neverFits,
	preview, quote, bookmark, quote, preview,
}

// submission builds a job of this kind. The nonce of each task, and the
// idempotency key of a keyed job, derive from id, which must be unique.
func (k jobKind) submission(id string, index int) submission {
	s := submission{kind: k}
	s.Index = index
	s.Job = model.Job{Team: k.teams[index%len(k.teams)], Service: k.service, Repeatable: k.repeatable}
	if k.keyed {
		s.Job.IdempotencyKey = id
	}

	for i := range k.tasks {
		nonce := fmt.Sprintf("%s/%d", id, i)
		s.Nonces = append(s.Nonces, nonce)
		s.Job.Tasks = append(s.Job.Tasks, k.task(nonce))
	}
	return s
}

// task builds a task whose payload makes a worker stand-in run for k.runTime
// and return the nonce.
func (k jobKind) task(nonce string) model.Task {
	payload, err := json.Marshal(fakes.Payload{Nonce: nonce, RunMillis: k.runTime.Milliseconds()})
	if err != nil {
		panic(err) // the fields can always be encoded
	}
	return model.Task{Payload: payload, ExpectedMillis: k.runTime.Milliseconds(), Needs: k.needs}
}

// submission is a job with the data that its answer is checked against.
type submission struct {
	load.Submission
	kind jobKind
}

package demo

import (
	"encoding/json"
	"fmt"
	"time"

	"foxtailmux/fakes"
	"foxtailmux/load"
	"foxtailmux/model"
)

// kind is a sort of job that the demo submits.
type kind struct {
	name       string
	service    string
	teams      []string
	tasks      int
	run        time.Duration // of each task
	repeatable bool
	keyed      bool
	needs      model.Resources
	wanted     model.FailureKind // "" where the job should be complete
}

var (
	quote    = kind{name: "quote", service: "quote", teams: []string{"counter", "schools"}, tasks: 4, run: 80 * time.Millisecond}
	preview  = kind{name: "preview", service: "preview", teams: []string{"listeners"}, tasks: 1, run: 50 * time.Millisecond, repeatable: true}
	session  = kind{name: "session", service: "session", teams: []string{"clinic"}, tasks: 10, run: 150 * time.Millisecond}
	bookmark = kind{name: "bookmark", service: "bookmark", teams: []string{"listeners"}, tasks: 1, run: 20 * time.Millisecond, keyed: true}

	neverFits = kind{
		name: "quote too large for any worker", service: "quote", teams: []string{"counter"}, tasks: 1, run: time.Millisecond,
		needs: model.Resources{Cores: 1000}, wanted: model.FailNeverFits,
	}
	unknownTeam = kind{
		name: "quote of an unknown team", service: "quote", teams: []string{"nobody"}, tasks: 1, run: time.Millisecond,
		wanted: model.FailBadRequest,
	}
)

// kinds are the rows of the table.
var kinds = []kind{quote, preview, session, bookmark, neverFits, unknownTeam}

// mix is submitted over and over again.
var mix = []kind{
	quote, preview, quote, bookmark, session,
	quote, preview, preview, quote, bookmark,
	quote, preview, unknownTeam, quote, neverFits,
	preview, quote, bookmark, quote, preview,
}

// submission builds a job whose nonces start with id.
func (k kind) submission(id string, index int) submission {
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

func (k kind) task(nonce string) model.Task {
	payload, err := json.Marshal(fakes.Payload{Nonce: nonce, RunMillis: k.run.Milliseconds()})
	if err != nil {
		panic(err) // the fields can always be encoded
	}
	return model.Task{Payload: payload, ExpectedMillis: k.run.Milliseconds(), Needs: k.needs}
}

// submission is a job together with its kind.
type submission struct {
	load.Submission
	kind kind
}

// Package loss finds out from the logs of all instances which requests were not answered in
// time, and splits them by cause.
package loss

import (
	"cmp"
	"regexp"
	"slices"
	"time"
)

// Request is what the logs tell about the last submission of a job.
type Request struct {
	Job        string
	Queue      string
	DataCentre string
	Instance   string // that answered it
	SentAt     time.Time
	Held       time.Duration
	Objective  time.Duration // by the run times of its tasks, or as estimated by its home; 0 if no home accepted it
	LastStart  time.Duration // from its arrival to the latest start of a task
	Status     int
	Cause      string // "" for an answer in time

	Needed, Free     int // at the home that did not admit it, in thousandths of a core
	Tasks, Startable int // at the instance that tried to divide it
}

// Builder collects the lines of the logs.
type Builder struct {
	answered map[string]Line // by job
	ended    map[string]Line
	events   map[string]map[string]bool // messages by job
	refused  map[string]Line            // last "job not admitted" by job
	divided  map[string]Line            // last attempt to divide a job, by job
	seen     map[string]time.Time       // last line by instance
	outages  []Outage
}

// Outage is the time from the last line of a process to the start of its successor.
type Outage struct {
	Instance   string
	DataCentre string
	From, To   time.Time
}

// NewBuilder returns a builder without lines.
func NewBuilder() *Builder {
	return &Builder{
		answered: map[string]Line{}, ended: map[string]Line{}, events: map[string]map[string]bool{},
		refused: map[string]Line{}, divided: map[string]Line{}, seen: map[string]time.Time{},
	}
}

// Add takes in a line. The lines of one instance must come in their order.
func (b *Builder) Add(l Line) {
	if last, ok := b.seen[l.Instance]; ok && l.Message == msgListening {
		b.outages = append(b.outages, Outage{l.Instance, l.DataCentre, last, l.Time})
	}
	b.seen[l.Instance] = l.Time
	switch l.Message {
	case msgAnswered:
		b.answered[l.Job] = l
	case msgEnded:
		b.ended[l.Job] = l
	case msgNotAdmitted:
		b.refused[l.Job] = l
	case msgNotDivided:
		b.divided[l.Job] = l
	case msgRunFailed, msgRunLost, msgRunMoved, msgRunAdopted, msgNoHome:
		if b.events[l.Job] == nil {
			b.events[l.Job] = map[string]bool{}
		}
		b.events[l.Job][l.Message] = true
	}
}

// Requests returns the answered requests in the order in which they were sent.
func (b *Builder) Requests() []Request {
	var list []Request
	for id, a := range b.answered {
		held := time.Duration(a.TookMillis) * time.Millisecond
		r := Request{
			Job: id, Queue: a.Queue, DataCentre: a.DataCentre, Instance: a.Instance, SentAt: a.Time.Add(-held), Held: held,
			Objective: objective(b.ended[id]), Status: a.Status,
			LastStart: time.Duration(b.ended[id].LastStartMillis) * time.Millisecond,
			Needed:    b.refused[id].Claim, Free: b.refused[id].Free, Tasks: b.divided[id].Tasks, Startable: b.divided[id].Startable,
		}
		r.Cause = cause(r, a.Reason, b.events[id])
		list = append(list, r)
	}
	slices.SortFunc(list, func(x, y Request) int { return cmp.Or(x.SentAt.Compare(y.SentAt), cmp.Compare(x.Job, y.Job)) })
	return list
}

// objective returns the objective of a job. A home estimates it before the job runs; its caller
// counts it by the time that the tasks really take on workers of usual speed.
func objective(ended Line) time.Duration {
	return time.Duration(cmp.Or(ended.MeasuredObjectiveMillis, ended.ObjectiveMillis)) * time.Millisecond
}

// Outages returns the restarts of instances.
func (b *Builder) Outages() []Outage { return slices.Clone(b.outages) }

var digits = regexp.MustCompile(`\d+`)

// lateCauses are the events that explain a late answer, the most specific first.
var lateCauses = []struct{ message, cause string }{
	{msgNoHome, "late: the home changed"},
	{msgRunAdopted, "late: the home changed"},
	{msgRunLost, "late: a run was lost"},
	{msgRunMoved, "late: a run stalled or was slow"},
	{msgRunFailed, "late: a run failed"},
}

// waitShare is the share of its objective above which the wait for capacity made a job late:
// objectives leave about half as much again as the tasks take, and a fixed time.
const waitShare = 0.25

// cause names why a request was not answered in time, or returns "".
func cause(r Request, reason string, events map[string]bool) string {
	const statusOK = 200
	switch {
	case r.Status != statusOK:
		return digits.ReplaceAllString(reason, "N")
	case r.Objective == 0 || r.Held <= r.Objective:
		return ""
	}
	for _, c := range lateCauses {
		if events[c.message] {
			return c.cause
		}
	}
	if r.LastStart > time.Duration(waitShare*float64(r.Objective)) {
		return "late: its tasks waited for capacity"
	}
	return "late: its tasks took longer than estimated"
}

// Group sums up the requests with one cause in one queue.
type Group struct {
	Cause, Queue          string
	Requests              int
	Share                 float64 // of the requests of the queue
	MedianHeld, MaxHeld   time.Duration
	DataCentres           map[string]int // requests by data centre
	First, Last           time.Time      // when the first and the last were sent
	MeanNeeded, MeanFree  int            // thousandths of a core, of the requests that a home did not admit
	MeanTasks, MeanInTime float64        // tasks, and those that could start in time, of the jobs that could not be divided
}

// GroupByCause returns the groups of the requests that were not answered in time, the largest
// share first.
func GroupByCause(requests []Request) []Group {
	total := map[string]int{}
	byKey := map[[2]string][]Request{}
	for _, r := range requests {
		total[r.Queue]++
		if r.Cause != "" {
			key := [2]string{r.Cause, r.Queue}
			byKey[key] = append(byKey[key], r)
		}
	}
	var groups []Group
	for key, list := range byKey {
		g := summarize(list)
		g.Cause, g.Queue, g.Share = key[0], key[1], float64(len(list))/float64(total[key[1]])
		groups = append(groups, g)
	}
	slices.SortFunc(groups, func(a, b Group) int {
		return cmp.Or(cmp.Compare(b.Share, a.Share), cmp.Compare(a.Cause, b.Cause), cmp.Compare(a.Queue, b.Queue))
	})
	return groups
}

// summarize sums up requests that are in the order in which they were sent.
func summarize(requests []Request) Group {
	g := Group{Requests: len(requests), DataCentres: map[string]int{}, First: requests[0].SentAt, Last: requests[len(requests)-1].SentAt}
	var held []time.Duration
	var needed, free, tasks, startable []int
	for _, r := range requests {
		g.DataCentres[r.DataCentre]++
		held = append(held, r.Held)
		if r.Needed > 0 {
			needed, free = append(needed, r.Needed), append(free, r.Free)
		}
		if r.Tasks > 0 {
			tasks, startable = append(tasks, r.Tasks), append(startable, r.Startable)
		}
	}
	slices.Sort(held)
	g.MedianHeld, g.MaxHeld = held[len(held)/2], held[len(held)-1]
	g.MeanNeeded, g.MeanFree = int(mean(needed)), int(mean(free))
	g.MeanTasks, g.MeanInTime = mean(tasks), mean(startable)
	return g
}

// mean returns the mean of a list, 0 of an empty one.
func mean(list []int) float64 {
	sum := 0
	for _, n := range list {
		sum += n
	}
	return float64(sum) / float64(max(len(list), 1))
}

// Window is the share of the requests of a period that were answered in time.
type Window struct {
	From     time.Time
	Requests int
	InTime   float64
}

// Windows divides the requests, which are in the order in which they were sent, into periods of
// one length.
func Windows(requests []Request, length time.Duration) []Window {
	var list []Window
	inTime := 0
	for _, r := range requests {
		from := r.SentAt.Truncate(length)
		if len(list) == 0 || list[len(list)-1].From.Before(from) {
			list = append(list, Window{From: from})
			inTime = 0
		}
		w := &list[len(list)-1]
		w.Requests++
		if r.Cause == "" {
			inTime++
		}
		w.InTime = float64(inTime) / float64(w.Requests)
	}
	return list
}

package plan

import "time"

// Bounds of the time for which homes are not asked after they had too little capacity for a job.
const (
	minAskPause = 20 * time.Millisecond
	maxAskPause = 320 * time.Millisecond
)

// AskPause decides when it is worth asking the homes of other data centres for capacity. Used for
// load above the capacity of all data centres: nearly every job would ask all homes, which have no
// capacity to spare, and the questions would take the processor time of the homes from the jobs
// that can be run. Each answer in a row that is too little doubles the pause, after which one job
// asks at a time. The zero value allows all questions.
type AskPause struct {
	length time.Duration
	until  time.Time
}

// Paused reports whether homes are not to be asked now.
func (a *AskPause) Paused(now time.Time) bool { return now.Before(a.until) }

// Take reports whether homes may be asked now. After an answer that was too little it allows one
// question until the next answer.
func (a *AskPause) Take(now time.Time) bool {
	if a.Paused(now) {
		return false
	}
	if a.length > 0 {
		a.until = now.Add(a.length)
	}
	return true
}

// Record takes in whether homes that were asked had enough capacity.
func (a *AskPause) Record(found bool, now time.Time) {
	if found {
		*a = AskPause{}
		return
	}
	a.length = min(max(2*a.length, minAskPause), maxAskPause)
	a.until = now.Add(a.length)
}

// Package speed learns how fast the workers of a data centre run tasks, without input or output.
// Used for workers that differ in speed for good, such as machines of two generations in one
// pool: a home that takes them for equal puts tasks with little slack on slow workers, and holds
// a worker for sick that is only slower than others. The length of a task is no matter of this
// package: its caller divides it out.
package speed

import (
	"math"
	"slices"
	"strings"
	"time"
)

const (
	// band is the least difference from the usual speed that counts, as a natural logarithm
	// (a fifth faster or slower), and the step to which larger differences are rounded. Declared
	// run times are off by half either way, so that the mean of the runs of one worker strays
	// by up to 0.15 while it is learned.
	band = 0.18

	// maxStep bounds what one run changes, so that a task that takes several times as long by
	// itself counts for little more than one that takes half as long again.
	maxStep = 0.5

	// maxOffset bounds the difference of a worker from its kind: a worker that gets slower by
	// more is sick.
	maxOffset = 0.9

	// maxLog bounds the logarithm of a factor: four times as slow or as fast.
	maxLog = 1.4

	// The estimate of a kind counts as minKindRuns runs and that of a worker as minWorkerRuns
	// before the first observation. A new run weighs at least minKindWeight or minWorkerWeight,
	// so that changes are followed. What all workers have in common is followed faster than
	// what tells them apart.
	minCommonWeight = 0.05
	minKindRuns     = 4
	minKindWeight   = 0.01
	minWorkerRuns   = 12
	minWorkerWeight = 0.03

	// usualFactor is the most by which a run at the usual pace of its worker takes longer than
	// expected; declared run times are off by half.
	usualFactor = 2.0

	// maxKinds bounds the kinds that are told apart. Workers of further ones count as of the
	// kind without a name.
	maxKinds = 256
)

// Model holds what is known of the speed of all workers of a home. A factor is the run time of a
// task over that on a worker of usual speed: above 1 is slow. The usual speed is the geometric
// mean of all workers. It is not safe for concurrent use.
type Model struct {
	kinds   map[string]*kind
	workers int
	sum     float64 // of the logarithms of the factors of all workers

	// common is the logarithm of what all runs take longer than their callers expect. It keeps an
	// error of the expectations from being attributed to the workers that have most runs.
	common float64
	runs   int
}

// kind is what the workers of a kind have in common.
type kind struct {
	name    string
	log     float64 // logarithm of the factor, with an unknown mean over all kinds
	runs    int
	workers int
}

// Worker is what is known of the speed of one worker.
type Worker struct {
	model   *Model
	kind    *kind
	offset  float64 // of the logarithm of its factor from that of its kind
	runs    int
	usualAt time.Time // when a run at its usual pace ended last
}

// NewModel returns a model without workers.
func NewModel() *Model { return &Model{kinds: map[string]*kind{}} }

// Join adds a worker of a kind, which at first is taken for as fast as the others of its kind.
func (m *Model) Join(kindName string) *Worker {
	w := &Worker{model: m}
	w.join(kindName)
	return w
}

func (m *Model) kindOf(name string) *kind {
	if m.kinds[name] == nil {
		if len(m.kinds) >= maxKinds {
			name = ""
		}
		if m.kinds[name] == nil {
			m.kinds[name] = &kind{name: name, log: m.mean()}
		}
	}
	return m.kinds[name]
}

// mean returns the mean logarithm of the factors of all workers, the usual speed.
func (m *Model) mean() float64 {
	if m.workers == 0 {
		return 0
	}
	return m.sum / float64(m.workers)
}

func (w *Worker) join(kindName string) {
	w.kind = w.model.kindOf(kindName)
	w.kind.workers++
	w.model.workers++
	w.model.sum += w.kind.log
}

// Leave removes the worker.
func (w *Worker) Leave() {
	w.Forget()
	w.kind.workers--
	w.model.workers--
	w.model.sum -= w.kind.log
}

// Forget forgets the runs of the worker, which was born again. It counts as one of its kind.
func (w *Worker) Forget() {
	w.model.sum -= w.offset
	w.offset, w.runs, w.usualAt = 0, 0, time.Time{}
}

// SetKind changes the kind of the worker. What was learned of it as one of another kind is
// forgotten.
func (w *Worker) SetKind(name string) {
	if w.kind.name == name {
		return
	}
	w.Leave()
	w.join(name)
}

// Observe records the end of a run that took ran, and that takes usual on a worker of usual
// speed. Both are ignored unless they are above 0.
func (w *Worker) Observe(ran, usual time.Duration, now time.Time) {
	if ran <= 0 || usual <= 0 {
		return
	}
	if float64(ran) <= usualFactor*float64(usual)*w.Factor() {
		w.usualAt = now
	}
	m, k := w.model, w.kind
	ratio := math.Log(float64(ran) / float64(usual))
	m.runs++
	m.common += max(minCommonWeight, 1/float64(minKindRuns+m.runs)) * clip(ratio-m.common-k.log-w.offset, maxStep)
	observed := ratio - m.common

	k.runs++
	change := max(minKindWeight, 1/float64(minKindRuns+k.runs)) * clip(observed-k.log, maxStep)
	k.log += change
	m.sum += float64(k.workers) * change

	w.runs++
	weight := max(minWorkerWeight, 1/float64(minWorkerRuns+w.runs))
	offset := clip(w.offset+weight*clip(observed-k.log-w.offset, maxStep), maxOffset)
	m.sum += offset - w.offset
	w.offset = offset
}

func clip(x, limit float64) float64 { return min(max(x, -limit), limit) }

// Factor returns the factor of the worker: 1 where it is within the band of the usual speed, else
// rounded to steps of the band, so that small differences decide nothing.
func (w *Worker) Factor() float64 { return factor(w.kind.log + w.offset - w.model.mean()) }

func factor(log float64) float64 {
	if math.Abs(log) < band {
		return 1
	}
	return math.Exp(math.Round(clip(log, maxLog)/band) * band)
}

// WasUsualSince reports whether a run that ended on the worker since a time took about as long as
// usual there. If so, another run that takes much longer than expected is long by itself, and
// would be on any worker.
func (w *Worker) WasUsualSince(t time.Time) bool { return w.usualAt.After(t) }

// Kind sums up the workers of one kind.
type Kind struct {
	Name    string  `json:"kind"`
	Workers int     `json:"workers"`
	Runs    int     `json:"runs"`
	Factor  float64 `json:"factor"` // not rounded
}

// Kinds returns the kinds that have workers, by name.
func (m *Model) Kinds() []Kind {
	var list []Kind
	mean := m.mean()
	for _, k := range m.kinds {
		if k.workers > 0 {
			list = append(list, Kind{Name: k.name, Workers: k.workers, Runs: k.runs, Factor: math.Exp(k.log - mean)})
		}
	}
	slices.SortFunc(list, func(a, b Kind) int { return strings.Compare(a.Name, b.Name) })
	return list
}

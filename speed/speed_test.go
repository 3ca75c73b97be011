package speed_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"foxtailmux/speed"
)

func Example() {
	m := speed.NewModel()
	slow, fast := m.Join("desk/old"), m.Join("desk/new")
	for range 50 {
		slow.Observe(180*time.Millisecond, 100*time.Millisecond, time.Now())
		fast.Observe(90*time.Millisecond, 100*time.Millisecond, time.Now())
	}
	fmt.Printf("%.1f %.1f\n", slow.Factor(), fast.Factor())
	// Output:
	// 1.4 0.7
}

// play lets each worker run tasks whose declared run time is off by up to 40% either way and of
// which a share takes seven times as long. Factors and kinds are those of the workers.
func play(kinds []string, factors []float64, runs int, long float64) (*speed.Model, []*speed.Worker) {
	draw := rand.New(rand.NewPCG(1, 0))
	m := speed.NewModel()
	var workers []*speed.Worker
	for _, k := range kinds {
		workers = append(workers, m.Join(k))
	}
	for range runs {
		for i, w := range workers {
			f := factors[i] / (0.6 + 0.8*draw.Float64())
			if draw.Float64() < long {
				f *= 7
			}
			w.Observe(time.Duration(f*float64(time.Second)), time.Second, time.Now())
		}
	}
	return m, workers
}

// repeat returns the values over and over, n in all.
func repeat[T any](n int, values ...T) []T {
	list := make([]T, n)
	for i := range list {
		list[i] = values[i%len(values)]
	}
	return list
}

func TestFactors(t *testing.T) {
	const workers = 120
	uneven := repeat(workers, 0.7, 0.7, 1.7)
	for _, c := range []struct {
		name    string
		kinds   []string
		factors []float64
		runs    int
		want    []float64
	}{
		{"equal workers stay equal", repeat(workers, "a"), repeat(workers, 1.0), 400, repeat(workers, 1.0)},
		{"equal workers of two kinds stay equal", repeat(workers, "a", "b"), repeat(workers, 1.0), 400, repeat(workers, 1.0)},
		{"equal workers stay equal at first", repeat(workers, "a", "b"), repeat(workers, 1.0), 8, repeat(workers, 1.0)},
		{"kinds show within a few runs", repeat(workers, "a", "a", "b"), uneven, 3, uneven},
		{"workers of one kind differ", repeat(workers, "a"), uneven, 200, uneven},
		{"slightly uneven workers", repeat(workers, "a", "b", "c"), repeat(workers, 0.8, 1, 1.25), 30, repeat(workers, 0.8, 1, 1.25)},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, list := play(c.kinds, c.factors, c.runs, 0.03)
			base := meanLog(c.want)
			for i, w := range list {
				want := math.Log(c.want[i]) - base
				// A step of the rounding, and what is left of the noise.
				if got := math.Log(w.Factor()); math.Abs(got-want) > 0.25 || want == 0 && got != 0 {
					t.Errorf("worker %d has the factor %.2f, want %.2f", i, w.Factor(), math.Exp(want))
				}
			}
		})
	}
}

// A home's expectation of the run times follows their mean, with the long tasks, and the slow workers get
// fewer runs than the others. Both must not shift the factors, which the expectation in turn depends on.
func TestFactorsDoNotDriftWithTheExpectation(t *testing.T) {
	draw := rand.New(rand.NewPCG(1, 0))
	m := speed.NewModel()
	var workers []*speed.Worker
	factors := repeat(30, 0.7, 0.7, 1.7)
	for i := range factors {
		workers = append(workers, m.Join(fmt.Sprint(factors[i])))
	}
	expected := 1.0
	for n := range 200_000 {
		i := n % len(workers)
		if factors[i] > 1 && n%600 >= len(workers) {
			continue // one run in 20
		}
		length := 1 / (0.6 + 0.8*draw.Float64())
		if draw.Float64() < 0.03 {
			length *= 7
		}
		ran := length * factors[i]
		workers[i].Observe(time.Duration(ran*float64(time.Second)), time.Duration(expected*float64(time.Second)), time.Now())
		expected += 0.02 * (ran/workers[i].Factor() - expected)
	}
	got := math.Log(workers[2].Factor() / workers[0].Factor())
	if want := math.Log(1.7 / 0.7); math.Abs(got-want) > 0.2 {
		t.Errorf("the slow worker takes %.2f times as long as a fast one, want %.2f", math.Exp(got), math.Exp(want))
	}
	if expected > 2 {
		t.Errorf("tasks are expected to take %.1f times as long as they do", expected)
	}
}

func meanLog(factors []float64) float64 {
	sum := 0.0
	for _, f := range factors {
		sum += math.Log(f)
	}
	return sum / float64(len(factors))
}

func TestWorkerThatIsBornAgainCountsAsItsKind(t *testing.T) {
	m, list := play(repeat(20, "a"), append([]float64{2}, repeat(19, 1.0)...), 100, 0)
	if f := list[0].Factor(); f < 1.5 {
		t.Fatalf("the slow worker has the factor %.2f", f)
	}
	list[0].Forget()
	if f := list[0].Factor(); f != 1 {
		t.Errorf("born again it has the factor %.2f, want 1", f)
	}
	for _, w := range list {
		w.Leave()
	}
	if got := len(m.Kinds()); got != 0 {
		t.Errorf("%d kinds are left without workers", got)
	}
}

// A worker that turns sick must not be taken for one that is slow for good.
func TestSickWorkerIsNotLearnedAsSlow(t *testing.T) {
	m, list := play(repeat(20, "a"), repeat(20, 1.0), 100, 0)
	for range 1000 {
		list[0].Observe(8*time.Second, time.Second, time.Now())
	}
	if f := list[0].Factor(); f > 2.5 {
		t.Errorf("factor %.2f, want at most 2.5", f)
	}
	if f := m.Join("a").Factor(); f > 1.2 {
		t.Errorf("a new worker of its kind has the factor %.2f", f)
	}
}

func TestUsualPace(t *testing.T) {
	w := speed.NewModel().Join("a")
	start := time.Now()
	w.Observe(7*time.Second, time.Second, start.Add(7*time.Second))
	if w.WasUsualSince(start) {
		t.Error("a run that took seven times as long as expected counts as usual")
	}
	w.Observe(1200*time.Millisecond, time.Second, start.Add(8*time.Second))
	if !w.WasUsualSince(start) || w.WasUsualSince(start.Add(9*time.Second)) {
		t.Error("a run that took about as long as expected does not count as usual when it ended")
	}
}

package queue

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"foxtailmux/model"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

type jobSpec struct {
	id       string
	team     string
	weight   int
	arrived  time.Duration
	deadline time.Duration
	tasks    int
	runTime  time.Duration
}

func (s jobSpec) job() *Job {
	j := &Job{ID: s.id, Team: s.team, Weight: s.weight, Arrived: epoch.Add(s.arrived), Deadline: epoch.Add(s.deadline)}
	for i := range s.tasks {
		j.Items = append(j.Items, &Item{
			Request:     model.StartRequest{TaskID: fmt.Sprintf("%s-%d", s.id, i)},
			ExpectedRun: s.runTime,
		})
	}
	return j
}

func anyItem(*Job, *Item) bool { return true }

func newQueue(t *testing.T, order string, specs ...jobSpec) *Queue {
	t.Helper()

	o, err := Orders.Get(order)
	if err != nil {
		t.Fatal(err)
	}
	q := New(o)
	for _, s := range specs {
		q.Push(s.job())
	}
	return q
}

func drain(q *Queue, now time.Time) []string {
	var ids []string
	for {
		_, it := q.Pop(now, anyItem)
		if it == nil {
			return ids
		}
		ids = append(ids, it.Request.TaskID)
	}
}

func TestOrders(t *testing.T) {
	wide := jobSpec{id: "wide", arrived: 0, deadline: 20 * time.Second, tasks: 3, runTime: time.Second}
	narrow := jobSpec{id: "narrow", arrived: time.Second, deadline: 30 * time.Second, tasks: 1, runTime: 100 * time.Millisecond}
	urgent := jobSpec{id: "urgent", arrived: 2 * time.Second, deadline: 5 * time.Second, tasks: 1, runTime: 9 * time.Second}

	for order, want := range map[string][]string{
		"fifo":      {"wide-0", "wide-1", "wide-2", "narrow-0", "urgent-0"},
		"deadline":  {"urgent-0", "wide-0", "wide-1", "wide-2", "narrow-0"},
		"leastWork": {"narrow-0", "wide-0", "wide-1", "wide-2", "urgent-0"},
	} {
		t.Run(order, func(t *testing.T) {
			q := newQueue(t, order, wide, narrow, urgent)
			if diff := cmp.Diff(want, drain(q, epoch.Add(2*time.Second))); diff != "" {
				t.Errorf("order (-want +got):\n%s", diff)
			}
		})
	}
}

func TestLeastWorkPrefersAnAgedWideJob(t *testing.T) {
	wide := jobSpec{id: "wide", tasks: 1, runTime: 10 * time.Second}
	fresh := jobSpec{id: "fresh", arrived: 6 * time.Second, tasks: 1, runTime: time.Second}
	q := newQueue(t, "leastWork", wide, fresh)

	if _, it := q.Pop(epoch.Add(6*time.Second), anyItem); it.Request.TaskID != "wide-0" {
		t.Errorf("first is %s, want the aged job", it.Request.TaskID)
	}
}

func TestFairShareFollowsTheWeights(t *testing.T) {
	q := newQueue(t, "fairShare",
		jobSpec{id: "a", team: "a", weight: 3, tasks: 400, runTime: time.Second},
		jobSpec{id: "b", team: "b", weight: 1, tasks: 400, runTime: time.Second},
	)

	counts := map[string]int{}
	for range 400 {
		j, _ := q.Pop(epoch, anyItem)
		counts[j.Team]++
	}
	if diff := cmp.Diff(map[string]int{"a": 300, "b": 100}, counts); diff != "" {
		t.Errorf("tasks of each team (-want +got):\n%s", diff)
	}
}

func TestIdleTeamAccumulatesNoCredit(t *testing.T) {
	q := newQueue(t, "fairShare", jobSpec{id: "busy", team: "busy", weight: 1, tasks: 300, runTime: time.Second})
	for range 100 {
		q.Pop(epoch, anyItem)
	}
	q.Push(jobSpec{id: "late", team: "late", weight: 1, tasks: 300, runTime: time.Second}.job())

	counts := map[string]int{}
	for range 100 {
		j, _ := q.Pop(epoch, anyItem)
		counts[j.Team]++
	}
	if diff := cmp.Diff(map[string]int{"busy": 50, "late": 50}, counts); diff != "" {
		t.Errorf("tasks of each team (-want +got):\n%s", diff)
	}
}

func TestPopSkipsItemsThatDoNotFit(t *testing.T) {
	q := newQueue(t, "fifo", jobSpec{id: "a", tasks: 2}, jobSpec{id: "b", tasks: 1})

	_, it := q.Pop(epoch, func(j *Job, _ *Item) bool { return j.ID == "b" })
	if diff := cmp.Diff("b-0", it.Request.TaskID); diff != "" {
		t.Errorf("item (-want +got):\n%s", diff)
	}
}

// Under any sequence of operations no task is lost or duplicated, and the totals
// match the waiting tasks.
func TestQueueKeepsEveryTaskOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		order, err := Orders.Get(rapid.SampledFrom(Orders.Names()).Draw(t, "order"))
		if err != nil {
			t.Fatal(err)
		}
		q := New(order)
		var pushed, out []string
		jobs := map[*Job]bool{}
		next := 0

		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				next++
				j := jobSpec{
					id: fmt.Sprint(next), team: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "team"), weight: 1,
					tasks: rapid.IntRange(1, 4).Draw(t, "tasks"), runTime: time.Second,
				}.job()
				for _, it := range j.Items {
					pushed = append(pushed, it.Request.TaskID)
				}
				jobs[j] = true
				q.Push(j)
			},
			"pop": func(t *rapid.T) {
				j, it := q.Pop(epoch, anyItem)
				if it == nil {
					t.Skip("empty")
				}
				if rapid.Bool().Draw(t, "put back") {
					q.PushFront(j, it)
					return
				}
				out = append(out, it.Request.TaskID)
			},
			"remove": func(t *rapid.T) {
				for j := range jobs {
					delete(jobs, j)
					for _, it := range q.Remove(j) {
						out = append(out, it.Request.TaskID)
					}
					return
				}
			},
			"": func(t *rapid.T) {
				if diff := cmp.Diff(len(pushed)-len(out), q.Len()); diff != "" {
					t.Fatalf("length (-want +got):\n%s", diff)
				}
				if diff := cmp.Diff(Waiting{Tasks: q.Len(), ExpectedRun: time.Duration(q.Len()) * time.Second}, q.Waiting("")); diff != "" {
					t.Fatalf("waiting (-want +got):\n%s", diff)
				}
			},
		})

		out = append(out, drain(q, epoch)...)
		slices.Sort(pushed)
		slices.Sort(out)
		if diff := cmp.Diff(pushed, out); diff != "" {
			t.Fatalf("tasks (-pushed +out):\n%s", diff)
		}
	})
}

func BenchmarkPop(b *testing.B) {
	for _, name := range Orders.Names() {
		b.Run(name, func(b *testing.B) {
			order, err := Orders.Get(name)
			if err != nil {
				b.Fatal(err)
			}
			q := New(order)
			for i := range 500 {
				q.Push(jobSpec{id: fmt.Sprint(i), team: fmt.Sprint(i % 20), weight: 1, tasks: 8, runTime: time.Second}.job())
			}
			b.ResetTimer()
			for range b.N {
				j, it := q.Pop(epoch, anyItem)
				q.PushFront(j, it)
			}
		})
	}
}

func TestTakeLastTakesTheLastUnpinnedItems(t *testing.T) {
	q := New(fifo{})
	now := time.Now()
	for i, name := range []string{"first", "second", "pinned"} {
		j := &Job{ID: name, Arrived: now.Add(time.Duration(i)), Pinned: name == "pinned"}
		for range 3 {
			j.Items = append(j.Items, &Item{ExpectedRun: time.Second})
		}
		q.Push(j)
	}

	var got []string
	for _, j := range q.TakeLast("", now, 4) {
		got = append(got, fmt.Sprint(j.ID, " ", len(j.Items), " ", j.Remaining()))
	}
	if diff := cmp.Diff([]string{"second 3 0s", "first 1 0s"}, got); diff != "" {
		t.Errorf("taken (-want +got):\n%s", diff)
	}
	if q.Len() != 5 || q.JobCount() != 2 || q.Waiting("").ExpectedRun != 5*time.Second {
		t.Errorf("left: %d tasks of %d jobs, %v", q.Len(), q.JobCount(), q.Waiting(""))
	}
	if taken := q.TakeLast("", now, 9); len(taken) != 1 || q.Len() != 3 {
		t.Errorf("%d jobs taken, %d tasks left, want 1 and the 3 pinned", len(taken), q.Len())
	}
}

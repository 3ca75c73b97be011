package fleet

import (
	"context"
	"errors"
	"io"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/phuslu/log"

	"foxtailmux/home"
	"foxtailmux/logger"
	"foxtailmux/model"
	"foxtailmux/table"
	"foxtailmux/watch"
)

// rowAdapter is an adapter that decodes a worker's data centre only, and no row "odd".
type rowAdapter struct{ Adapter }

func (rowAdapter) DecodeWorker(r table.Row) (model.Worker, error) {
	if string(r.Value) == "odd" {
		return model.Worker{}, errors.New("odd row")
	}
	return model.Worker{DataCentre: string(r.Value)}, nil
}

// incarnationAdapter is an adapter whose rows are the number of an incarnation.
type incarnationAdapter struct{ Adapter }

func (incarnationAdapter) DecodeWorker(r table.Row) (model.Worker, error) {
	n, err := strconv.ParseInt(string(r.Value), 10, 64)
	if err == nil && n == 0 {
		err = errors.New("no incarnation")
	}
	return model.Worker{DataCentre: "kochi", Incarnation: n}, err
}

// newWorkerList returns an instance that knows no worker yet.
func newWorkerList(a Adapter) *Instance {
	return &Instance{
		adapter: a, tables: TableNames{Workers: "workers"}, changed: newNotifier(),
		log:          &logger.Logger{Logger: log.Logger{Writer: log.IOWriter{Writer: io.Discard}}},
		knownWorkers: map[string]model.Worker{}, workerCounts: map[string]int{}, missingSince: map[string]time.Time{},
		workerLeftAt: map[string]time.Time{}, localHomes: map[string]*home.Home{},
	}
}

// Guards against a worker over its capacity: the row of another writer, without the incarnation that all rows of the
// worker name, replaced what is known of the worker (review/13).
func TestRowWithoutTheIncarnationOfItsWorkerIsNotUsed(t *testing.T) {
	in := newWorkerList(incarnationAdapter{})
	var got []int64
	for _, value := range []string{"0", "7", "0", "8"} {
		in.onWorkers([]table.Row{{Key: "workers/w", Value: []byte(value), Version: 1}})
		got = append(got, in.knownWorkers["w"].Incarnation)
	}
	if diff := cmp.Diff([]int64{0, 7, 7, 8}, got); diff != "" {
		t.Errorf("incarnations (-want +got):\n%s", diff)
	}
}

// Guards against a worker that stays in use by an earlier row although its row names no worker any more,
// and against one that is out of use although its row is back.
func TestWorkerWhoseEntryIsOddIsOutOfUse(t *testing.T) {
	in := newWorkerList(rowAdapter{})
	write := func(value string) {
		in.onWorkers([]table.Row{{Key: "workers/w", Value: []byte(value), Version: 1}, {Key: "workers/other", Value: []byte("kochi"), Version: 1}})
	}
	var got []int
	for _, value := range []string{"kochi", "odd", "kochi", "odd"} {
		write(value)
		got = append(got, in.workerCounts["kochi"])
	}
	in.removeMissing(time.Now().Add(missingGrace))
	got = append(got, in.workerCounts["kochi"])
	if diff := cmp.Diff([]int{2, 2, 2, 2, 1}, got); diff != "" {
		t.Errorf("workers known (-want +got):\n%s", diff)
	}
}

// slowSource is a store whose responses take a second and have no rows.
type slowSource struct{}

func (slowSource) List(context.Context, string) (table.Changes, error) {
	time.Sleep(time.Second)
	return table.Changes{Version: 1}, nil
}

func (slowSource) Watch(context.Context, string, int64, time.Duration) (table.Changes, error) {
	time.Sleep(time.Second)
	return table.Changes{Version: 1}, nil
}

// Guards against a task that runs twice: a list of workers that was read up to a second before a home was taken
// counted as complete, though the earlier home had read of a worker since and used it.
func TestListOfWorkersIsCompleteIfItIsReadSinceTheHomeWasTaken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := log.Logger{Writer: log.IOWriter{Writer: io.Discard}}
		in := &Instance{workerLeftAt: map[string]time.Time{}}
		in.workerTable = watch.New("workers", slowSource{}, func() time.Duration { return time.Hour }, func([]table.Row) {}, &l)
		ctx, cancel := context.WithCancel(t.Context())
		go in.workerTable.Run(ctx)
		time.Sleep(incompleteAfterLoss + time.Second)
		in.workerTable.Refresh()
		time.Sleep(500 * time.Millisecond)
		taken := time.Now() // while a request is under way
		in.workerTable.Refresh()
		var got []bool
		for range 2 {
			time.Sleep(time.Second)
			got = append(got, in.listComplete("kochi", taken))
		}
		in.workerLeftAt["kochi"] = time.Now()
		got = append(got, in.listComplete("kochi", taken))
		if diff := cmp.Diff([]bool{false, true, false}, got); diff != "" {
			t.Errorf("complete after the response to the request before, to the one since, and after a loss (-want +got):\n%s", diff)
		}
		cancel()
		<-in.workerTable.Done()
	})
}

package fleet

import (
	"errors"
	"io"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/phuslu/log"

	"foxtailmux/home"
	"foxtailmux/logger"
	"foxtailmux/model"
	"foxtailmux/table"
)

// rowAdapter is an adapter that decodes a worker's data centre only, and no row "odd".
type rowAdapter struct{ Adapter }

func (rowAdapter) DecodeWorker(r table.Row) (model.Worker, error) {
	if string(r.Value) == "odd" {
		return model.Worker{}, errors.New("odd row")
	}
	return model.Worker{DataCentre: string(r.Value)}, nil
}

// Guards against a worker that stays in use by an earlier row although its row names no worker any more,
// and against one that is out of use although its row is back.
func TestWorkerWhoseEntryIsOddIsOutOfUse(t *testing.T) {
	in := &Instance{
		adapter: rowAdapter{}, tables: TableNames{Workers: "workers"}, changed: newNotifier(),
		log:          &logger.Logger{Logger: log.Logger{Writer: log.IOWriter{Writer: io.Discard}}},
		knownWorkers: map[string]model.Worker{}, workerCounts: map[string]int{}, missingSince: map[string]time.Time{},
		workerLeftAt: map[string]time.Time{}, localHomes: map[string]*home.Home{},
	}
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

package fakes_test

import (
	"bytes"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"foxtailmux/fakes"
	"foxtailmux/table"
)

func ExampleStartWorker() {
	worker, err := fakes.StartWorker(fakes.WorkerOptions{ID: "w1"})
	if err != nil {
		fmt.Println(err)
		return
	}
	defer worker.Close()

	reply, status, err := start(http.DefaultClient, worker, "task-1", fakes.Payload{Nonce: "n"})
	fmt.Println(status, reply.Outcome, string(reply.Result), err)
	// Output: 200 done {"nonce":"n","worker":"w1"} <nil>
}

func TestEventLogIsBoundedAndItsFileIsNot(t *testing.T) {
	var file bytes.Buffer
	log := fakes.NewEventLog(4, &file)
	for i := range 20 {
		log.Add(fakes.Event{Event: fakes.EventStart, Attempt: i})
	}

	page := log.Page()
	last := page.Events[len(page.Events)-1].Attempt
	if held := len(page.Events); held < 4 || held > 5 || page.Dropped != int64(20-held) || last != 19 {
		t.Errorf("%d events in memory, %d dropped, last attempt %d", held, page.Dropped, last)
	}
	written, err := fakes.ReadEvents(&file)
	if err != nil || log.Err() != nil || len(written) != 20 {
		t.Errorf("%d events in the file, %v, %v", len(written), err, log.Err())
	}
	if _, err := fakes.ReadEvents(bytes.NewBufferString("{}\n{")); err == nil {
		t.Error("an incomplete line was accepted")
	}
}

func TestShareOfLostResponsesAndDelay(t *testing.T) {
	p := startPlatform(t, fakes.PlatformOptions{Seed: 1, Faults: fakes.PlatformFaults{LoseResponses: 0.5}})
	url := "http://" + p.Addr() + table.TransactionPath
	const writes = 100
	lost := 0
	for i := range writes {
		if _, err := send(newClient(t), http.MethodPost, url, put(fmt.Sprint(i), "0", 0), nil); err != nil {
			lost++
		}
	}
	if lost < writes/4 || lost > writes*3/4 {
		t.Errorf("%d of %d responses lost, want about half", lost, writes)
	}
	if diff := cmp.Diff(fakes.Counters{Writes: writes, LostResponses: int64(lost)}, p.Counters()); diff != "" {
		t.Errorf("counters (-want +got):\n%s", diff)
	}

	p.SetFaults(fakes.PlatformFaults{SlowMillis: 50})
	began := time.Now()
	mustSend(t, http.MethodPost, url, put("slow", "0", 0), nil)
	if took := time.Since(began); took < 50*time.Millisecond {
		t.Errorf("slow write took %v, want at least 50ms", took)
	}
}

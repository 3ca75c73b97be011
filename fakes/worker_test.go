package fakes_test

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/sourcegraph/conc"

	"foxtailmux/fakes"
	"foxtailmux/model"
)

// longRun is a run time, in milliseconds, beyond the end of every test.
const longRun = 600_000

func TestWorkerEchoesTheNonceAndRecordsEvents(t *testing.T) {
	w := startWorker(t, fakes.WorkerOptions{ID: "w"})
	reply, status, err := start(newClient(t), w, "t/1", fakes.Payload{Nonce: "n"})
	if err != nil {
		t.Fatal(err)
	}
	reply.RunMillis = 0
	want := model.TaskReply{TaskID: "t/1", Outcome: model.OutcomeDone, Result: []byte(`{"nonce":"n","worker":"w"}`)}
	if diff := cmp.Diff(want, reply); diff != "" || status != http.StatusOK {
		t.Errorf("status %d, reply (-want +got):\n%s", status, diff)
	}

	var page fakes.EventPage
	mustSend(t, http.MethodGet, "http://"+w.Addr()+fakes.EventsPath, nil, &page)
	for i := range page.Events {
		page.Events[i].AtMillis = 0
	}
	wantEvents := []fakes.Event{
		{Event: fakes.EventStart, TaskID: "t/1", Attempt: 1, Worker: "w", Nonce: "n"},
		{Event: fakes.EventEnd, TaskID: "t/1", Attempt: 1, Worker: "w", Nonce: "n", Outcome: model.OutcomeDone},
	}
	if diff := cmp.Diff(wantEvents, page.Events); diff != "" {
		t.Errorf("events (-want +got):\n%s", diff)
	}
}

func TestWorkerStartsDuplicatesAgain(t *testing.T) {
	w := startWorker(t, fakes.WorkerOptions{})
	for range 2 {
		if _, _, err := start(newClient(t), w, "t", fakes.Payload{}); err != nil {
			t.Fatal(err)
		}
	}
	if got := starts(w, "t"); got != 2 {
		t.Errorf("%d starts, want 2", got)
	}
}

func TestWorkerRefusesAboveItsSlotsAndCancels(t *testing.T) {
	w := startWorker(t, fakes.WorkerOptions{Slots: 1})
	var group conc.WaitGroup
	var cancelled model.TaskReply
	group.Go(func() { cancelled, _, _ = start(newClient(t), w, "first", fakes.Payload{RunMillis: longRun}) })
	waitFor(t, "the first task runs", func() bool { return starts(w, "first") == 1 })

	reply, status, err := start(newClient(t), w, "second", fakes.Payload{})
	if err != nil || status != http.StatusServiceUnavailable || reply.Outcome != model.OutcomeNotRun {
		t.Errorf("second task: status %d, %+v, %v", status, reply, err)
	}

	cancel := func(id string) model.TaskOutcome {
		var reply model.CancelReply
		mustSend(t, http.MethodDelete, "http://"+w.Addr()+fakes.TasksPath+"/"+id, nil, &reply)
		return reply.Outcome
	}
	outcomes := []model.TaskOutcome{cancel("second"), cancel("first")}
	group.Wait()
	outcomes = append(outcomes, cancelled.Outcome, cancel("first"))
	want := []model.TaskOutcome{model.OutcomeNotRun, model.OutcomeCancelled, model.OutcomeCancelled, model.OutcomeDone}
	if diff := cmp.Diff(want, outcomes); diff != "" {
		t.Errorf("outcomes (-want +got):\n%s", diff)
	}
	if starts(w, "second") != 0 {
		t.Error("the refused task was started")
	}
}

func TestWorkerStopsATaskWhoseLeaseExpired(t *testing.T) {
	w := startWorker(t, fakes.WorkerOptions{})
	request := model.StartRequest{TaskID: "t", LeaseMillis: 20, Payload: []byte(`{"runMillis":600000}`)}
	var reply model.TaskReply
	status := mustSend(t, http.MethodPost, "http://"+w.Addr()+fakes.TasksPath, request, &reply)
	if status != http.StatusConflict || reply.Outcome != model.OutcomeCancelled {
		t.Errorf("status %d, %+v", status, reply)
	}
}

func TestWorkerFaultsOnStart(t *testing.T) {
	cases := map[string]struct {
		faults  fakes.WorkerFaults
		outcome model.TaskOutcome // empty if the connection is closed
		starts  int
	}{
		"none":             {fakes.WorkerFaults{}, model.OutcomeDone, 1},
		"failEverything":   {fakes.WorkerFaults{FailEverything: true}, model.OutcomeFailed, 1},
		"leaving":          {fakes.WorkerFaults{Leaving: true}, model.OutcomeNotRun, 0},
		"closeAfterRead":   {fakes.WorkerFaults{CloseAfterRead: true}, "", 1},
		"closeBeforeStart": {fakes.WorkerFaults{CloseBeforeStart: true}, "", 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			w := startWorker(t, fakes.WorkerOptions{})
			client := newClient(t)
			if _, _, err := start(client, w, "before", fakes.Payload{}); err != nil {
				t.Fatal(err)
			}
			mustSend(t, http.MethodPost, "http://"+w.ControlAddr()+fakes.FaultsPath, c.faults, nil)

			reply, _, err := start(client, w, "t", fakes.Payload{})
			if (err != nil) != (c.outcome == "") || reply.Outcome != c.outcome {
				t.Errorf("reply %+v, error %v", reply, err)
			}
			if got := starts(w, "t"); got != c.starts {
				t.Errorf("%d starts, want %d", got, c.starts)
			}
		})
	}
}

func TestSlowFactorMultipliesTheRunTime(t *testing.T) {
	w := startWorker(t, fakes.WorkerOptions{Faults: fakes.WorkerFaults{SlowFactor: 50}})
	reply, _, err := start(newClient(t), w, "t", fakes.Payload{RunMillis: 2})
	if err != nil || reply.RunMillis < 100 {
		t.Errorf("ran %d ms, want at least 100; %v", reply.RunMillis, err)
	}
}

func TestBlackHoleAffectsOnlyEstablishedConnections(t *testing.T) {
	w := startWorker(t, fakes.WorkerOptions{})
	old, err := net.Dial("tcp", w.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer old.Close()
	waitFor(t, "the connection is accepted", func() bool { return w.Connections() == 1 })
	mustSend(t, http.MethodPost, "http://"+w.Addr()+fakes.FaultsPath, fakes.WorkerFaults{BlackHole: true}, nil)

	body := `{"taskId":"t"}`
	if _, err := fmt.Fprintf(old, "POST %s HTTP/1.1\r\nHost: w\r\nContent-Length: %d\r\n\r\n%s", fakes.TasksPath, len(body), body); err != nil {
		t.Fatal(err)
	}
	if status := mustSend(t, http.MethodGet, "http://"+w.Addr()+fakes.StatusPath, nil, nil); status != http.StatusOK {
		t.Errorf("new connection: status %d", status)
	}
	old.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
	n, err := old.Read(make([]byte, 1))
	if timeout, ok := err.(net.Error); n != 0 || !ok || !timeout.Timeout() {
		t.Errorf("old connection read %d bytes, %v; want a timeout", n, err)
	}
	if got := starts(w, "t"); got != 0 {
		t.Errorf("%d starts over the black hole", got)
	}
}

func TestConnectionsAboveTheLimitAreClosed(t *testing.T) {
	w := startWorker(t, fakes.WorkerOptions{Connections: 1})
	kept := newClient(t)
	if _, _, err := start(kept, w, "a", fakes.Payload{}); err != nil {
		t.Fatal(err)
	}
	if _, status, err := start(newClient(t), w, "b", fakes.Payload{}); err == nil {
		t.Errorf("connection above the limit responded with status %d", status)
	}
	if _, _, err := start(kept, w, "c", fakes.Payload{}); err != nil {
		t.Errorf("connection within the limit: %v", err)
	}
}

func TestRejectConnectionsAndCloseRefuseAtTheKernel(t *testing.T) {
	w := startWorker(t, fakes.WorkerOptions{})
	dial := func() error {
		c, err := net.Dial("tcp", w.Addr())
		if err == nil {
			c.Close()
		}
		return err
	}

	control := "http://" + w.ControlAddr() + fakes.FaultsPath
	mustSend(t, http.MethodPost, control, fakes.WorkerFaults{RejectConnections: true}, nil)
	if dial() == nil {
		t.Error("connected while rejecting")
	}
	mustSend(t, http.MethodPost, control, fakes.WorkerFaults{}, nil)
	if _, _, err := start(newClient(t), w, "t", fakes.Payload{}); err != nil {
		t.Errorf("after rejecting: %v", err)
	}
	w.Close()
	<-w.Done()
	if dial() == nil {
		t.Error("connected after Close")
	}
}

func TestCancelIgnoredAndStatusDown(t *testing.T) {
	w := startWorker(t, fakes.WorkerOptions{Faults: fakes.WorkerFaults{CancelIgnored: true, StatusDown: true}})
	var group conc.WaitGroup
	group.Go(func() { start(newClient(t), w, "t", fakes.Payload{RunMillis: longRun}) })
	waitFor(t, "the task runs", func() bool { return starts(w, "t") == 1 })

	url := "http://" + w.Addr()
	statuses := []int{
		mustSend(t, http.MethodDelete, url+fakes.TasksPath+"/t", nil, nil),
		mustSend(t, http.MethodGet, url+fakes.StatusPath, nil, nil),
	}
	if diff := cmp.Diff([]int{503, 503}, statuses); diff != "" {
		t.Errorf("statuses (-want +got):\n%s", diff)
	}
	if got := w.Status().BusySlots; got != 1 {
		t.Errorf("%d busy slots, want 1", got)
	}
	w.Close()
	group.Wait()
}

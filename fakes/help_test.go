package fakes_test

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"testing"
	"time"

	"foxtailmux/fakes"
	"foxtailmux/model"
)

// waitLimit bounds how long a test waits for a condition.
const waitLimit = 10 * time.Second

func startPlatform(t *testing.T, o fakes.PlatformOptions) *fakes.Platform {
	t.Helper()
	p, err := fakes.StartPlatform(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	return p
}

func startWorker(t *testing.T, o fakes.WorkerOptions) *fakes.Worker {
	t.Helper()
	w, err := fakes.StartWorker(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(w.Close)
	return w
}

func newClient(t *testing.T) *http.Client {
	transport := &http.Transport{}
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport, Timeout: waitLimit}
}

// send sends one request, without retries, and decodes the JSON response into
// reply unless it is nil.
func send(client *http.Client, method, url string, body, reply any) (int, error) {
	encoded, err := json.Marshal(body)
	if err != nil {
		return 0, err
	}
	request, err := http.NewRequest(method, url, bytes.NewReader(encoded))
	if err != nil {
		return 0, err
	}
	request.GetBody = nil

	response, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil || reply == nil {
		return response.StatusCode, err
	}
	return response.StatusCode, json.Unmarshal(content, reply)
}

func mustSend(t *testing.T, method, url string, body, reply any) int {
	t.Helper()
	status, err := send(newClient(t), method, url, body, reply)
	if err != nil {
		t.Fatal(err)
	}
	return status
}

func start(client *http.Client, w *fakes.Worker, id string, payload fakes.Payload) (model.TaskReply, int, error) {
	encoded, err := json.Marshal(payload)
	if err != nil {
		return model.TaskReply{}, 0, err
	}
	var reply model.TaskReply
	request := model.StartRequest{TaskID: id, Attempt: 1, Payload: encoded}
	status, err := send(client, http.MethodPost, "http://"+w.Addr()+fakes.TasksPath, request, &reply)
	return reply, status, err
}

func starts(w *fakes.Worker, id string) int {
	count := 0
	for _, e := range w.Events().Events {
		if e.Event == fakes.EventStart && e.TaskID == id {
			count++
		}
	}
	return count
}

func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for limit := time.Now().Add(waitLimit); time.Now().Before(limit); time.Sleep(time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("timed out waiting: %s", what)
}

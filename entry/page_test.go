package entry

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"foxtailmux/model"
)

const apiPage = "../docs/API.md"

// readPage returns the text of the page that documents the HTTP interface.
func readPage(t *testing.T) string {
	t.Helper()
	text, err := os.ReadFile(apiPage)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

var httpBlock = regexp.MustCompile("(?s)```http\n(.*?)```")

// pageIntake is a fake Intake whose answers match the examples on the page.
type pageIntake struct{ intake }

func (p *pageIntake) Submit(_ context.Context, job model.Job) model.Answer {
	switch {
	case job.Ticket == "lost-1":
		a := model.Fail(job.Ticket, model.RanMaybe, model.FailIssuerLost, "r")
		a.ThisAttempt = model.RanNo
		return a
	case job.IdempotencyKey == "used":
		a := model.Fail("", model.RanMaybe, model.FailKeyConflict, "r")
		a.ThisAttempt = model.RanNo
		return a
	case job.Tasks[0].Needs.Cores == 1000:
		return model.Fail("j", model.RanNo, model.FailNeverFits, "r")
	case job.Team == "busy":
		a := model.Fail("j", model.RanNo, model.FailQuota, "r")
		a.Error.RetryAfterMillis = 400
		return a
	case job.Team == "unlucky":
		return model.Fail("j", model.RanMaybe, model.FailWorkerLost, "r")
	}
	return complete(job)
}

// complete returns a complete answer with the result that the page shows for the
// service of the job.
func complete(job model.Job) model.Answer {
	result := `{"price":1}`
	if job.Service == "bookmark" {
		result = `{"saved":true}`
	}
	a := model.Answer{JobID: "j", Result: model.Complete, Ran: model.RanYes}
	for range job.Tasks {
		a.Tasks = append(a.Tasks, json.RawMessage(result))
	}
	return a
}

func (p *pageIntake) Status(_ context.Context, id string) (model.JobStatus, error) {
	switch id {
	case "a3f1-18":
		a := complete(model.Job{Service: "bookmark", Tasks: make([]model.Task, 1)})
		return model.JobStatus{JobID: id, Answer: &a}, nil
	case "a3f1-19":
		return model.JobStatus{JobID: id, Open: true}, nil
	}
	return model.JobStatus{}, unknownJobError{}
}

// shownResponse is the part of a response that has to match the page.
type shownResponse struct {
	Status     int
	Type       string
	RetryAfter string
	Shape      any
}

// TestExamplesOfThePageGetTheAnswersThatItShows sends each example request of the page
// and compares the response with the one that follows it on the page.
func TestExamplesOfThePageGetTheAnswersThatItShows(t *testing.T) {
	s := serve(t, testLimits, &pageIntake{}, 10)
	blocks := httpBlock.FindAllStringSubmatch(readPage(t), -1)
	if len(blocks) < 20 || len(blocks)%2 != 0 {
		t.Fatalf("the page has %d blocks", len(blocks))
	}

	calls := map[string]bool{}
	for i := 0; i < len(blocks); i += 2 {
		head, body, _ := strings.Cut(blocks[i][1], "\n\n")
		call, _, _ := strings.Cut(head, " HTTP/1.1")
		t.Run(call, func(t *testing.T) {
			length := strconv.Itoa(len(body))
			conn := dialServer(t, s, crlf(strings.TrimSpace(head)+"\nHost: h\nContent-Length: "+length)+"\r\n\r\n"+body)
			got := readShownResponse(t, bufio.NewReader(conn))

			shown, shownBody, _ := strings.Cut(blocks[i+1][1], "\n\n")
			text := crlf(shown+"\nContent-Length: "+strconv.Itoa(len(shownBody))) + "\r\n\r\n" + shownBody
			want := readShownResponse(t, bufio.NewReader(strings.NewReader(text)))
			if diff := cmp.Diff(want, got); diff != "" {
				t.Error(diff)
			}
		})
		method, path, _ := strings.Cut(call, " ")
		calls[method+" "+loggedPath(path)] = true
	}

	want := map[string]bool{"POST /v1/tickets": true, "POST /v1/jobs": true, "GET /v1/jobs/:id": true, "DELETE /v1/jobs/:id": true}
	if diff := cmp.Diff(want, calls); diff != "" {
		t.Errorf("calls with an example: %s", diff)
	}
}

func crlf(text string) string { return strings.ReplaceAll(text, "\n", "\r\n") }

func readShownResponse(t *testing.T, r *bufio.Reader) shownResponse {
	t.Helper()
	response, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}

	var value any
	if err := json.Unmarshal(body, &value); err != nil {
		t.Fatalf("%v in %s", err, body)
	}
	return shownResponse{
		Status:     response.StatusCode,
		Type:       response.Header.Get("Content-Type"),
		RetryAfter: response.Header.Get("Retry-After"),
		Shape:      shape("", value),
	}
}

// shape replaces values by their types, except for the fields by which client programs
// decide and for booleans.
func shape(key string, value any) any {
	switch v := value.(type) {
	case map[string]any:
		fields := map[string]any{}
		for name, field := range v {
			fields[name] = shape(name, field)
		}
		return fields
	case []any:
		var elements []any
		for _, element := range v {
			elements = append(elements, shape("", element))
		}
		return elements
	case string:
		switch key {
		case "result", "ran", "thisAttempt", "kind":
			return v
		}
		return "string"
	case bool:
		return v
	default:
		return fmt.Sprintf("%T", v)
	}
}

var kindRow = regexp.MustCompile("(?m)^\\| `([a-zA-Z]+)` \\| ([0-9]{3}) \\|")

func TestThePageListsTheStatusOfEachFailureKind(t *testing.T) {
	shown := map[string]int{}
	for _, row := range kindRow.FindAllStringSubmatch(readPage(t), -1) {
		shown[row[1]], _ = strconv.Atoi(row[2])
	}

	built := map[string]int{string(model.FailInternal): http.StatusInternalServerError}
	for kind, status := range statusByKind {
		built[string(kind)] = status
	}
	if diff := cmp.Diff(built, shown); diff != "" {
		t.Error(diff)
	}
}

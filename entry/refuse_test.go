package entry

import (
	"context"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"foxtailmux/model"
)

// refusal holds the fields of a reply that the tests compare.
type refusal struct {
	Status     int
	Kind       model.FailureKind
	Ran        model.Ran
	RetryAfter string
}

func refusalOf(r reply) refusal {
	got := refusal{Status: r.Status, Ran: r.Answer.Ran, RetryAfter: r.Header.Get("Retry-After")}
	if r.Answer.Error != nil {
		got.Kind = r.Answer.Error.Kind
	}
	return got
}

func TestRefusedRequestsGetAnAnswerAndNothingRuns(t *testing.T) {
	large := strings.Repeat("x", 5000)
	for name, c := range map[string]struct {
		text string
		want refusal
	}{
		"body over the limit":         {post("/v1/jobs", large), refusal{Status: 413, Kind: "tooLarge"}},
		"chunked body over the limit": {"POST /v1/jobs HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1388\r\n" + large + "\r\n0\r\n\r\n", refusal{Status: 413, Kind: "tooLarge"}},
		"headers over the limit":      {post("/v1/jobs", "{}", "X-Large: "+large[:3000]), refusal{Status: 431, Kind: "tooLarge"}},
		"too many tasks":              {post("/v1/jobs", jobOf(21, "")), refusal{Status: 413, Kind: "tooLarge"}},
		"no body":                     {post("/v1/jobs", ""), refusal{Status: 400, Kind: "badRequest"}},
		"no JSON":                     {post("/v1/jobs", "{"), refusal{Status: 400, Kind: "badRequest"}},
		"another type of field":       {post("/v1/jobs", `{"team":1}`), refusal{Status: 400, Kind: "badRequest"}},
		"an unknown field":            {post("/v1/jobs", jobOf(1, `,"colour":1`)), refusal{Status: 400, Kind: "badRequest"}},
		"two jobs":                    {post("/v1/jobs", jobOf(1, "")+"{}"), refusal{Status: 400, Kind: "badRequest"}},
		"a compressed body":           {post("/v1/jobs", jobOf(1, ""), "Content-Encoding: gzip"), refusal{Status: 415, Kind: "badRequest"}},
		"no such path":                {withoutBody("GET", "/v2/jobs"), refusal{Status: 404, Kind: "badRequest"}},
		"no such method on the path":  {withoutBody("PUT", "/v1/jobs"), refusal{Status: 405, Kind: "badRequest"}},
		"no method of HTTP":           {withoutBody("BREW", "/v1/jobs"), refusal{Status: 501, Kind: "badRequest"}},
		"no HTTP":                     {"hello\r\n\r\n", refusal{Status: 400, Kind: "badRequest"}},
		"zero tickets":                {post("/v1/tickets", `{"count":0}`), refusal{Status: 400, Kind: "badRequest"}},
		"too many tickets":            {post("/v1/tickets", `{"count":11}`), refusal{Status: 400, Kind: "badRequest"}},
		"tickets without JSON":        {post("/v1/tickets", "["), refusal{Status: 400, Kind: "badRequest"}},
	} {
		t.Run(name, func(t *testing.T) {
			fake := &intake{}
			r := readReply(t, dialServer(t, serve(t, testLimits, fake, 1), c.text))
			c.want.Ran = model.RanNo
			if diff := cmp.Diff(c.want, refusalOf(r)); diff != "" {
				t.Error(diff)
			}
			if r.Answer.Error == nil || r.Answer.Error.Reason == "" || r.Answer.Result != model.Failed {
				t.Errorf("the answer is %+v", r.Answer)
			}
			if fake.submits() != 0 {
				t.Error("the job was submitted")
			}
		})
	}
}

func TestRequestsThatDoNotArriveInTimeAreRefused(t *testing.T) {
	limits := testLimits
	limits.ReadTimeout = 50 * time.Millisecond
	for name, text := range map[string]string{
		"headers": "POST /v1/jobs HTTP/1.1\r\nHost: h\r\nContent-Le",
		"body":    "POST /v1/jobs HTTP/1.1\r\nHost: h\r\nContent-Length: 50\r\n\r\n{",
	} {
		t.Run(name, func(t *testing.T) {
			r := readReply(t, dialServer(t, serve(t, limits, &intake{}, 1), text))
			if diff := cmp.Diff(refusal{Status: 408, Kind: "badRequest", Ran: model.RanNo}, refusalOf(r)); diff != "" {
				t.Error(diff)
			}
			if !r.Close {
				t.Error("the connection stays open")
			}
		})
	}
}

func TestJobsAndConnectionsAboveTheLimitAreRefused(t *testing.T) {
	want := refusal{Status: 503, Kind: "overloaded", Ran: model.RanNo, RetryAfter: "1"}

	jobs := serve(t, testLimits, &intake{}, 0)
	if diff := cmp.Diff(want, refusalOf(readReply(t, dialServer(t, jobs, post("/v1/jobs", jobOf(1, "")))))); diff != "" {
		t.Errorf("jobs: %s", diff)
	}

	limits := testLimits
	limits.MaxConnections = 1
	connections := serve(t, limits, &intake{}, 1)
	first := dialServer(t, connections, post("/v1/jobs", jobOf(1, "")))
	readReply(t, first)
	if diff := cmp.Diff(want, refusalOf(readReply(t, dialServer(t, connections, "")))); diff != "" {
		t.Errorf("connections: %s", diff)
	}

	_ = first.Close()
	for !servedBy(t, connections) {
		time.Sleep(time.Millisecond)
	}
}

// servedBy reports whether the server serves a new connection.
func servedBy(t *testing.T, s *Server) bool {
	t.Helper()
	conn, err := net.Dial("tcp", s.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_, _ = conn.Write([]byte(post("/v1/jobs", jobOf(1, ""))))
	return readReply(t, conn).Status == 200
}

func TestStatusesOfFailedJobs(t *testing.T) {
	waiting := model.Fail("j", model.RanNo, model.FailQuota, "r")
	waiting.Error.RetryAfterMillis = 1500
	for name, c := range map[string]struct {
		answer model.Answer
		want   refusal
	}{
		"quota with a delay":         {waiting, refusal{429, "quota", "no", "2"}},
		"never fits":                 {model.Fail("j", model.RanNo, model.FailNeverFits, "r"), refusal{422, "neverFits", "no", ""}},
		"worker lost":                {model.Fail("j", model.RanMaybe, model.FailWorkerLost, "r"), refusal{502, "workerLost", "maybe", ""}},
		"deadline after a start":     {model.Fail("j", model.RanYes, model.FailDeadline, "r"), refusal{504, "deadline", "yes", ""}},
		"deadline before a start":    {model.Fail("j", model.RanNo, model.FailDeadline, "r"), refusal{503, "deadline", "no", ""}},
		"unknown kind":               {model.Fail("j", model.RanMaybe, "odd", "r"), refusal{500, "odd", "maybe", ""}},
		"result that can't be coded": {model.Answer{JobID: "j", Result: model.Complete, Ran: model.RanYes, Tasks: rawTasks("{")}, refusal{500, "internal", "yes", ""}},
	} {
		t.Run(name, func(t *testing.T) {
			fake := &intake{run: func(context.Context, model.Job) model.Answer { return c.answer }}
			r := readReply(t, dialServer(t, serve(t, testLimits, fake, 1), post("/v1/jobs", jobOf(1, ""))))
			if diff := cmp.Diff(c.want, refusalOf(r)); diff != "" {
				t.Error(diff)
			}
			if r.Answer.JobID != "j" {
				t.Errorf("job id is %q", r.Answer.JobID)
			}
		})
	}
}

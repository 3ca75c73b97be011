package entry

import (
	"encoding/json"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/gofiber/fiber/v3"

	"foxtailmux/model"
)

// FuzzJobBody checks that any body is either submitted exactly once or refused with
// Ran "no" and not submitted.
func FuzzJobBody(f *testing.F) {
	for _, seed := range []string{
		"", "{", "null", "[]", "{}", `{"team":"a"}`, jobOf(1, ""), jobOf(21, ""),
		jobOf(1, `,"ticket":"t"`), jobOf(1, `,"idempotencyKey":"k","repeatable":true`),
		jobOf(1, `,"deadlineMillis":9223372036854775808`), jobOf(1, "") + "x",
		`{"tasks":[{"payload":{"a":[1,"\u0000",null]},"needs":{"cores":-1}}]}`,
		"{\"team\":\"\xff\"}", strings.Repeat("[", 2000),
	} {
		f.Add([]byte(seed))
	}

	f.Fuzz(func(t *testing.T, body []byte) {
		fake := &intake{}
		s := newTestServer(t, testLimits, fake, 1)
		response, err := s.app.Test(httptest.NewRequest("POST", "/v1/jobs", strings.NewReader(string(body))), fiber.TestConfig{})
		if err != nil {
			if len(body) > testLimits.MaxBodyBytes {
				return // the test client of the HTTP library returns no response to these
			}
			t.Fatal(err)
		}
		defer response.Body.Close()

		var a model.Answer
		if err := json.NewDecoder(response.Body).Decode(&a); err != nil {
			t.Fatal(err)
		}
		accepted := response.StatusCode == 200 && a.Result == model.Complete && fake.submits() == 1
		refused := response.StatusCode/100 == 4 && a.Result == model.Failed && a.Ran == model.RanNo && fake.submits() == 0
		if accepted == refused {
			t.Errorf("status %d, %+v, %d submits", response.StatusCode, a, fake.submits())
		}
	})
}

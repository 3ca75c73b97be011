package intake

import (
	"testing"

	"foxtailmux/model"
)

// FuzzSubmissionOfAPeerIsAnsweredOrRefused checks that no parameters of a forwarded
// submission crash the handler, lead to an incomplete answer or start a job that
// the runner refuses.
func FuzzSubmissionOfAPeerIsAnsweredOrRefused(f *testing.F) {
	for _, seed := range []string{
		`{"id":"0000000000000001-0000000000000000","job":{"team":"t","tasks":[{"payload":1}]},"digest":"d","leftMillis":100,"hops":1}`,
		`{"id":"0000000000000001-0000000000000000","job":{"tasks":[{}]},"digest":"d","leftMillis":-9223372036854775808,"hops":-1}`,
		`{"id":"0000000000000001-0000000000000009","job":{"tasks":[{}]},"digest":"d","leftMillis":9223372036854775807,"hops":9}`,
		`{"job":{"idempotencyKey":"k"},"digest":"d"}`,
		`{"id":"x","digest":"d"}`,
		`{}`,
		`null`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		net, nodes := cluster(t, 1)
		nodes[0].refuse = true
		id := tickets(t, nodes[0], 1)[0]
		got, err := nodes[0].handlers[methodSubmit](t.Context(), text)
		if answer, ok := got.(model.Answer); err == nil && (!ok || answer.Result != model.Failed || answer.Ran == "") {
			t.Fatalf("answer %+v", got)
		}
		if n := net.starts(id); n != 0 {
			t.Fatalf("%d starts of a refused job", n)
		}
	})
}

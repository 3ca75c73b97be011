package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/phuslu/log"

	"foxtailmux/home"
	"foxtailmux/logger"
	"foxtailmux/model"
	"foxtailmux/peer"
	"foxtailmux/plan"
	"foxtailmux/table"
	"foxtailmux/watch"
)

// Guards against logs that can't tell to which homes a job was sent, and why to the next one.
func TestAttemptsTellWhereAJobWentAndWhy(t *testing.T) {
	in := newListener(t)
	in.self.Instance, in.self.Incarnation = "entry", "1"
	in.reservations, in.link = map[string]reservation{}, plan.NewLink(0)
	in.homeTable = watch.New(homesTableName, nil, nil, func([]table.Row) {}, &in.log.Logger)
	setHome := func(id string, version int64) {
		in.homeTable.ApplyWrite(table.Row{Key: homeKey("kochi"), Value: []byte(`{"instance":"` + id + `","incarnation":"1"}`), Version: version})
		in.changed.notify()
	}
	for id, answer := range map[string]func() (any, error){
		"refusing": func() (any, error) {
			setHome("silent", 12)
			return nil, errNotHome
		},
		"moving": func() (any, error) {
			time.AfterFunc(50*time.Millisecond, func() { setHome("refusing", 11) })
			return home.Outcome{Result: home.Moved, Done: []string{"a.0.0.0"}}, nil
		},
	} {
		other := startGroup(t, id)
		other.Handle(methodRun, func(context.Context, json.RawMessage) (any, error) { return answer() })
		in.peers.SetPeer(id, other.Addr())
		in.hear(`{"instance":"` + id + `","incarnation":"1","nextMillis":60000}`)
	}
	silent := startGroup(t, "silent")
	silent.Handle(methodRun, func(ctx context.Context, _ json.RawMessage) (any, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	})
	silent.Handle(methodCancel, func(context.Context, json.RawMessage) (any, error) { return struct{}{}, nil })
	in.peers.SetPeer("silent", silent.Addr())
	in.hear(`{"instance":"silent","incarnation":"1","nextMillis":60000}`)
	setHome("moving", 9)
	time.Sleep(50 * time.Millisecond) // until the heartbeats have arrived

	ctx, leave := context.WithTimeout(t.Context(), 400*time.Millisecond)
	defer leave()
	j := newForwarding("kochi")
	j.part = &home.Part{First: 2, Count: 3}
	attempts := &home.Attempts{}
	s := home.Submission{
		Batch: model.Batch{ID: "a"}, Origin: "entry", Incarnation: "1", TimeLeft: time.Second,
		Route: model.Route{Stretch: 2, Allowance: time.Second}, Attempts: attempts,
	}
	in.forward(ctx, s, j, time.Now())
	want := []string{
		"#2+3 moving/9.1 moved 1 done 0 begun",
		"#2+3 refusing/11.2 not accepted, refused: not the home of the data centre",
		"#2+3 silent/12.3 given up, context deadline exceeded",
	}
	times := regexp.MustCompile(` \d+-\d+`)
	got := attempts.List()
	for i := range got {
		got[i] = times.ReplaceAllString(got[i], "")
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("attempts (-want +got):\n%s", diff)
	}
}

// Guards against logs that can't tell a job that waited for a home from one that was sent to none.
func TestAttemptsTellThatThereWasNoHome(t *testing.T) {
	in := &Instance{changed: newNotifier(), homeSeenAt: time.Now().Add(-time.Hour)}
	in.homeTable = watch.New(homesTableName, nil, nil, func([]table.Row) {}, nil)
	attempts := &home.Attempts{}
	in.forward(t.Context(), home.Submission{Attempts: attempts}, newForwarding("kochi"), time.Now())
	if diff := cmp.Diff([]string{"kochi -0 no live home"}, attempts.List()); diff != "" {
		t.Errorf("attempts (-want +got):\n%s", diff)
	}
}

// Guards against an attempt that is logged as something else than what the origin took it for.
func TestEndsOfAttempts(t *testing.T) {
	ctx := t.Context()
	got := []string{
		describeEnd(ctx, home.Outcome{Result: home.Redirected, DataCentre: "tvm"}, nil),
		describeEnd(ctx, home.Outcome{Result: home.Busy}, nil),
		describeEnd(ctx, home.Outcome{Result: home.NoCapacity, StartableTasks: 3}, nil),
		describeEnd(ctx, home.Outcome{}, notSent),
		describeEnd(ctx, home.Outcome{}, unconfirmed),
		describeEnd(ctx, home.Outcome{}, &peer.Error{Kind: peer.Unconfirmed, Err: errLate}),
		describeEnd(ctx, home.Outcome{}, errNotHome),
	}
	want := []string{
		"redirected to tvm", "busy", "noRoom", "not accepted, notSent: not the home of the data centre",
		"lost, unknown: unexpected EOF", "lost, unknown: the job was under way for too long and is not run",
		"not accepted, not the home of the data centre",
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("ends (-want +got):\n%s", diff)
	}
	if n := len(describeEnd(ctx, home.Outcome{}, &peer.Error{Kind: peer.NotSent, Err: errText(strings.Repeat("x", 1000))})); n > 100 {
		t.Errorf("an error takes %d bytes", n)
	}
}

// errText is an error with a text.
type errText string

func (e errText) Error() string { return string(e) }

// Guards against a record of an incident, which cuts lines off after 200 bytes, without the job and the home of
// a failed call.
func TestJobAndHomeOfAFailedCallStandInTheFirstBytesOfALine(t *testing.T) {
	const maxBytes = 200 - len(`"instance":"edge-osr-b-2","dataCentre":"osr-b",`)
	var logged bytes.Buffer
	in := newListener(t)
	in.log = &logger.Logger{Logger: log.Logger{Writer: log.IOWriter{Writer: &logged}}}
	in.self.Instance, in.self.Incarnation = "entry", "1"
	in.reservations, in.link = map[string]reservation{}, plan.NewLink(0)
	in.homeTable = watch.New(homesTableName, nil, nil, func([]table.Row) {}, &in.log.Logger)
	other := startGroup(t, "other")
	other.Handle(methodRun, func(context.Context, json.RawMessage) (any, error) { return nil, errNotHome })
	in.peers.SetPeer("other", other.Addr())
	in.hear(`{"instance":"other","incarnation":"1","nextMillis":60000}`)
	in.homeTable.ApplyWrite(table.Row{Key: homeKey("osr-a"), Value: []byte(`{"instance":"other","incarnation":"1"}`), Version: 1234})
	time.Sleep(50 * time.Millisecond) // until the heartbeat has arrived

	s := home.Submission{Batch: model.Batch{ID: "5c0e7a21d94b36f8"}, Origin: "entry", Incarnation: "1", TimeLeft: time.Second}
	s.Route = model.Route{Stretch: 2, Allowance: 10 * time.Millisecond}
	in.forward(t.Context(), s, newForwarding("osr-a"), time.Now())
	want := `"job":"5c0e7a21d94b36f8","home":"osr-a","token":1234,"submission":1,"unsent":true`
	if end := bytes.Index(logged.Bytes(), []byte(want)) + len(want); end < len(want) || end > maxBytes {
		t.Errorf("the fields end at byte %d of %s", end, logged.Bytes())
	}
}

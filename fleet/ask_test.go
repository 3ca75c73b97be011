package fleet

import (
	"errors"
	"testing"
	"time"

	"foxtailmux/home"
	"foxtailmux/model"
	"foxtailmux/plan"
)

// While the starts of earlier jobs queue for a low-bandwidth link, questions about capacity would
// delay them and be answered too late.
func TestHomesAreNotAskedOverABusyLink(t *testing.T) {
	in := newOrigin(&recordingWorker{})
	in.link = plan.NewLink(2) // 250 bytes per millisecond
	in.link.RecordSend(10_000, time.Now())
	s := home.Submission{Batch: model.Batch{ID: "a", Steps: []model.Step{{Replicas: 4}}}}
	if _, err := in.askStartable(t.Context(), "kochi", s); !errors.Is(err, errLinkBusy) {
		t.Errorf("error %v, want %v", err, errLinkBusy)
	}
}

func TestQuestionsAboutCapacityAreChecked(t *testing.T) {
	in := newOrigin(&recordingWorker{})
	if _, err := in.serveStartable(t.Context(), []byte(`{"dataCentre":"kochi","job":{}}`)); !errors.Is(err, errNotHome) {
		t.Errorf("error %v, want %v", err, errNotHome)
	}
	if _, err := in.serveStartable(t.Context(), []byte(`{"dataCentre":7}`)); err == nil {
		t.Error("a malformed request got a response")
	}
}

func TestJobWithoutStepsHasNoStartableTasks(t *testing.T) {
	h := home.New(home.Options{DataCentre: "kochi", Token: 1, MaxLease: time.Second})
	defer h.Close()
	if n := h.StartableTasks(home.Submission{}); n != 0 {
		t.Errorf("%d tasks", n)
	}
}

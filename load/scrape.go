package load

import (
	"bytes"
	"net/http"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	prom "github.com/prometheus/common/model"
	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
)

// Name of the counter of messages, of its label and of the label's values.
const (
	messagesMetric = "foxtailmux_messages_total"
	purposeLabel   = "purpose"
	purposeNeeded  = "needed"
	purposeWasted  = "wasted"
)

// Messages holds numbers of messages between processes. A needed message moves
// a job towards its answer; a wasted one turned out to be superfluous.
type Messages struct {
	Needed float64 `json:"needed"`
	Wasted float64 `json:"wasted"`
}

// minus returns the difference to an earlier count.
func (m Messages) minus(before Messages) Messages {
	return Messages{Needed: m.Needed - before.Needed, Wasted: m.Wasted - before.Wasted}
}

// plus returns the sum of both counts.
func (m Messages) plus(other Messages) Messages {
	return Messages{Needed: m.Needed + other.Needed, Wasted: m.Wasted + other.Wasted}
}

// scrape reads the message counters at the operators' addresses and returns
// their sum. The key may be empty. It fails with KindMetrics when one address
// can't be read.
func scrape(admins []string, key string) (Messages, error) {
	var total Messages
	for _, addr := range admins {
		body, err := fetchMetrics(addr, key)
		if err != nil {
			return Messages{}, &Error{Op: "read metrics of " + addr, Kind: KindMetrics, Err: err}
		}
		messages, err := parseMessages(body)
		if err != nil {
			return Messages{}, &Error{Op: "parse metrics of " + addr, Kind: KindMetrics, Err: err}
		}
		total = total.plus(messages)
	}
	return total, nil
}

func fetchMetrics(addr, key string) ([]byte, error) {
	request, response := &fasthttp.Request{}, &fasthttp.Response{}
	request.SetRequestURI("http://" + addr + "/metrics")
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	if err := fasthttp.DoTimeout(request, response, requestTimeout); err != nil {
		return nil, err
	}
	if response.StatusCode() != http.StatusOK {
		return nil, eris.Errorf("status %d", response.StatusCode())
	}
	return response.Body(), nil
}

// isReady reports whether the instance at that operators' address accepts new
// jobs.
func isReady(addr string) bool {
	request, response := &fasthttp.Request{}, &fasthttp.Response{}
	request.SetRequestURI("http://" + addr + "/readyz")
	err := fasthttp.DoTimeout(request, response, requestTimeout)
	return err == nil && response.StatusCode() == http.StatusOK
}

// parseMessages sums the message counters of a metrics page by purpose.
func parseMessages(body []byte) (Messages, error) {
	parser := expfmt.NewTextParser(prom.UTF8Validation)
	families, err := parser.TextToMetricFamilies(bytes.NewReader(body))
	if err != nil {
		return Messages{}, err
	}
	family, ok := families[messagesMetric]
	if !ok {
		return Messages{}, eris.Errorf("no metric %s", messagesMetric)
	}

	var messages Messages
	for _, metric := range family.GetMetric() {
		switch purpose(metric) {
		case purposeNeeded:
			messages.Needed += value(metric)
		case purposeWasted:
			messages.Wasted += value(metric)
		}
	}
	return messages, nil
}

// purpose returns the purpose label of a metric, or "".
func purpose(metric *dto.Metric) string {
	for _, label := range metric.GetLabel() {
		if label.GetName() == purposeLabel {
			return label.GetValue()
		}
	}
	return ""
}

// value returns the value of a counter, also when the page doesn't declare its
// type.
func value(metric *dto.Metric) float64 {
	if c := metric.GetCounter(); c != nil {
		return c.GetValue()
	}
	return metric.GetUntyped().GetValue()
}

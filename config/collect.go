package config

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc/pool"
	"github.com/valyala/fasthttp"
)

const (
	// StatusPath is where an instance's operators' port serves its Status.
	StatusPath = "/v1/config/status"

	collectTimeout  = 2 * time.Second
	maxCollectors   = 16
	maxStatusBytes  = 64 << 10
	missingInstance = "not reachable"
)

// InstanceStatus is the answer of one operators' address. Status is nil if
// the instance could not be asked; Error says why.
type InstanceStatus struct {
	Addr   string  `json:"addr"`
	Status *Status `json:"status,omitempty"`
	Error  string  `json:"error,omitempty"`
}

// StatusReport is evidence from every instance asked. Same tells that all of
// them answered and have one version and digest in force.
type StatusReport struct {
	Instances []InstanceStatus `json:"instances"`
	Same      bool             `json:"same"`
}

// CollectStatus asks every operators' address for its status, with a bearer
// key unless it is empty. The report is in the order of the addresses.
func CollectStatus(ctx context.Context, addrs []string, key string) StatusReport {
	ctx, cancel := context.WithTimeout(ctx, collectTimeout)
	defer cancel()

	r := StatusReport{Instances: make([]InstanceStatus, len(addrs))}
	collectors := pool.New().WithMaxGoroutines(maxCollectors)
	for i, addr := range addrs {
		collectors.Go(func() {
			r.Instances[i] = askStatus(ctx, addr, key)
		})
	}
	collectors.Wait()
	r.Same = r.allSame()
	return r
}

func (r StatusReport) allSame() bool {
	for _, s := range r.Instances {
		if s.Status == nil || s.Status.Version == 0 {
			return false
		}
		first := r.Instances[0].Status
		if s.Status.Version != first.Version || s.Status.Digest != first.Digest {
			return false
		}
	}
	return len(r.Instances) > 0
}

func askStatus(ctx context.Context, addr, key string) InstanceStatus {
	status, err := getStatus(ctx, addr, key)
	if err != nil {
		return InstanceStatus{Addr: addr, Error: fmt.Sprintf("%s: %v", missingInstance, err)}
	}
	return InstanceStatus{Addr: addr, Status: &status}
}

func getStatus(ctx context.Context, addr, key string) (Status, error) {
	host := &fasthttp.HostClient{
		Addr:                      addr,
		DialTimeout:               fasthttp.DialTimeout,
		MaxResponseBodySize:       maxStatusBytes,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}
	defer host.CloseIdleConnections()
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)

	req.SetRequestURI("http://" + addr + StatusPath)
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	deadline, _ := ctx.Deadline()
	if err := host.DoDeadline(req, resp, deadline); err != nil {
		return Status{}, eris.Wrap(err, "ask")
	}
	if resp.StatusCode() != http.StatusOK {
		return Status{}, eris.Errorf("answered with status %d", resp.StatusCode())
	}

	var s Status
	if err := json.Unmarshal(resp.Body(), &s); err != nil {
		return Status{}, eris.Wrap(err, "malformed status")
	}
	if s.Instance == "" {
		return Status{}, eris.New("malformed status: it names no instance")
	}
	return s, nil
}

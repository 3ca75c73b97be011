package config

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc/pool"
	"github.com/valyala/fasthttp"
)

const (
	// StatusPath is the path on an instance's operators' port that returns its
	// Status.
	StatusPath = "/v1/config/status"

	collectTimeout   = 2 * time.Second
	maxCollectors    = 16
	maxStatusBytes   = 1 << 20
	notReachableText = "not reachable"

	// stateLeaving is the MemberStatus.State of an instance that is shutting
	// down.
	stateLeaving = "leaving"
)

// InstanceStatus is the response from one operators' address. Status is nil if
// the request failed; Error is then the reason. Instance and DataCentre are set
// for an instance that was found through the members of another one.
type InstanceStatus struct {
	Addr       string  `json:"addr"`
	Instance   string  `json:"instance,omitempty"`
	DataCentre string  `json:"dataCentre,omitempty"`
	Status     *Status `json:"status,omitempty"`
	Error      string  `json:"error,omitempty"`
}

// StatusReport holds the statuses of all instances. Same is set if every
// instance responded and all have the same version and digest in force.
type StatusReport struct {
	Instances []InstanceStatus `json:"instances"`
	Same      bool             `json:"same"`
}

// CollectStatus queries the status of every operators' address, then of the
// instances that the responses list as members, until no new ones appear. key
// is the bearer key to send, none if it is empty. All queries together take at
// most 2 s. The report is in the order of addrs, followed by the instances found
// through others; those found in the same round are sorted by name. A member
// that is not leaving and can't be queried is in the report with an error.
func CollectStatus(ctx context.Context, addrs []string, key string) StatusReport {
	ctx, cancel := context.WithTimeout(ctx, collectTimeout)
	defer cancel()

	c := collector{key: key, queried: map[string]bool{}, responded: map[string]bool{}}
	var next []MemberStatus
	for _, addr := range addrs {
		next = append(next, MemberStatus{OperatorsAddr: addr})
	}
	for len(next) > 0 {
		c.query(ctx, next)
		next = c.newTargets()
	}

	r := StatusReport{Instances: c.instanceStatuses()}
	r.Same = r.allSame()
	return r
}

// collector gathers the statuses of all instances.
type collector struct {
	key       string
	instances []InstanceStatus
	members   []MemberStatus
	queried   map[string]bool // by address
	responded map[string]bool // by instance
}

// query requests the statuses of the targets in parallel and records the
// members that they list.
func (c *collector) query(ctx context.Context, targets []MemberStatus) {
	responses := make([]InstanceStatus, len(targets))
	group := pool.New().WithMaxGoroutines(maxCollectors)
	for i, t := range targets {
		c.queried[t.OperatorsAddr] = true
		group.Go(func() { responses[i] = queryStatus(ctx, t, c.key) })
	}
	group.Wait()

	for _, r := range responses {
		if r.Status != nil {
			c.responded[r.Status.Instance] = true
			c.members = append(c.members, r.Status.Members...)
			r.Status.Members = nil
		}
		c.instances = append(c.instances, r)
	}
}

// missing returns the members that have not responded, sorted by name and then
// by address. A member may be listed several times; the listing without an
// address comes first. Leaving instances are left out, since they may have
// ended.
func (c *collector) missing() []MemberStatus {
	var missing []MemberStatus
	for _, m := range c.members {
		if !c.responded[m.Instance] && m.State != stateLeaving {
			missing = append(missing, m)
		}
	}
	slices.SortFunc(missing, func(a, b MemberStatus) int {
		return cmp.Or(cmp.Compare(a.Instance, b.Instance), cmp.Compare(a.OperatorsAddr, b.OperatorsAddr))
	})
	return missing
}

// newTargets returns the missing members whose addresses have not been queried
// yet.
func (c *collector) newTargets() []MemberStatus {
	targets := slices.DeleteFunc(c.missing(), func(m MemberStatus) bool {
		return m.OperatorsAddr == "" || c.queried[m.OperatorsAddr]
	})
	return slices.CompactFunc(targets, func(a, b MemberStatus) bool {
		return a.OperatorsAddr == b.OperatorsAddr
	})
}

// instanceStatuses returns the collected statuses without failed requests to
// former addresses of an instance that responded at another one, and with the
// members that no instance has an address of.
func (c *collector) instanceStatuses() []InstanceStatus {
	r := slices.DeleteFunc(c.instances, func(s InstanceStatus) bool {
		return s.Status == nil && c.responded[s.Instance]
	})

	missing := c.missing()
	for i, m := range missing {
		lastOfItsName := i == len(missing)-1 || missing[i+1].Instance != m.Instance
		if lastOfItsName && m.OperatorsAddr == "" {
			r = append(r, unreachableStatus(m, "its operators' address is not known"))
		}
	}
	return r
}

func unreachableStatus(m MemberStatus, reason string) InstanceStatus {
	return InstanceStatus{
		Addr:       m.OperatorsAddr,
		Instance:   m.Instance,
		DataCentre: m.DataCentre,
		Error:      fmt.Sprintf("%s: %s", notReachableText, reason),
	}
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

func queryStatus(ctx context.Context, t MemberStatus, key string) InstanceStatus {
	status, err := getStatus(ctx, t.OperatorsAddr, key)
	if err != nil {
		return unreachableStatus(t, err.Error())
	}
	return InstanceStatus{Addr: t.OperatorsAddr, Instance: t.Instance, DataCentre: t.DataCentre, Status: &status}
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

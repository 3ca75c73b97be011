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
	// StatusPath is where an instance's operators' port serves its Status.
	StatusPath = "/v1/config/status"

	collectTimeout  = 2 * time.Second
	maxCollectors   = 16
	maxStatusBytes  = 1 << 20
	missingInstance = "not reachable"

	// stateLeaving is the state of a member that was told to stop.
	stateLeaving = "leaving"
)

// InstanceStatus is the answer of one operators' address. Status is nil if
// the instance could not be asked; Error says why. Instance and DataCentre
// are set of an instance that another one named.
type InstanceStatus struct {
	Addr       string  `json:"addr"`
	Instance   string  `json:"instance,omitempty"`
	DataCentre string  `json:"dataCentre,omitempty"`
	Status     *Status `json:"status,omitempty"`
	Error      string  `json:"error,omitempty"`
}

// StatusReport is evidence from every instance asked. Same tells that all of
// them answered and have one version and digest in force.
type StatusReport struct {
	Instances []InstanceStatus `json:"instances"`
	Same      bool             `json:"same"`
}

// CollectStatus asks every operators' address for its status, with a bearer
// key unless it is empty, and then the instances that those name, until none
// is new. The report is in the order of the addresses, the instances found
// after them in the order of their names. An instance that is known to some
// other, is not leaving and could not be asked is in the report as such.
func CollectStatus(ctx context.Context, addrs []string, key string) StatusReport {
	ctx, cancel := context.WithTimeout(ctx, collectTimeout)
	defer cancel()

	c := collector{key: key, asked: map[string]bool{}, answered: map[string]bool{}}
	var next []MemberStatus
	for _, addr := range addrs {
		next = append(next, MemberStatus{OperatorsAddr: addr})
	}
	for len(next) > 0 {
		c.ask(ctx, next)
		next = c.found()
	}

	r := StatusReport{Instances: c.report()}
	r.Same = r.allSame()
	return r
}

// collector gathers the answers of all instances.
type collector struct {
	key       string
	instances []InstanceStatus
	members   []MemberStatus
	asked     map[string]bool // by address
	answered  map[string]bool // by instance
}

func (c *collector) ask(ctx context.Context, targets []MemberStatus) {
	answers := make([]InstanceStatus, len(targets))
	group := pool.New().WithMaxGoroutines(maxCollectors)
	for i, t := range targets {
		c.asked[t.OperatorsAddr] = true
		group.Go(func() { answers[i] = askStatus(ctx, t, c.key) })
	}
	group.Wait()

	for _, a := range answers {
		if a.Status != nil {
			c.answered[a.Status.Instance] = true
			c.members = append(c.members, a.Status.Members...)
			a.Status.Members = nil
		}
		c.instances = append(c.instances, a)
	}
}

// missing returns the members that have not answered, in the order of their
// names and those without an address first. One that was told to stop may be
// gone for good.
func (c *collector) missing() []MemberStatus {
	var missing []MemberStatus
	for _, m := range c.members {
		if !c.answered[m.Instance] && m.State != stateLeaving {
			missing = append(missing, m)
		}
	}
	slices.SortFunc(missing, func(a, b MemberStatus) int {
		return cmp.Or(cmp.Compare(a.Instance, b.Instance), cmp.Compare(a.OperatorsAddr, b.OperatorsAddr))
	})
	return missing
}

// found returns the missing members at addresses that were not asked yet.
func (c *collector) found() []MemberStatus {
	targets := slices.DeleteFunc(c.missing(), func(m MemberStatus) bool {
		return m.OperatorsAddr == "" || c.asked[m.OperatorsAddr]
	})
	return slices.CompactFunc(targets, func(a, b MemberStatus) bool {
		return a.OperatorsAddr == b.OperatorsAddr
	})
}

// report leaves out addresses that an instance had before and adds the
// members whose address nobody knows.
func (c *collector) report() []InstanceStatus {
	r := slices.DeleteFunc(c.instances, func(s InstanceStatus) bool {
		return s.Status == nil && c.answered[s.Instance]
	})

	missing := c.missing()
	for i, m := range missing {
		lastOfItsName := i == len(missing)-1 || missing[i+1].Instance != m.Instance
		if lastOfItsName && m.OperatorsAddr == "" {
			r = append(r, notReachable(m, "its operators' address is not known"))
		}
	}
	return r
}

func notReachable(m MemberStatus, reason string) InstanceStatus {
	return InstanceStatus{
		Addr:       m.OperatorsAddr,
		Instance:   m.Instance,
		DataCentre: m.DataCentre,
		Error:      fmt.Sprintf("%s: %s", missingInstance, reason),
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

func askStatus(ctx context.Context, t MemberStatus, key string) InstanceStatus {
	status, err := getStatus(ctx, t.OperatorsAddr, key)
	if err != nil {
		return notReachable(t, err.Error())
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

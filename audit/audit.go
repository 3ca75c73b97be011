// Package audit checks a configuration of queues before an operator sends it, and compares it with
// the one in force. It reads and writes nothing.
package audit

import (
	"fmt"
	"strings"

	"foxtailmux/model"
)

// Kind classifies a finding.
type Kind string

// Missing: a required value is absent. Invalid: a value has no meaning. NeverMatches: no request
// reaches the route. Contradiction: limits that can't all hold. Stale: the version doesn't come into
// force.
const (
	Missing       Kind = "missing"
	Invalid       Kind = "invalid"
	NeverMatches  Kind = "neverMatches"
	Contradiction Kind = "contradiction"
	Stale         Kind = "stale"
)

// Finding is one fault of a configuration. Place is "version", "limits", "routes" or, for a single
// route, its index from 0 and its name.
type Finding struct {
	Place  string `json:"place"`
	Kind   Kind   `json:"kind"`
	Reason string `json:"reason"`
}

// Check returns the faults of a configuration as it was written, before missing or negative values
// are replaced. The order is that of the configuration.
func Check(r model.Routing) []Finding {
	var c checker
	c.reject(r.Version < 1, "version", Missing, "the version is missing or below 1")
	c.reject(len(r.Routes) == 0, "routes", Missing, "there is no route: every request gets 404")

	first := map[address]int{}
	for i, route := range r.Routes {
		place := placeOf(i, route)
		c.checkRoute(place, route)
		if route.Host == "" || route.Prefix == "" {
			continue
		}
		if j, ok := first[addressOf(route)]; ok {
			c.reject(true, place, NeverMatches, "%s has the same host and prefix and comes first", placeOf(j, r.Routes[j]))
			continue
		}
		first[addressOf(route)] = i
	}

	c.reject(r.Limits.MaxHeader == 0, "limits", Contradiction, "the header limit is 0 or missing, which is no limit")
	c.reject(r.Limits.MaxHeader < 0, "limits", Contradiction, "the header limit is %d, which is taken as no limit", r.Limits.MaxHeader)
	c.reject(r.Limits.MaxBody < 0, "limits", Contradiction, "the body limit is %d, which is taken as no limit", r.Limits.MaxBody)
	return c.findings
}

// CheckVersion returns a finding if the configuration doesn't come into force after another one.
// Instances pass over a version that is not above theirs.
func CheckVersion(inForce, next model.Routing) []Finding {
	var c checker
	c.reject(next.Version <= inForce.Version, "version", Stale,
		"version %d is not above %d, which is in force: instances pass over it", next.Version, inForce.Version)
	return c.findings
}

type checker struct{ findings []Finding }

// reject adds a finding if the condition is true.
func (c *checker) reject(bad bool, place string, k Kind, format string, args ...any) {
	if bad {
		c.findings = append(c.findings, Finding{place, k, fmt.Sprintf(format, args...)})
	}
}

func (c *checker) checkRoute(place string, r model.Route) {
	c.reject(r.Host == "", place, Missing, "the host is missing")
	c.reject(r.Prefix == "", place, Missing, "the prefix is missing")
	c.reject(r.Service == "", place, Missing, "the service is missing")
	c.reject(r.Prefix != "" && !strings.HasPrefix(r.Prefix, "/"), place, Invalid, "the prefix %q does not begin with /", r.Prefix)

	c.reject(r.Attempts < 1, place, Contradiction, "attempts are %d or missing, which is taken as 1", r.Attempts)
	c.reject(r.Allowance < 0, place, Contradiction, "the allowance %v is below 0", r.Allowance)
	c.reject(r.Timeout < r.Allowance, place, Contradiction, "the timeout %v is below the allowance %v", r.Timeout, r.Allowance)
	c.reject(r.Stretch < 1 && r.Allowance <= 0, place, Contradiction,
		"the stretch %v is below 1 and there is no allowance: no job can be answered in time", r.Stretch)
}

func placeOf(index int, r model.Route) string {
	return strings.TrimSpace(fmt.Sprintf("routes[%d] %s", index, r.Name))
}

// address is what a request must have to reach a route.
type address struct{ host, prefix string }

func addressOf(r model.Route) address { return address{r.Host, r.Prefix} }

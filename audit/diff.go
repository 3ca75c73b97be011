package audit

import (
	"fmt"
	"strconv"
	"strings"

	"foxtailmux/model"
)

// Action is what happens to a part of the configuration.
type Action string

// The actions. Limits are only changed.
const (
	Added   Action = "added"
	Removed Action = "removed"
	Changed Action = "changed"
)

// Change is a difference between the configuration in force and the next one. Target is "limits" or
// the host and prefix of a route: a route of another prefix is another route, as it is for callers.
// Fields lists what changed. Effect is what requests after the change and open jobs see of it.
type Change struct {
	Action Action  `json:"action"`
	Target string  `json:"target"`
	Fields []Field `json:"fields,omitempty"`
	Effect string  `json:"effect"`
}

// Field is a changed value, written as text.
type Field struct {
	Name string `json:"name"`
	Old  string `json:"old"`
	New  string `json:"new"`
}

// OpenJobs is what a change of the configuration does to jobs in progress. A job keeps the route that
// its request was given.
const OpenJobs = "open jobs go on with the route and limits that they were sent under"

// Diff returns what differs between two configurations: removed and changed routes in the order of the
// one in force, then added ones, then limits. Routes that can never match are left out.
func Diff(inForce, next model.Routing) []Change {
	var changes []Change
	old, fresh := effective(inForce), effective(next)
	for _, r := range old.routes {
		n, ok := fresh.find(r)
		if !ok {
			changes = append(changes, Change{Action: Removed, Target: target(r), Effect: removalEffect(fresh.routes, r)})
			continue
		}
		if f := changedFields(routeFields(r), routeFields(n)); len(f) > 0 {
			changes = append(changes, Change{Action: Changed, Target: target(r), Fields: f, Effect: "requests after it use the new values"})
		}
	}
	for _, r := range fresh.routes {
		if _, ok := old.find(r); !ok {
			changes = append(changes, Change{Action: Added, Target: target(r), Effect: additionEffect(old.routes, r)})
		}
	}
	if f := changedFields(limitFields(inForce.Limits), limitFields(next.Limits)); len(f) > 0 {
		changes = append(changes, Change{Action: Changed, Target: "limits", Fields: f, Effect: "requests after it meet the new limits"})
	}
	return changes
}

// routes are the routes of a configuration that can match, with their indexes by address.
type routes struct {
	routes []model.Route
	index  map[address]int
}

func effective(r model.Routing) routes {
	e := routes{index: map[address]int{}}
	for _, route := range r.Routes {
		if _, ok := e.index[addressOf(route)]; !ok {
			e.index[addressOf(route)] = len(e.routes)
			e.routes = append(e.routes, route)
		}
	}
	return e
}

// find returns the route with the address of r.
func (e routes) find(r model.Route) (model.Route, bool) {
	i, ok := e.index[addressOf(r)]
	if !ok {
		return model.Route{}, false
	}
	return e.routes[i], true
}

// removalEffect names who receives the requests to a removed route.
func removalEffect(rest []model.Route, r model.Route) string {
	if heir, ok := shorter(rest, r); ok {
		return "requests after it go to " + target(heir)
	}
	return "requests after it get 404"
}

// additionEffect names who received the requests to an added route.
func additionEffect(before []model.Route, r model.Route) string {
	if heir, ok := shorter(before, r); ok {
		return "requests after it no longer go to " + target(heir)
	}
	return "requests before it get 404"
}

// shorter returns the route that receives the requests to r where r is not configured: of the same host
// the one with the longest prefix of r's own.
func shorter(all []model.Route, r model.Route) (model.Route, bool) {
	best, found := model.Route{}, false
	for _, o := range all {
		if o.Host == r.Host && strings.HasPrefix(r.Prefix, o.Prefix) && (!found || len(o.Prefix) > len(best.Prefix)) {
			best, found = o, true
		}
	}
	return best, found
}

func target(r model.Route) string { return r.Host + r.Prefix }

type value struct{ name, text string }

func routeFields(r model.Route) []value {
	return []value{
		{"name", r.Name},
		{"service", r.Service},
		{"priority", strconv.Itoa(r.Priority)},
		{"attempts", strconv.Itoa(r.Attempts)},
		{"timeout", r.Timeout.String()},
		{"stretch", fmt.Sprint(r.Stretch)},
		{"allowance", r.Allowance.String()},
		{"externalPlacement", strconv.FormatBool(r.ExternalPlacement)},
	}
}

func limitFields(l model.RequestLimits) []value {
	return []value{{"maxHeader", strconv.Itoa(l.MaxHeader)}, {"maxBody", strconv.Itoa(l.MaxBody)}}
}

func changedFields(old, next []value) []Field {
	var changed []Field
	for i, v := range old {
		if v.text != next[i].text {
			changed = append(changed, Field{Name: v.name, Old: v.text, New: next[i].text})
		}
	}
	return changed
}

package config

import (
	"cmp"
	"fmt"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"time"
)

const (
	maxJobTasks            = 1000
	maxTeamWeight          = 1000
	maxTeamOpenJobs        = 1_000_000
	maxTeamStartsPerSecond = 1_000_000.0
	maxQueuedTasksPerSlot  = 10_000
	maxRetryAttempts       = 10
	maxEjectionFailures    = 1000
	maxInstanceOpenJobs    = 1_000_000
	maxInstanceOpenTickets = 10_000_000
	maxAnswerMB            = 100_000

	minTaskTime = time.Millisecond
	maxTaskTime = time.Hour

	// Short enough that a change is in force within seconds even if two polls
	// in a row fail.
	maxConfigPoll = 3 * time.Second

	// Instances have to notice a leaving endpoint well within 3 s.
	maxListPoll = 2 * time.Second
)

var (
	namePattern   = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)
	digestPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

// rule returns the requirement that a value breaks, as text for Problem.Rule, or
// "" if the value is valid.
type rule func(value any) string

// rules holds the rule of each scalar, by leaf.pattern.
var rules = map[string]rule{
	"services[].name":            validName,
	"services[].pool":            validName,
	"services[].maxTasks":        inRange(1, maxJobTasks),
	"services[].defaultDeadline": inRange(minTaskTime, maxTaskTime),
	"services[].maxDeadline":     inRange(minTaskTime, maxTaskTime),
	"services[].expectedRun":     inRange(minTaskTime, maxTaskTime),
	"pools[].name":               validName,
	"teams[].name":               validName,
	"teams[].weight":             inRange(1, maxTeamWeight),
	"teams[].maxOpenJobs":        inRange(0, maxTeamOpenJobs),
	"teams[].startsPerSecond":    inRange(0, maxTeamStartsPerSecond),
	"placement.policy":           validName,
	"placement.order":            validName,
	"placement.maxQueuePerSlot":  inRange(1, maxQueuedTasksPerSlot),
	"retry.budgetShare":          inRange(0.0, 1.0),
	"retry.hedgeShare":           inRange(0.0, 1.0),
	"retry.hedgeAfter":           inRange(0, time.Minute),
	"retry.maxAttempts":          inRange(1, maxRetryAttempts),
	"ejection.failures":          inRange(1, maxEjectionFailures),
	"ejection.backoff":           inRange(time.Millisecond, time.Hour),
	"ejection.maxBackoff":        inRange(time.Millisecond, time.Hour),
	"ejection.maxShare":          inRange(0.0, 1.0),
	"intervals.configPoll":       inRange(100*time.Millisecond, maxConfigPoll),
	"intervals.listPoll":         inRange(50*time.Millisecond, maxListPoll),
	"intervals.statusPoll":       inRange(50*time.Millisecond, 10*time.Second),
	"intervals.heartbeat":        inRange(50*time.Millisecond, 5*time.Second),
	"intervals.claimGroup":       inRange(time.Millisecond, time.Second),
	"intervals.idleConn":         inRange(100*time.Millisecond, 5*time.Minute),
	"limits.maxOpenJobs":         inRange(1, maxInstanceOpenJobs),
	"limits.maxOpenTickets":      inRange(1, maxInstanceOpenTickets),
	"limits.ticketRetention":     inRange(time.Second, 24*time.Hour),
	"limits.answerRetention":     inRange(0, 24*time.Hour),
	"limits.maxAnswerMB":         inRange(0, maxAnswerMB),
	"limits.keyRetention":        inRange(time.Minute, 30*24*time.Hour),
	"access[].name":              validName,
	"access[].sha256":            validDigest,
	"access[].role":              oneOf(RoleRead, RoleOperate),
}

func inRange[T cmp.Ordered](least, most T) rule {
	return func(value any) string {
		v := value.(T)
		if v >= least && v <= most {
			return ""
		}
		return fmt.Sprintf("must be from %v to %v, is %v", least, most, v)
	}
}

func oneOf[T ~string](allowed ...T) rule {
	return func(value any) string {
		v := value.(T)
		if slices.Contains(allowed, v) {
			return ""
		}
		return fmt.Sprintf("must be one of %v, is %q", allowed, v)
	}
}

func validName(value any) string {
	if namePattern.MatchString(value.(string)) {
		return ""
	}
	return fmt.Sprintf("must be 1 to 63 letters, digits, dots, dashes or underscores, is %q", value)
}

func validDigest(value any) string {
	if digestPattern.MatchString(value.(string)) {
		return ""
	}
	return "must be a SHA-256 of 64 lower-case hex digits"
}

// Validate returns every rule that a document breaks. Positions are empty; Load
// adds them.
func Validate(d Document, plugins Plugins) Problems {
	var problems Problems
	add := func(path, rule string) {
		problems = append(problems, Problem{Path: path, Rule: rule})
	}

	for _, l := range leaves(reflect.ValueOf(d), "", "") {
		check, ok := rules[l.pattern]
		if !ok {
			continue
		}
		if violation := check(l.value); violation != "" {
			add(l.path, violation)
		}
	}
	checkNames(d, add)
	checkServices(d, add)
	checkRelations(d, add)
	checkPlugins(d.Placement, plugins, add)
	return problems
}

// checkNames requires unique names within each list.
func checkNames(d Document, add func(path, rule string)) {
	v := reflect.ValueOf(d)
	for i, field := range fieldNames(v.Type()) {
		if v.Field(i).Kind() != reflect.Slice {
			continue
		}
		seen := map[string]bool{}
		for k := range v.Field(i).Len() {
			name := nameOf(v.Field(i).Index(k))
			if seen[name] {
				add(itemPath(field, name), "the name must be unique")
			}
			seen[name] = true
		}
	}
}

func checkServices(d Document, add func(path, rule string)) {
	if len(d.Services) == 0 {
		add("services", "at least one service must be there")
	}

	for _, s := range d.Services {
		path := itemPath("services", s.Name)
		if !slices.ContainsFunc(d.Pools, func(p Pool) bool { return p.Name == s.Pool }) {
			add(path+".pool", fmt.Sprintf("must name a pool; there is no pool %q", s.Pool))
		}
		if s.DefaultDeadline > s.MaxDeadline {
			add(path+".defaultDeadline", fmt.Sprintf("must be at most maxDeadline (%v), is %v", s.MaxDeadline, s.DefaultDeadline))
		}
		if s.ExpectedRun > s.MaxDeadline {
			add(path+".expectedRun", fmt.Sprintf("must be at most maxDeadline (%v), is %v", s.MaxDeadline, s.ExpectedRun))
		}
	}
}

func checkRelations(d Document, add func(path, rule string)) {
	if d.Ejection.Backoff > d.Ejection.MaxBackoff {
		add("ejection.backoff", fmt.Sprintf("must be at most maxBackoff (%v), is %v", d.Ejection.MaxBackoff, d.Ejection.Backoff))
	}
	if d.Retry.HedgeShare > 0 {
		add("retry.hedgeShare", "must be 0: this release does not hedge")
	}
}

func checkPlugins(p Placement, plugins Plugins, add func(path, rule string)) {
	check := func(path, name string, known []string) {
		if known != nil && !slices.Contains(known, name) {
			add(path, fmt.Sprintf("must name a plug-in (%s), is %q", strings.Join(known, ", "), name))
		}
	}
	check("placement.policy", p.Policy, plugins.Policies)
	check("placement.order", p.Order, plugins.Orders)
}

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
	maxJobTasks       = 1000
	maxTeamWeight     = 1000
	maxTeamJobs       = 1_000_000
	maxTeamStarts     = 1_000_000.0
	maxSlotQueue      = 10_000
	maxRetryAttempts  = 10
	maxEjectFailures  = 1000
	maxInstanceJobs   = 1_000_000
	maxInstanceTicket = 10_000_000
	maxAnswerMB       = 100_000

	minRun = time.Millisecond
	maxRun = time.Hour

	// Two polls that meet a lost answer still bring a change into force
	// within seconds.
	maxConfigPoll = 3 * time.Second

	// A leaving endpoint must be seen well within 3 s.
	maxListPoll = 2 * time.Second
)

var (
	namePattern   = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)
	digestPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

// rule returns what a value must be, or nothing if it is.
type rule func(value any) string

var rules = map[string]rule{
	"services[].name":            named,
	"services[].pool":            named,
	"services[].maxTasks":        within(1, maxJobTasks),
	"services[].defaultDeadline": within(minRun, maxRun),
	"services[].maxDeadline":     within(minRun, maxRun),
	"services[].expectedRun":     within(minRun, maxRun),
	"pools[].name":               named,
	"teams[].name":               named,
	"teams[].weight":             within(1, maxTeamWeight),
	"teams[].maxOpenJobs":        within(0, maxTeamJobs),
	"teams[].startsPerSecond":    within(0, maxTeamStarts),
	"placement.policy":           named,
	"placement.order":            named,
	"placement.maxQueuePerSlot":  within(1, maxSlotQueue),
	"retry.budgetShare":          within(0.0, 1.0),
	"retry.hedgeShare":           within(0.0, 1.0),
	"retry.hedgeAfter":           within(0, time.Minute),
	"retry.maxAttempts":          within(1, maxRetryAttempts),
	"ejection.failures":          within(1, maxEjectFailures),
	"ejection.backoff":           within(time.Millisecond, time.Hour),
	"ejection.maxBackoff":        within(time.Millisecond, time.Hour),
	"ejection.maxShare":          within(0.0, 1.0),
	"intervals.configPoll":       within(100*time.Millisecond, maxConfigPoll),
	"intervals.listPoll":         within(50*time.Millisecond, maxListPoll),
	"intervals.statusPoll":       within(50*time.Millisecond, 10*time.Second),
	"intervals.heartbeat":        within(50*time.Millisecond, 5*time.Second),
	"intervals.claimGroup":       within(time.Millisecond, time.Second),
	"intervals.idleConn":         within(100*time.Millisecond, 5*time.Minute),
	"limits.maxOpenJobs":         within(1, maxInstanceJobs),
	"limits.maxOpenTickets":      within(1, maxInstanceTicket),
	"limits.ticketRetention":     within(time.Second, 24*time.Hour),
	"limits.answerRetention":     within(0, 24*time.Hour),
	"limits.maxAnswerMB":         within(0, maxAnswerMB),
	"limits.keyRetention":        within(time.Minute, 30*24*time.Hour),
	"access[].name":              named,
	"access[].sha256":            hashed,
	"access[].role":              oneOf(RoleRead, RoleOperate),
}

func within[T cmp.Ordered](least, most T) rule {
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

func named(value any) string {
	if namePattern.MatchString(value.(string)) {
		return ""
	}
	return fmt.Sprintf("must be 1 to 63 letters, digits, dots, dashes or underscores, is %q", value)
}

func hashed(value any) string {
	if digestPattern.MatchString(value.(string)) {
		return ""
	}
	return "must be a SHA-256 of 64 lower-case hex digits"
}

// Validate returns every rule that a document breaks, without places in
// files.
func Validate(d Document, o Plugins) Problems {
	var problems Problems
	add := func(path, rule string) {
		problems = append(problems, Problem{Path: path, Rule: rule})
	}

	for _, l := range leaves(reflect.ValueOf(d), "", "") {
		check, ok := rules[l.pattern]
		if !ok {
			continue
		}
		if broken := check(l.value); broken != "" {
			add(l.path, broken)
		}
	}
	checkNames(d, add)
	checkServices(d, add)
	checkRelations(d, add)
	checkPlugins(d.Placement, o, add)
	return problems
}

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

func checkPlugins(p Placement, o Plugins, add func(path, rule string)) {
	check := func(path, name string, known []string) {
		if known != nil && !slices.Contains(known, name) {
			add(path, fmt.Sprintf("must name a plug-in (%s), is %q", strings.Join(known, ", "), name))
		}
	}
	check("placement.policy", p.Policy, o.Policies)
	check("placement.order", p.Order, o.Orders)
}

package setup

import (
	"net/netip"
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

// Bounds of the settings.
const (
	maxNameLength  = 63
	minBodyBytes   = kibibyte
	maxBodyBytes   = 256 * mebibyte
	minHeaderBytes = kibibyte
	maxHeaderBytes = mebibyte
	maxCount       = 1_000_000
	maxTickets     = 100_000
	maxCores       = 1024
	maxLink        = 1_000_000 // Mbit/s, above any network card
	minTimeout     = time.Millisecond
	maxTimeout     = time.Hour
)

// LogLevels are the values of Log.Level, the one that logs most first.
var LogLevels = []string{"debug", "info", "warn", "error"}

// rule is a check of one field.
type rule struct {
	field string
	err   error
}

// Check returns an *Error for the first setting that breaks its rule.
func (s *Settings) Check() error {
	rules := slices.Concat(
		s.checkNames(),
		s.checkAddrs(),
		s.checkSizes(),
		s.checkTimes(),
		s.checkLog(),
	)

	for _, r := range rules {
		if r.err != nil {
			return &Error{Op: "check", Kind: KindValue, Field: r.field, Err: r.err}
		}
	}
	return nil
}

func (s *Settings) checkNames() []rule {
	return []rule{
		{"instance", checkName(s.Instance)},
		{"dataCentre", checkName(s.DataCentre)},
	}
}

func (s *Settings) checkAddrs() []rule {
	rules := []rule{
		{"callers.addr", checkListen(s.Callers.Addr)},
		{"operators.addr", checkListen(s.Operators.Addr)},
		{"peers.addr", checkAnnounced(s.Peers.Addr)},
		{"platform.addr", CheckDialAddr(s.Platform.Addr)},
	}
	if s.Callers.ReadyAddr != "" {
		rules = append(rules, rule{"callers.readyAddr", checkListen(s.Callers.ReadyAddr)})
	}
	if s.Operators.MetricsAddr != "" {
		rules = append(rules, rule{"operators.metricsAddr", checkListen(s.Operators.MetricsAddr)})
	}
	for _, seed := range s.Peers.Seeds {
		rules = append(rules, rule{"peers.seeds", CheckDialAddr(seed)})
	}
	return append(rules, s.checkShared()...)
}

// checkShared finds listeners that were given the same address.
func (s *Settings) checkShared() []rule {
	listeners := []struct{ field, addr string }{
		{"callers.addr", s.Callers.Addr},
		{"operators.addr", s.Operators.Addr},
		{"peers.addr", s.Peers.Addr},
		{"callers.readyAddr", s.Callers.ReadyAddr},
		{"operators.metricsAddr", s.Operators.MetricsAddr},
	}

	var rules []rule
	for i, l := range listeners {
		for _, other := range listeners[:i] {
			if sameListener(l.addr, other.addr) {
				rules = append(rules, rule{l.field, eris.Errorf("%s is the address of %s too", l.addr, other.field)})
			}
		}
	}
	return rules
}

func (s *Settings) checkSizes() []rule {
	c, l := s.Callers, s.Limits
	return []rule{
		{"callers.maxBodyBytes", checkInt(c.MaxBodyBytes, minBodyBytes, maxBodyBytes)},
		{"callers.maxHeaderBytes", checkInt(c.MaxHeaderBytes, minHeaderBytes, maxHeaderBytes)},
		{"callers.maxConnections", checkInt(c.MaxConnections, 1, maxCount)},
		{"limits.openJobs", checkInt(l.OpenJobs, 1, maxCount)},
		{"limits.queuedTasks", checkInt(l.QueuedTasks, 1, maxCount)},
		{"limits.ticketsPerRequest", checkInt(l.TicketsPerRequest, 1, maxTickets)},
		{"limits.processor", checkProcessor(l.Cores)},
		{"limits.link", checkLink(l.Link)},
	}
}

func (s *Settings) checkTimes() []rule {
	return []rule{
		{"callers.readTimeout", checkDuration(s.Callers.ReadTimeout, minTimeout)},
		{"callers.idleTimeout", checkDuration(s.Callers.IdleTimeout, minTimeout)},
		{"platform.timeout", checkDuration(s.Platform.Timeout, minTimeout)},
		{"platform.maxLease", checkDuration(s.Platform.MaxLease, minTimeout)},
		{"stop.drainDelay", checkDuration(s.Stop.DrainDelay, 0)},
		{"stop.limit", checkDuration(s.Stop.Limit, minTimeout)},
		{"stop.limit", s.checkStopOrder()},
	}
}

func (s *Settings) checkStopOrder() error {
	if s.Stop.Limit <= s.Stop.DrainDelay {
		return eris.Errorf("%v is not longer than stop.drainDelay, %v", s.Stop.Limit, s.Stop.DrainDelay)
	}
	return nil
}

func (s *Settings) checkLog() []rule {
	return []rule{
		{"log.level", checkOneOf(s.Log.Level, LogLevels)},
		{"log.format", checkOneOf(string(s.Log.Format), []string{string(FormatJSON), string(FormatConsole)})},
	}
}

func checkName(name string) error {
	if name == "" {
		return eris.New("must be given")
	}
	if len(name) > maxNameLength {
		return eris.Errorf("is longer than %d characters", maxNameLength)
	}

	for _, r := range name {
		if !nameRune(r) {
			return eris.Errorf("%q has a character other than letters, digits, dot, dash and underscore", name)
		}
	}
	return nil
}

func nameRune(r rune) bool {
	switch {
	case 'a' <= r && r <= 'z', 'A' <= r && r <= 'Z', '0' <= r && r <= '9':
		return true
	}
	return r == '.' || r == '-' || r == '_'
}

func checkListen(addr string) error {
	_, err := parseAddr(addr)
	return err
}

// CheckDialAddr returns an error unless addr is an IP:port that can be reached: no
// host name, no port 0 and no unspecified address.
func CheckDialAddr(addr string) error {
	a, err := parseAddr(addr)
	if err != nil {
		return err
	}
	if a.Port() == 0 {
		return eris.Errorf("%q has port 0, which can't be reached", addr)
	}
	if a.Addr().IsUnspecified() {
		return eris.Errorf("%q is no address that can be reached", addr)
	}
	return nil
}

// checkAnnounced checks a listener whose address is passed on to others.
func checkAnnounced(addr string) error {
	a, err := parseAddr(addr)
	if err != nil {
		return err
	}
	if a.Addr().IsUnspecified() {
		return eris.Errorf("%q is passed on to peers and must name one interface", addr)
	}
	return nil
}

func parseAddr(addr string) (netip.AddrPort, error) {
	a, err := netip.ParseAddrPort(addr)
	if err != nil {
		return a, eris.Errorf("%q is not IP:port, such as 127.0.0.1:8700 or [::1]:8700", addr)
	}
	return a, nil
}

func sameListener(a, b string) bool {
	x, errX := netip.ParseAddrPort(a)
	y, errY := netip.ParseAddrPort(b)
	if errX != nil || errY != nil {
		return false
	}
	if x.Port() == 0 || x.Port() != y.Port() {
		return false
	}
	return x.Addr() == y.Addr() || x.Addr().IsUnspecified() || y.Addr().IsUnspecified()
}

func checkInt(n, low, high int) error {
	if n < low || n > high {
		return eris.Errorf("%d is not between %d and %d", n, low, high)
	}
	return nil
}

func checkProcessor(cores float64) error {
	if cores <= 0 || cores > maxCores {
		return eris.Errorf("%v is not above 0 and at most %d", cores, maxCores)
	}
	return nil
}

func checkLink(megabits float64) error {
	if megabits < 0 || megabits > maxLink {
		return eris.Errorf("%v is not between 0 and %d", megabits, maxLink)
	}
	return nil
}

func checkDuration(d, low time.Duration) error {
	if d < low || d > maxTimeout {
		return eris.Errorf("%v is not between %v and %v", d, low, maxTimeout)
	}
	return nil
}

func checkOneOf(value string, values []string) error {
	if !slices.Contains(values, value) {
		return eris.Errorf("%q is none of %v", value, values)
	}
	return nil
}

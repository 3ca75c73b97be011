package setup

import (
	"net/netip"
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

// Bounds of the settings. Sizes are in bytes.
const (
	maxNameLength        = 63
	minBodyBytes         = kibibyte
	maxBodyBytes         = 256 * mebibyte
	minHeaderBytes       = kibibyte
	maxHeaderBytes       = mebibyte
	maxCount             = 1_000_000
	maxTicketsPerRequest = 100_000
	maxCores             = 1024
	maxLinkMegabits      = 1_000_000 // Mbit/s, faster than any network card
	maxFarFactor         = 100       // beyond it no task should run far from its data
	maxMemory            = 1 << 24   // MiB
	minDuration          = time.Millisecond
	minResubmitDelay     = 800 * time.Millisecond // leaves a home leases of 0.4 s
	maxDuration          = time.Hour
)

// LogLevels are the values of Log.Level, the most verbose first.
var LogLevels = []string{"debug", "info", "warn", "error"}

// fieldCheck is the result of a check, with the path of the field, such as
// callers.addr. err is nil if the value is valid.
type fieldCheck struct {
	field string
	err   error
}

// Check returns an *Error of KindValue for the first invalid setting.
func (s *Settings) Check() error {
	checks := slices.Concat(
		s.checkNames(),
		s.checkAddrs(),
		s.checkSizes(),
		s.checkTimes(),
		s.checkLog(),
	)

	for _, c := range checks {
		if c.err != nil {
			return &Error{Op: "check", Kind: KindValue, Field: c.field, Err: c.err}
		}
	}
	return nil
}

func (s *Settings) checkNames() []fieldCheck {
	return []fieldCheck{
		{"instance", checkName(s.Instance)},
		{"dataCentre", checkName(s.DataCentre)},
	}
}

func (s *Settings) checkAddrs() []fieldCheck {
	checks := []fieldCheck{
		{"callers.addr", checkListenAddr(s.Callers.Addr)},
		{"operators.addr", checkListenAddr(s.Operators.Addr)},
		{"peers.addr", checkAdvertisedAddr(s.Peers.Addr)},
		{"platform.addr", CheckDialAddr(s.Platform.Addr)},
	}
	if s.Callers.ReadyAddr != "" {
		checks = append(checks, fieldCheck{"callers.readyAddr", checkListenAddr(s.Callers.ReadyAddr)})
	}
	if s.Operators.MetricsAddr != "" {
		checks = append(checks, fieldCheck{"operators.metricsAddr", checkListenAddr(s.Operators.MetricsAddr)})
	}
	for _, seed := range s.Peers.Seeds {
		checks = append(checks, fieldCheck{"peers.seeds", CheckDialAddr(seed)})
	}
	return append(checks, s.checkSharedAddrs()...)
}

// checkSharedAddrs returns an error for each pair of listeners with the same
// address.
func (s *Settings) checkSharedAddrs() []fieldCheck {
	listeners := []struct{ field, addr string }{
		{"callers.addr", s.Callers.Addr},
		{"operators.addr", s.Operators.Addr},
		{"peers.addr", s.Peers.Addr},
		{"callers.readyAddr", s.Callers.ReadyAddr},
		{"operators.metricsAddr", s.Operators.MetricsAddr},
	}

	var checks []fieldCheck
	for i, l := range listeners {
		for _, other := range listeners[:i] {
			if sameListener(l.addr, other.addr) {
				checks = append(checks, fieldCheck{l.field, eris.Errorf("%s is the address of %s too", l.addr, other.field)})
			}
		}
	}
	return checks
}

func (s *Settings) checkSizes() []fieldCheck {
	c, l := s.Callers, s.Limits
	return []fieldCheck{
		{"callers.maxBodyBytes", checkInt(c.MaxBodyBytes, minBodyBytes, maxBodyBytes)},
		{"callers.maxHeaderBytes", checkInt(c.MaxHeaderBytes, minHeaderBytes, maxHeaderBytes)},
		{"callers.maxConnections", checkInt(c.MaxConnections, 1, maxCount)},
		{"limits.openJobs", checkInt(l.OpenJobs, 1, maxCount)},
		{"limits.queuedTasks", checkInt(l.QueuedTasks, 1, maxCount)},
		{"limits.ticketsPerRequest", checkInt(l.TicketsPerRequest, 1, maxTicketsPerRequest)},
		{"limits.processor", checkCores(l.Cores)},
		{"limits.link", checkLink(l.Link)},
		{"placement.farFactor", checkFarFactor(s.Placement.FarFactor)},
		{"limits.memory", checkInt(l.Memory, 0, maxMemory)},
		{"limits.descriptors", checkInt(l.Descriptors, 0, maxCount)},
	}
}

func (s *Settings) checkTimes() []fieldCheck {
	return []fieldCheck{
		{"callers.readTimeout", checkDuration(s.Callers.ReadTimeout, minDuration)},
		{"callers.idleTimeout", checkDuration(s.Callers.IdleTimeout, minDuration)},
		{"platform.timeout", checkDuration(s.Platform.Timeout, minDuration)},
		{"platform.maxLease", checkDuration(s.Platform.MaxLease, minDuration)},
		{"platform.resubmitDelay", checkDuration(s.Platform.ResubmitDelay, minResubmitDelay)},
		{"stop.drainDelay", checkDuration(s.Stop.DrainDelay, 0)},
		{"stop.limit", checkDuration(s.Stop.Limit, minDuration)},
		{"stop.limit", s.checkStopOrder()},
	}
}

// checkStopOrder requires that a shutdown still has time after the drain delay.
func (s *Settings) checkStopOrder() error {
	if s.Stop.Limit <= s.Stop.DrainDelay {
		return eris.Errorf("%v is not longer than stop.drainDelay, %v", s.Stop.Limit, s.Stop.DrainDelay)
	}
	return nil
}

func (s *Settings) checkLog() []fieldCheck {
	return []fieldCheck{
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
		if !isNameRune(r) {
			return eris.Errorf("%q has a character other than letters, digits, dot, dash and underscore", name)
		}
	}
	return nil
}

func isNameRune(r rune) bool {
	switch {
	case 'a' <= r && r <= 'z', 'A' <= r && r <= 'Z', '0' <= r && r <= '9':
		return true
	}
	return r == '.' || r == '-' || r == '_'
}

func checkListenAddr(addr string) error {
	_, err := parseAddr(addr)
	return err
}

// CheckDialAddr returns an error unless addr is an IP:port that can be dialled:
// no host name, no port 0 and no unspecified address such as 0.0.0.0.
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

// checkAdvertisedAddr checks a listen address that other instances dial as well.
func checkAdvertisedAddr(addr string) error {
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

// sameListener reports whether two listen addresses conflict. Port 0 never does,
// since the kernel picks a free port.
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

func checkCores(cores float64) error {
	if cores <= 0 || cores > maxCores {
		return eris.Errorf("%v is not above 0 and at most %d", cores, maxCores)
	}
	return nil
}

func checkFarFactor(factor float64) error {
	if !(factor >= 0 && factor <= maxFarFactor) { // false for NaN too
		return eris.Errorf("%v is not between 0 and %d", factor, maxFarFactor)
	}
	return nil
}

func checkLink(megabits float64) error {
	if megabits < 0 || megabits > maxLinkMegabits {
		return eris.Errorf("%v is not between 0 and %d", megabits, maxLinkMegabits)
	}
	return nil
}

func checkDuration(d, low time.Duration) error {
	if d < low || d > maxDuration {
		return eris.Errorf("%v is not between %v and %v", d, low, maxDuration)
	}
	return nil
}

func checkOneOf(value string, values []string) error {
	if !slices.Contains(values, value) {
		return eris.Errorf("%q is none of %v", value, values)
	}
	return nil
}

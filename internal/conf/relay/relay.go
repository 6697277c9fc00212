// Package relay reads the settings of the balancers and agents that forward packets
// to upstreams; the upstreams terminate the flows themselves.
package relay

import (
	"net/netip"
	"time"

	"github.com/clementinewing/clementinewing/internal/conf/lines"
)

// Settings holds the settings of a balancer or an agent; fields that a role does not
// use are zero.
type Settings struct {
	Name string
	// Zone is the failure domain.
	Zone string
	// FirstStart declares that the whole system starts for the first time.
	FirstStart bool
	// Address is the IP of the process; other processes send to it at InnerPort.
	Address netip.Addr
	// InnerPort is the port of every process for datagrams (UDP) and plans (TCP)
	// from other processes.
	InnerPort uint16
	// Callers is the address at which packets of callers are received; packets to
	// callers are sent to the same port.
	Callers netip.AddrPort
	// Outbound is the address at which an agent receives packets from its upstream.
	Outbound netip.AddrPort
	// Ready is the TCP address of the readiness check, Control that at which an agent
	// receives the reports of its upstream, Metrics that of metrics and state.
	Ready   netip.AddrPort
	Control netip.AddrPort
	Metrics netip.AddrPort
	// Seeds are addresses of balancers to contact first.
	Seeds    []netip.AddrPort
	Service  string
	Upstream netip.AddrPort
	// ReportInterval is the interval at which the upstream reports.
	ReportInterval time.Duration
	Store          netip.AddrPort
	// PlanApplyTimeout is the time after operators have written a plan within which it has to be in
	// force.
	PlanApplyTimeout time.Duration
	// ShutdownTimeout is how long a process may continue after SIGTERM.
	ShutdownTimeout time.Duration
	Features        Features
	// A cold endpoint gets at most the rate that it can serve times ColdOverage plus ColdSlack new
	// flows in any second.
	ColdOverage float64
	ColdSlack   float64
}

// Roles that Parse reads the settings of.
const (
	RoleBalancer = "balancer"
	RoleAgent    = "agent"
)

const (
	wordTrue  = "true"
	wordFalse = "false"

	// minUnits is the least grace period in seconds and the least of the other times in milliseconds.
	minUnits        = 0.001
	maxGraceSeconds = 3600

	defaultReportMillis = 1200
	maxReportMillis     = 3_600_000

	defaultPlanApplyMillis = 3000
	maxPlanApplyMillis     = 3_600_000

	// maxShutdownMargin is the part of the grace period that is reserved for the shutdown after
	// the drain. Of a short grace period it is half.
	maxShutdownMargin = 700 * time.Millisecond
)

// DrainDeadline returns when a drain that begins at start has to end, so that the process ends
// within the grace period.
func (s *Settings) DrainDeadline(start time.Time) time.Time {
	return start.Add(s.ShutdownTimeout - min(maxShutdownMargin, s.ShutdownTimeout/2))
}

// Option sets one property of the parser.
type Option func(*parser)

type parser struct {
	featureNames FeatureNames
}

// WithFeatureNames accepts a platform's words for features.
func WithFeatureNames(names FeatureNames) Option {
	return func(p *parser) {
		p.featureNames = names
	}
}

// Parse parses a settings file; path is used only in faults. The error lists every
// fault, and nothing of a faulty file is used.
func Parse(path, text, role string, options ...Option) (s Settings, err error) {
	var x parser
	for _, o := range options {
		o(&x)
	}
	d, err := lines.Load(path, text, lines.AllowHeadings("process", "listen", "endpoint", "fleet", "store", "features", "cold"))
	if err != nil {
		return s, err
	}
	readProcess(d.Section("process"), &s)
	readListen(d.Section("listen"), &s, role)
	s.Seeds = d.OptionalSection("fleet").Addresses("seeds")
	store := d.Section("store")
	s.Store = store.Address("address")
	s.PlanApplyTimeout = store.Duration("plan_apply_timeout_ms", time.Millisecond, lines.DecimalLimits{
		Min:     minUnits,
		Max:     maxPlanApplyMillis,
		Default: defaultPlanApplyMillis,
	})
	readFeatures(d.OptionalSection("features"), &s, x.featureNames)
	readCold(d.OptionalSection("cold"), &s)
	if role == RoleAgent {
		e := d.Section("endpoint")
		s.Service, _ = e.Required("service", "the name of a service")
		s.Upstream = e.Address("address")
		s.ReportInterval = e.Duration("report_interval_ms", time.Millisecond, lines.DecimalLimits{
			Min:     minUnits,
			Max:     maxReportMillis,
			Default: defaultReportMillis,
		})
	}
	if err = d.Err(); err != nil {
		return Settings{}, err
	}
	return s, nil
}

func readProcess(p *lines.Section, s *Settings) {
	s.Name, _ = p.Required("name", "the name of the process")
	s.Zone, _ = p.Required("zone", "the name of a failure domain")
	s.FirstStart = p.Choice("first_start", wordFalse, wordTrue) == wordTrue
	s.ShutdownTimeout = p.Duration("grace_seconds", time.Second, lines.DecimalLimits{
		Required: true,
		Min:      minUnits,
		Max:      maxGraceSeconds,
	})
	s.Address = address(p, "address")
}

func readListen(l *lines.Section, s *Settings, role string) {
	s.InnerPort = uint16(l.Number("inner_port", lines.Limits{
		Required: true,
		Min:      1,
		Max:      65535,
	}))
	s.Callers = l.Address("callers")
	s.Ready = l.Address("ready")
	s.Control = l.OptionalAddress("control")
	s.Metrics = l.OptionalAddress("metrics")
	if role == RoleAgent {
		s.Outbound = l.Address("outbound")
		s.Control = l.Address("control")
	}
}

// address reads a required IPv4 address without a port.
func address(p *lines.Section, key string) netip.Addr {
	const allowed = "an IPv4 address"
	text, ok := p.Required(key, allowed)
	if !ok {
		return netip.Addr{}
	}
	a, err := netip.ParseAddr(text)
	if err != nil || !a.Is4() {
		p.RejectValue(key, text, allowed)
		return netip.Addr{}
	}
	return a
}

package entry

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"github.com/clementinewing/clementinewing/internal/relay/evac"
	"github.com/clementinewing/clementinewing/internal/relay/frame"
	"github.com/clementinewing/clementinewing/internal/relay/place"
	"github.com/clementinewing/clementinewing/internal/relay/roster"
	"github.com/clementinewing/clementinewing/internal/relay/router"
	"github.com/clementinewing/clementinewing/internal/world/link"
)

const (
	// ExplainPath is the path of the explanations on the metrics address, with the parameters
	// ExplainCaller and ExplainTarget.
	ExplainPath = "/explain"
	// ExplainCaller is the address and port of the caller.
	ExplainCaller = "caller"
	// ExplainTarget is the address and port to which the flow goes.
	ExplainTarget = "target"

	// maxAddressBytes is more than an IPv4-mapped address with a port takes.
	maxAddressBytes = 64
	protocolTCP     = 6
)

// Explanation tells where a new flow would go now, and why.
type Explanation struct {
	Flow     string `json:"flow"`
	Balancer string `json:"balancer"`
	// Outcome is placed, refused or dropped. Reason is the one in logs and counters.
	Outcome      string `json:"outcome"`
	Reason       string `json:"reason"`
	PlanVersion  uint64 `json:"plan_version"`
	PlanRevision uint64 `json:"plan_revision"`
	StoreAgeMS   int64  `json:"store_answer_age_ms"`
	Route        string `json:"route,omitempty"`
	Service      string `json:"service,omitempty"`
	ServiceID    uint64 `json:"service_id,omitempty"`
	// Owner is the endpoint to which a retransmitted SYN of the flow goes, because the flow
	// exists already.
	Owner string `json:"known_owner,omitempty"`
	// Zone is the balancer's failure domain, PreferredZone the one in which the flow is to be
	// placed. Failure domains without a known name are hashes.
	Zone          string           `json:"zone"`
	PreferredZone string           `json:"preferred_zone,omitempty"`
	SpillShare    float64          `json:"spill_share"`
	FewServing    bool             `json:"few_serving"`
	Evacuations   *EvacuationState `json:"evacuations,omitempty"`
	// Candidates are asked in this order. LeftOut holds some of the other endpoints of the
	// service and LeftOutCounts counts all of them by reason.
	Candidates    []ExplainedEndpoint     `json:"candidates"`
	LeftOut       []ExplainedEndpoint     `json:"left_out"`
	LeftOutCounts map[place.Exclusion]int `json:"left_out_counts"`
}

// ExplainedEndpoint is an endpoint as a new flow finds it.
type ExplainedEndpoint struct {
	Address string `json:"address"`
	Zone    string `json:"zone"`
	// Exclusion is why the endpoint is not a candidate.
	Exclusion place.Exclusion `json:"left_out_because,omitempty"`
	State     string          `json:"state"`
	// AgeMS is the time since the agent was last heard.
	AgeMS   int64   `json:"report_age_ms"`
	Slots   uint16  `json:"slots"`
	InUse   uint16  `json:"in_use"`
	Average float64 `json:"average"`
	Sent    int     `json:"sent_since_report"`
	Refused uint16  `json:"refusals"`
	// Class is probe, normal or suspect. Share is below 1 for an endpoint that is cold or in its
	// slow start.
	Class string  `json:"class,omitempty"`
	Share float64 `json:"share"`
	// Cost and Terms are absent for an endpoint that gets no new flow.
	Cost  float64      `json:"cost,omitempty"`
	Terms *place.Terms `json:"terms,omitempty"`
}

// ExplainHandler returns the handler of ExplainPath. It takes the addresses and ports of the caller
// and of the target, sends nothing and changes nothing.
func (b *Balancer) ExplainHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodGet {
			w.Header().Set("Allow", http.MethodGet)
			http.Error(w, "only GET is allowed", http.StatusMethodNotAllowed)
			return
		}
		key, err := explainedKey(r)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		_ = encoder.Encode(b.Explain(time.Now(), key))
	})
}

func explainedKey(r *http.Request) (key link.Key, err error) {
	values := r.URL.Query()
	var addresses [2]netip.AddrPort
	for i, name := range []string{ExplainCaller, ExplainTarget} {
		if len(values[name]) != 1 {
			return key, fmt.Errorf("parameter %s: expected once, found %d times", name, len(values[name]))
		}
		if addresses[i], err = ParseFlowAddress(values.Get(name)); err != nil {
			return key, fmt.Errorf("parameter %s: %w", name, err)
		}
	}
	caller, target := addresses[0], addresses[1]
	return link.Key{
		Caller:     uint32(frame.HostOf(caller.Addr())),
		CallerPort: caller.Port(),
		Target:     uint32(frame.HostOf(target.Addr())),
		TargetPort: target.Port(),
		Protocol:   protocolTCP,
	}, nil
}

// ParseFlowAddress parses the address and port of a caller or target.
func ParseFlowAddress(text string) (a netip.AddrPort, err error) {
	if len(text) > maxAddressBytes {
		return a, fmt.Errorf("%q... is too long for IP:PORT", text[:maxAddressBytes])
	}
	a, err = netip.ParseAddrPort(text)
	if err != nil || !a.Addr().Unmap().Is4() || a.Port() == 0 {
		return a, fmt.Errorf("%q is not an IPv4 address with a port (IP:PORT)", text)
	}
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port()), nil
}

// Explain tells where a new flow would go now, and why.
func (b *Balancer) Explain(now time.Time, key link.Key) Explanation {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	x := b.router.Explain(now, key)
	e := Explanation{
		Flow:          key.String(),
		Balancer:      b.self.String(),
		Outcome:       outcomeOf(&x),
		Reason:        x.Reason.String(),
		StoreAgeMS:    b.storeAge().Milliseconds(),
		Zone:          b.settings.Zone,
		SpillShare:    x.SpillShare,
		FewServing:    x.FewServing,
		Evacuations:   b.evacuations.state(),
		Candidates:    b.explainEndpoints(x.Candidates),
		LeftOut:       b.explainEndpoints(x.Others),
		LeftOutCounts: x.Counts,
	}
	if x.Owner != 0 {
		e.Owner = x.Owner.String()
	}
	if x.Plan != nil {
		e.PlanVersion = x.Plan.Version
		e.PlanRevision = x.Plan.Revision
	}
	if x.Route != nil {
		e.Route = x.Route.Name
		e.ServiceID = uint64(x.Service)
		e.Service = x.Plan.Services[x.Service].Name
		e.PreferredZone = b.zoneName(x.PreferredZone)
	}
	return e
}

func outcomeOf(x *router.Explanation) string {
	switch {
	case x.Dropped:
		return "dropped"
	case x.Refused:
		return "refused"
	default:
		return "placed"
	}
}

// zoneName returns the name of a failure domain, or its hash if the name is not known.
func (b *Balancer) zoneName(zone uint64) string {
	if z := evac.Zone(zone); z == evac.ZoneOf(b.settings.Zone) {
		return b.settings.Zone
	}
	return b.evacuations.namesOf([]evac.Zone{evac.Zone(zone)})[0]
}

func (b *Balancer) explainEndpoints(endpoints []place.Explained) []ExplainedEndpoint {
	list := make([]ExplainedEndpoint, 0, len(endpoints))
	for i := range endpoints {
		x := &endpoints[i]
		e := ExplainedEndpoint{
			Address:   x.Host.String(),
			Zone:      b.zoneName(x.Agent.Zone),
			Exclusion: x.Exclusion,
			State:     x.Agent.State.String(),
			AgeMS:     x.Age.Milliseconds(),
			Slots:     x.Agent.Slots,
			InUse:     x.Agent.InUse,
			Average:   float64(x.Agent.Average) / roster.LoadUnit,
			Sent:      x.Agent.SentSinceReport,
			Refused:   x.Agent.Refusals,
			Class:     x.Class,
			Share:     x.Share,
		}
		if x.Class != "" {
			e.Cost = x.Cost
			e.Terms = &x.Terms
		}
		list = append(list, e)
	}
	return list
}

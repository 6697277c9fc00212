package router_test

import (
	"fmt"
	"net/netip"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/clementinewing/clementinewing/internal/fake/script"
	"github.com/clementinewing/clementinewing/internal/relay/evac"
	"github.com/clementinewing/clementinewing/internal/relay/frame"
	"github.com/clementinewing/clementinewing/internal/relay/plan"
	"github.com/clementinewing/clementinewing/internal/relay/roster"
	"github.com/clementinewing/clementinewing/internal/relay/router"
	"github.com/clementinewing/clementinewing/internal/world/link"
	"github.com/clementinewing/clementinewing/internal/world/node"
	"github.com/clementinewing/clementinewing/internal/world/spec"
)

// Hosts are small numbers; this balancer is 90. A flow is named by its caller's port.
// Ports 443 to 445 are routes to the services rota, sheets and both. Events are plan,
// load, loads, written, balancers, named, syn, ack, data, fin, rst, owner, denied, walked, walkedack,
// walkedfin, denials, rejected and tick; walked is a packet returned after the whole
// candidate list, denied one returned by the supposed owner.
//
// Words of the scripts and what they stand for: written ApplyRecord, named ExpectAgent,
// settled ListComplete, unsure CandidateSilent, sure Conclusive, ended FlowEnded, leg
// LookupStage, proven its value for a list that holds all that may own the flow, ask
// OwnerQuery.
var _ = Describe("Guide", func() {
	cases, err := script.Read("testdata/*.txt")
	if err != nil {
		panic(err)
	}
	for _, c := range cases {
		It(c.File+": "+c.Name, func() { runCase(c) })
	}
})

const (
	self = frame.Host(90)

	flagFin = 0x01
	flagSyn = 0x02
	flagRst = 0x04
	flagAck = 0x10

	// stageProven is the LookupStage of a lookup whose list holds every agent that may own
	// the flow.
	stageProven = 250
)

type fixture struct {
	members *roster.Roster
	active  *plan.Active
	router  *router.Router
	reports uint32
	// evacuations is nil unless the case evacuates failure domains.
	evacuations *evac.Source
}

func runCase(c script.Case) {
	w := &fixture{
		members: roster.New(self),
		active:  &plan.Active{},
	}
	var options []router.Option
	if strings.Contains(c.Name, "[evacuation]") {
		w.evacuations = &evac.Source{}
		options = append(options, router.WithEvacuations(w.evacuations))
	}
	w.router = router.New(self, 1, time.UnixMilli(0).UTC(), w.members, w.active, options...)
	for i := range c.Lines {
		l := &c.Lines[i]
		Expect(formatActions(w.step(l))).To(Equal(l.Want), fmt.Sprintf("%s:%d", c.File, l.Number))
	}
}

func (w *fixture) step(l *script.Line) []router.Action {
	switch l.Event {
	case "plan":
		w.active.Adopt(newPlan(l))
		return nil
	case "evacuate":
		var zones []evac.Zone
		for _, n := range l.Ints("zones") {
			zones = append(zones, evac.Zone(n))
		}
		w.evacuations.Observe(plan.Position{
			Era:      1,
			Revision: uint64(l.At.UnixMilli()) + 1,
		}, zones)
		return nil
	case "loads":
		// Reports of count agents, from host 1 on.
		for i := range l.Int("count", 0) {
			w.reports++
			r := newLoad(l, w.reports)
			r.Host = frame.Host(i + 1)
			w.members.ApplyReport(l.At, r)
		}
		return nil
	case "load":
		w.reports++
		w.members.ApplyReport(l.At, newLoad(l, w.reports))
		return nil
	case "written":
		var present []frame.Host
		for _, n := range l.Ints("present") {
			present = append(present, frame.Host(n))
		}
		w.members.ApplyRecord(l.At, roster.RecordContent{
			Agents:   present,
			CalledAt: l.At,
			Complete: !l.Has("incomplete"),
		})
		return nil
	case "balancers":
		for i := range l.Int("count", 0) {
			w.members.AddBalancer(l.At, self+frame.Host(1+i))
		}
		return nil
	case "named":
		w.members.ExpectAgent(l.At, frame.Host(l.Int("host", 0)))
		return nil
	}
	if l.Event == "denials" {
		return w.stepDenials(l)
	}
	return w.router.Step(l.At, newEvent(l))
}

// stepDenials passes the answers of several agents to an owner query.
func (w *fixture) stepDenials(l *script.Line) (out []router.Action) {
	for h := l.Int("from", 1); h <= l.Int("to", 0); h++ {
		out = append(out, w.router.Step(l.At, router.Denied{
			Denial: frame.Denial{
				QueryID:    uint32(l.Int("number", 0)),
				Host:       frame.Host(h),
				Key:        newPacket(l).Key,
				Conclusive: l.Has("sure"),
				FlowEnded:  l.Has("ended"),
			},
		})...)
	}
	return out
}

func newEvent(l *script.Line) router.Event {
	p := newPacket(l)
	switch l.Event {
	case "owner":
		return router.Hint{
			Owner: frame.Owner{
				Key:             p.Key,
				Host:            frame.Host(l.Int("host", 0)),
				InitialSequence: uint32(l.Int("initial", 0)),
				Known:           l.Int("initial", 0) != 0,
			},
		}
	case "denied", "walked", "walkedfin", "walkedack", "rejected":
		stage := uint8(l.Int("leg", 0))
		if l.Has("proven") {
			stage = stageProven
		}
		return router.Returned{
			Packet: p,
			Return: frame.Return{
				Host:          frame.Host(l.Int("host", 0)),
				Conclusive:    l.Has("sure"),
				ListExhausted: l.Event != "denied",
				FlowEnded:     l.Has("ended"),
				Evacuated:     l.Has("evacuated"),
				QueueTooLong:  l.Has("long"),
				LookupStage:   stage,
				Packet:        []byte("packet"),
			},
		}
	case "tick":
		return router.Tick{}
	default:
		return router.Packet{
			Packet: p,
			Raw:    []byte("packet"),
		}
	}
}

func newPacket(l *script.Line) link.Packet {
	p := link.Packet{
		Key: link.Key{
			Caller:     7,
			CallerPort: uint16(l.Int("flow", 0)),
			Target:     8,
			TargetPort: uint16(l.Int("port", 443)),
			Protocol:   6,
		},
		Kind:           link.Continuing,
		Sequence:       uint32(l.Int("seq", 1000)),
		Acknowledgment: uint32(l.Int("ack", 0)),
		Payload:        10,
		Flags:          flagAck,
	}
	switch l.Event {
	case "syn", "rejected":
		p.Kind = link.Opening
		p.Flags = flagSyn
		p.Payload = 0
	case "ack", "walkedack":
		p.Payload = 0
	case "fin", "walkedfin":
		p.Kind = link.Closing
		p.Flags |= flagFin
		p.Payload = 0
	case "rst":
		p.Kind = link.Closing
		p.Flags = flagRst
		p.Payload = 0
	}
	return p
}

func newPlan(l *script.Line) *plan.Plan {
	p := &plan.Plan{
		Version:  uint64(l.Int("version", 1)),
		Revision: uint64(l.Int("version", 1)),
		Routes:   map[plan.Target]*plan.Route{},
	}
	for _, port := range l.Ints("ports") {
		r := &plan.Route{
			Address: netip.AddrFrom4([4]byte{0, 0, 0, 8}),
			Port:    uint16(port),
		}
		names := []string{"rota", "sheets"}
		if port < 445 {
			names = names[port-443 : port-442]
		}
		if list, ok := l.Values["services"]; ok {
			names = strings.Split(list, ",")
		}
		for _, n := range names {
			r.Backends = append(r.Backends, plan.Backend{
				Name:    n,
				Service: spec.NewServiceID(n),
				Weight:  1,
			})
		}
		p.Routes[plan.Target{
			Address: 8,
			Port:    uint16(port),
		}] = r
	}
	return p
}

func newLoad(l *script.Line, sequence uint32) frame.LoadReport {
	state := node.Serving
	switch {
	case l.Has("draining"):
		state = node.Draining
	case l.Has("gone"):
		state = node.Gone
	case l.Has("joining"):
		state = node.Joining
	}
	service := "rota"
	if s, ok := l.Values["service"]; ok {
		service = s
	}
	return frame.LoadReport{
		Host:      frame.Host(l.Int("host", 0)),
		Service:   spec.NewServiceID(service),
		Zone:      uint64(l.Int("zone", 1)),
		State:     state,
		Proven:    true,
		StartedAt: uint64(l.Int("born", 5)),
		Sequence:  sequence,
		Slots:     uint16(l.Int("slots", 10)),
		InUse:     uint16(l.Int("used", 0)),
		Average:   uint16(l.Int("used", 0) * 64),
		Refusals:  uint16(l.Int("refusals", 0)),

		WantsRegistration: l.Has("registers"),
		AnswersBatches:    l.Has("batches"),
		EndpointAbsent:    l.Has("absent"),
		Evacuations:       uint64(l.Int("asks", 0)) << 63,
	}
}

func formatActions(actions []router.Action) string {
	var out []string
	for _, a := range actions {
		switch a := a.(type) {
		case router.Send:
			text := fmt.Sprintf("%s to", a.Reason)
			for _, h := range a.Forward.Candidates {
				text += fmt.Sprintf(" %d", h)
			}
			if a.Forward.Flags&frame.ListComplete != 0 {
				text += ", settled"
			}
			if a.Forward.Flags&frame.CandidateSilent != 0 {
				text += ", unsure"
			}
			if a.Forward.Flags&frame.FewServing != 0 {
				text += ", few serving"
			}
			if a.Forward.LookupStage == stageProven {
				text += ", proven"
			}
			Expect(a.To).To(Equal(a.Forward.Candidates[0]))
			out = append(out, text)
		case router.OwnerQuery:
			text := fmt.Sprintf("ask %d of them", len(a.To))
			if a.ListComplete {
				text += ", settled"
			}
			out = append(out, text)
		case router.OwnerBatch:
			out = append(out, fmt.Sprintf("ask %s in a batch", a.To))
		case router.ReadRecord:
			out = append(out, "read record")
		case router.OwnerFound:
			out = append(out, fmt.Sprintf("found at %d", a.Host))
		case router.Refuse:
			out = append(out, "refuse, "+a.Reason.String())
		case router.Reset:
			out = append(out, "reset, "+a.Reason.String())
		case router.Drop:
			out = append(out, "drop, "+a.Reason.String())
		}
	}
	return strings.Join(out, "; ")
}

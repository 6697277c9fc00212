package admit_test

import (
	"fmt"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/clementinewing/clementinewing/internal/fake/script"
	"github.com/clementinewing/clementinewing/internal/relay/admit"
	"github.com/clementinewing/clementinewing/internal/relay/frame"
	"github.com/clementinewing/clementinewing/internal/world/link"
	"github.com/clementinewing/clementinewing/internal/world/node"
	"github.com/clementinewing/clementinewing/internal/world/spec"
)

// Hosts are small numbers: this agent is 1, balancers are numbered from 90. A flow is
// named by its caller's port. Events: syn, data, fin, rst (packets for the endpoint),
// synack, answer, close, abort (packets from the endpoint), bounce, report, left, leave,
// told, registration, found, dead, owner, ask, tick.
//
// Words of the scripts and what they stand for: told StateRemembered,
// registration RegistrationKnown, found BalancerFound, dead
// EndpointUnreachable, ask OwnerQueried, settled ListComplete, unsure CandidateSilent,
// share FlowsPerSlot, aim LatencyTargetMS, urgency Priority, busy AverageLoad, hand on
// ForwardToCandidate, back ReturnToBalancer, walked ListExhausted, sure Conclusive, tell
// AnnounceOwner, waits RequestQueued, given up RequestAbandoned, shed OpeningShed, served RequestAnswered.
var _ = Describe("Hold", func() {
	cases, err := script.Read("testdata/*.txt")
	if err != nil {
		panic(err)
	}
	for _, c := range cases {
		It(c.File+": "+c.Name, func() { runCase(c) })
	}
})

const (
	self    = frame.Host(1)
	service = "rota"

	flagFin = 0x01
	flagSyn = 0x02
	flagRst = 0x04
	flagAck = 0x10
)

func runCase(c script.Case) {
	var options []admit.Option
	if strings.Contains(c.Name, "[first start]") {
		options = append(options, admit.FirstStart())
	}
	if strings.Contains(c.Name, "[endpoint absent]") {
		options = append(options, admit.EndpointAbsent())
	}
	if strings.Contains(c.Name, "[unregistered]") {
		options = append(options, admit.NeedsRegistration())
	}
	if strings.Contains(c.Name, "[evacuation]") {
		options = append(options, followsEvacuations())
	}
	if strings.Contains(c.Name, "[shedding]") {
		options = append(options, admit.WithLoadShedding())
	}
	h := admit.New(self, service, options...)
	for i := range c.Lines {
		l := &c.Lines[i]
		var e admit.Event
		if l.Event == "evacuations" {
			e = newEvacuations(h, l)
		} else {
			e = parseEvent(l)
		}
		got := formatActions(h.Step(l.At, e))
		Expect(got).To(Equal(l.Want), fmt.Sprintf("%s:%d", c.File, l.Number))
	}
}

func parseEvent(l *script.Line) admit.Event {
	switch l.Event {
	case "syn", "data", "fin", "rst":
		p := parsePacket(l)
		return admit.PacketForEndpoint{
			Packet:  p,
			Forward: parseForward(l),
		}
	case "synack", "answer", "close", "abort":
		return admit.PacketFromEndpoint{
			Packet: parsePacket(l),
		}
	case "bounce":
		return admit.PacketBounced{
			Packet: parsePacket(l),
			Mark:   uint32(l.Int("mark", 0)),
		}
	case "ask":
		return admit.OwnerQueried{
			OwnerQuery: frame.OwnerQuery{
				QueryID:        uint32(l.Int("number", 0)),
				Balancer:       frame.Host(l.Int("from", 90)),
				Key:            parseKey(l),
				Acknowledgment: uint32(l.Int("ack", 0)),
				Acknowledges:   true,
			},
		}
	case "report":
		return admit.ReportReceived{
			Report: parseReport(l),
		}
	case "left":
		return admit.EndpointStopped{
			ID: l.Words[0],
		}
	case "registration":
		return admit.RegistrationKnown{
			Status: map[string]frame.RegistrationStatus{
				"pending":    frame.RegistrationPending,
				"done":       frame.RegistrationDone,
				"impossible": frame.RegistrationImpossible,
			}[l.Words[0]],
		}
	case "found":
		return admit.BalancerFound{}
	case "leave":
		return admit.StopAccepting{}
	case "told":
		return admit.StateRemembered{
			State: map[string]node.State{
				"serving":  node.Serving,
				"draining": node.Draining,
				"gone":     node.Gone,
			}[l.Words[0]],
			StartedAt: uint64(l.Int("born", 0)),
		}
	case "dead":
		return admit.EndpointUnreachable{
			ProbedAt: time.UnixMilli(int64(l.Int("since", int(l.At.UnixMilli())))).UTC(),
		}
	case "owner":
		return admit.OwnerAnnounced{
			Owner: frame.Owner{
				Key:  parseKey(l),
				Host: frame.Host(l.Int("host", 0)),
			},
		}
	case "tick":
		return admit.Tick{}
	default:
		panic("unknown event " + l.Event)
	}
}

func parseKey(l *script.Line) link.Key {
	return link.Key{
		Caller:     7,
		CallerPort: uint16(l.Int("flow", 0)),
		Target:     8,
		TargetPort: 443,
		Protocol:   6,
	}
}

func parsePacket(l *script.Line) link.Packet {
	p := link.Packet{
		Key:            parseKey(l),
		Kind:           link.Continuing,
		Sequence:       uint32(l.Int("seq", 1000)),
		Acknowledgment: uint32(l.Int("ack", 0)),
		Payload:        l.Int("len", 0),
		Flags:          flagAck,
	}
	kind := l.Event
	if l.Has("opening") {
		kind = "syn"
	}
	switch kind {
	case "syn":
		p.Kind = link.Opening
		p.Flags = flagSyn
	case "synack":
		p.Flags = flagSyn | flagAck
	case "fin", "close":
		p.Kind = link.Closing
		p.Flags |= flagFin
	case "rst", "abort":
		p.Kind = link.Closing
		p.Flags = flagRst
	}
	return p
}

func parseForward(l *script.Line) *frame.Forward {
	c := &frame.Forward{
		Best:            uint8(l.Int("best", frame.NoBest)),
		BestLoad:        uint16(l.Int("load", 0)),
		Position:        uint8(l.Int("at", 0)),
		Service:         spec.NewServiceID(service),
		Balancer:        frame.Host(l.Int("from", 90)),
		Home:            frame.Host(l.Int("home", 0)),
		FlowsPerSlot:    uint16(l.Int("share", 0)),
		LatencyTargetMS: uint16(l.Int("aim", 250)),
		Priority:        uint8(l.Int("urgency", 2)),
		AverageLoad:     uint16(l.Int("busy", 0)),
		Candidates:      []frame.Host{self},
	}
	if list := l.Ints("list"); list != nil {
		c.Candidates = nil
		for _, n := range list {
			c.Candidates = append(c.Candidates, frame.Host(n))
		}
	}
	if other, ok := l.Values["service"]; ok {
		c.Service = spec.NewServiceID(other)
	}
	for word, bit := range map[string]uint8{
		"settled": frame.ListComplete,
		"cached":  frame.Cached,
		"unsure":  frame.CandidateSilent,
		"chosen":  frame.Chosen,
	} {
		if l.Has(word) {
			c.Flags |= bit
		}
	}
	return c
}

func parseReport(l *script.Line) admit.Report {
	return admit.Report{
		ID:        l.Words[0],
		Service:   service,
		StartedAt: uint64(l.Int("born", 5)),
		Sequence:  uint64(l.Int("number", 1)),
		Slots:     uint16(l.Int("slots", 1)),
		Draining:  l.Has("draining"),
		ColdUntil: l.At.Add(time.Duration(l.Int("cold", 0)) * time.Millisecond),
	}
}

func formatActions(actions []admit.Action) string {
	var out []string
	for _, a := range actions {
		out = append(out, formatAction(a))
	}
	return strings.Join(out, "; ")
}

func formatAction(a admit.Action) string {
	switch a := a.(type) {
	case admit.Deliver:
		return fmt.Sprintf("deliver %d", a.Mark)
	case admit.ForwardToCandidate:
		text := fmt.Sprintf("hand on to %d, %s", a.To, a.Reason)
		for word, bit := range map[string]uint8{
			", chosen": frame.Chosen,
			", unsure": frame.CandidateSilent,
		} {
			if a.Forward.Flags&bit != 0 {
				text += word
			}
		}
		return text
	case admit.ReturnToBalancer:
		text := fmt.Sprintf("back to %d, %s", a.To, a.Reason)
		if a.Return.ListExhausted {
			text += ", walked"
		}
		if a.Return.Conclusive {
			text += ", sure"
		}
		if a.Return.FlowEnded {
			text += ", ended"
		}
		return text
	case admit.AnnounceOwner:
		if a.Owner.Known {
			return fmt.Sprintf("tell %d flow %d is here from %d", a.To, a.Owner.Key.CallerPort, a.Owner.InitialSequence)
		}
		return fmt.Sprintf("tell %d flow %d is here", a.To, a.Owner.Key.CallerPort)
	case admit.DenyOwnership:
		text := fmt.Sprintf("deny %d number %d", a.To, a.Denial.QueryID)
		if !a.Denial.Conclusive {
			text += ", not sure"
		}
		if a.Denial.FlowEnded {
			text += ", ended"
		}
		return text
	case admit.OpeningShed:
		return fmt.Sprintf("shed %d", a.Key.CallerPort)
	case admit.RequestQueued:
		return fmt.Sprintf("waits %d", a.Key.CallerPort)
	case admit.RequestAbandoned:
		return fmt.Sprintf("given up %d", a.Key.CallerPort)
	case admit.SendToCaller:
		return "forward"
	case admit.FlowAccepted:
		return fmt.Sprintf("accepted %d", a.Key.CallerPort)
	case admit.RequestStarted:
		return "request"
	case admit.RequestAnswered:
		return "served"
	case admit.EvacuationChanged:
		return formatEvacuationChange(a)
	case admit.ReportRefused:
		return fmt.Sprintf("refuse report of %s", a.ID)
	case admit.StateChanged:
		return fmt.Sprintf("now %s, %s", a.State, a.Reason)
	case admit.SuspicionChanged:
		switch {
		case !a.Suspect:
			return "no suspect"
		case a.ReportsMissed:
			return "suspect, reports missed"
		default:
			return fmt.Sprintf("suspect, %d refusals", a.Refusals)
		}
	default:
		panic("unknown action")
	}
}

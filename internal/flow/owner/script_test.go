package owner_test

import (
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/clementinewing/clementinewing/internal/flow/admit"
	"github.com/clementinewing/clementinewing/internal/flow/owner"
	"github.com/clementinewing/clementinewing/internal/world/link"
)

// A script is a file of test cases. "case NAME" starts one with an empty table. Every
// other line is "MILLISECONDS EVENT [field=value]... => ACTION; ACTION". The event is
// one of:
//   - a received packet (syn, ack, fin, rst, udp) with the fields key, seq, ack, len, at
//     (POSITION/CANDIDATES), denied, round, silent, gone (dead candidates), life
//     (incarnation), service and from (balancer)
//   - say: a packet sent by the stack
//   - connected, failed, ended, drain, tick
//   - gate: sets the slots of the admission controller, or the reason of its decisions
//     (say)
//   - held: compares the flows and the active flows of the admission controller
//
// The actions are written as keep (Queue), pass (ForwardToCandidate), relay
// (ForwardToCandidate via the balancer), refuse (Reject) and emptied (Drained), the
// others under their names.
//
// Bit masks are written with candidate 0 first.
var _ = Describe("Table", func() {
	files, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(files) == 0 {
		panic("no scripts in testdata")
	}
	for _, file := range files {
		script, err := os.ReadFile(file)
		if err != nil {
			panic(err)
		}
		for _, part := range strings.Split("\n"+string(script), "\ncase ")[1:] {
			name, body, _ := strings.Cut(part, "\n")
			It(filepath.Base(file)+": "+name, func() { runScript(body) })
		}
	}
})

const (
	service     = 7
	incarnation = 70
)

// scriptedController is an admission controller that admits no opening while the script
// sets a reason.
type scriptedController struct {
	*admit.Controller
	reason string
}

func (s *scriptedController) Decide(now time.Time, a admit.Request) admit.Decision {
	decision := s.Controller.Decide(now, a)
	for _, r := range admit.Reasons() {
		if s.reason == r.String() && r != admit.Accepted && (r != admit.Threshold || a.Round == 0 && a.Position < a.Candidates-1) {
			decision.Reason = r
			decision.Action = admit.Forward
			if a.Last {
				decision.Action = admit.Reject
			}
		}
	}
	return decision
}

func runScript(body string) {
	controller := &scriptedController{
		Controller: admit.New(admit.Limits{
			Slots:       2,
			Connections: 9,
		}),
	}
	t := owner.New(
		owner.WithIdentity(service, incarnation),
		owner.WithAdmissionController(controller),
	)
	for line := range strings.Lines(body) {
		line = strings.TrimSpace(line)
		if line == "" || line[0] == '#' {
			continue
		}
		event, expected, _ := strings.Cut(line, "=>")
		fields := strings.Fields(event)
		now := parseTime(fields[0])
		args := parseArgs(fields[2:])
		switch fields[1] {
		case "gate":
			controller.reason = args["say"]
			controller.SetLimits(admit.Limits{
				Slots:       max(2, parseNumber(args["slots"])),
				Connections: 9,
			})
			continue
		case "held":
			Expect(fmt.Sprintf("flows=%d busy=%d", controller.Flows(), controller.ActiveFlows())).To(Equal(strings.TrimSpace(expected)), line)
			continue
		}
		actions := t.Step(now, newEvent(fields[1], args), nil)
		var results []string
		for _, a := range actions {
			results = append(results, formatAction(a))
		}
		Expect(strings.Join(results, "; ")).To(Equal(strings.TrimSpace(expected)), line)
	}
}

func parseArgs(fields []string) map[string]string {
	args := map[string]string{
		"key":     "1",
		"at":      "0/3",
		"life":    strconv.Itoa(incarnation),
		"service": strconv.Itoa(service),
	}
	for _, f := range fields {
		name, value, _ := strings.Cut(f, "=")
		args[name] = value
	}
	return args
}

func parseNumber(s string) int {
	if s == "" {
		return 0
	}
	n, err := strconv.Atoi(s)
	if err != nil {
		panic(err)
	}
	return n
}

func parseTime(milliseconds string) time.Time {
	return time.Unix(0, 0).Add(time.Duration(parseNumber(milliseconds)) * time.Millisecond)
}

func parseBits(s string) (m uint16) {
	for i, c := range s {
		if c == '1' {
			m |= 1 << i
		}
	}
	return m
}

func newKey(args map[string]string) link.Key {
	return link.Key{
		Caller:     uint32(parseNumber(args["key"])),
		Target:     9,
		CallerPort: 1000,
		TargetPort: 80,
		Protocol:   6,
	}
}

const (
	fin = 0x01
	syn = 0x02
	rst = 0x04
	ack = 0x10
)

func newPacket(name string, args map[string]string) link.Packet {
	p := link.Packet{
		Key:            newKey(args),
		Kind:           link.Continuing,
		Sequence:       uint32(parseNumber(args["seq"])),
		Acknowledgment: uint32(parseNumber(args["ack"])),
		Payload:        parseNumber(args["len"]),
	}
	if args["ack"] != "" {
		p.Flags |= ack
	}
	switch name {
	case "syn":
		p.Kind = link.Opening
		p.Flags |= syn
	case "fin":
		p.Kind = link.Closing
		p.Flags |= fin
	case "rst":
		p.Kind = link.Closing
		p.Flags |= rst
	case "udp":
		p.Kind = link.Opening
		p.Key.Protocol = 17
		p.Flags = 0
	}
	return p
}

func newEvent(name string, args map[string]string) owner.Event {
	key := newKey(args)
	if args["udp"] != "" {
		key.Protocol = 17
	}
	serial := uint64(parseNumber(args["serial"]))
	switch name {
	case "connected":
		return owner.UpstreamConnected{
			Key:    key,
			Serial: serial,
		}
	case "failed":
		return owner.UpstreamFailed{
			Key:    key,
			Serial: serial,
		}
	case "ended":
		return owner.FlowEnded{
			Key:    key,
			Serial: serial,
		}
	case "drain":
		return owner.Drain{
			Deadline: parseTime(args["until"]),
		}
	case "tick":
		return owner.Tick{}
	case "say":
		return owner.PacketFromEndpoint{
			Packet: newPacket(args["is"], args),
		}
	}
	return newPacketForEndpoint(name, args)
}

func newPacketForEndpoint(name string, args map[string]string) owner.PacketForEndpoint {
	position, candidates, _ := strings.Cut(args["at"], "/")
	e := owner.PacketForEndpoint{
		Packet:     newPacket(name, args),
		Position:   parseNumber(position),
		Candidates: parseNumber(candidates),
		Denied:     parseBits(args["denied"]),
		Round:      uint8(parseNumber(args["round"])),
		Silent:     parseBits(args["silent"]),
		Dead:       parseBits(args["gone"]),
		Balancer:   netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(parseNumber(args["from"]))}), 1),
	}
	e.Service = service
	if args["service"] != strconv.Itoa(service) {
		e.Service = 8
	}
	e.Incarnation = incarnation
	if args["life"] != strconv.Itoa(incarnation) {
		e.Incarnation = 71
	}
	return e
}

func formatAction(a owner.Action) string {
	switch a := a.(type) {
	case owner.Connect:
		return "connect"
	case owner.Queue:
		return "keep"
	case owner.Accept:
		return "accept"
	case owner.Deliver:
		return "deliver"
	case owner.ForwardToCandidate:
		if a.ViaBalancer {
			return fmt.Sprintf("relay %d denied=%s round=%d %v", a.Position, formatBits(a.Denied), a.Round, a.Reason)
		}
		return fmt.Sprintf("pass %d denied=%s round=%d %v", a.Position, formatBits(a.Denied), a.Round, a.Reason)
	case owner.Reject:
		return fmt.Sprintf("refuse %v", a.Reason)
	case owner.Reset:
		return fmt.Sprintf("reset %v", a.Reason)
	case owner.Drop:
		return fmt.Sprintf("drop %v", a.Reason)
	case owner.Hint:
		return "hint " + a.Balancer.Addr().String()
	case owner.Abort:
		if a.Silent {
			return fmt.Sprintf("abort silently %v", a.Reason)
		}
		return fmt.Sprintf("abort %v", a.Reason)
	case owner.Drained:
		return "emptied"
	default:
		return fmt.Sprintf("%T", a)
	}
}

func formatBits(m uint16) string {
	b := strconv.FormatUint(uint64(m), 2)
	out := make([]byte, 0, 3)
	for i := len(b) - 1; i >= 0; i-- {
		out = append(out, b[i])
	}
	for len(out) < 3 {
		out = append(out, '0')
	}
	return string(out)
}

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

// A script is a file of cases. "case NAME" starts one with an empty table. Every
// other line is "MILLISECONDS EVENT [field=value]... => ACTION; ACTION", where the
// event is a packet (syn, ack, fin, rst, udp) with key, seq, ack, len, at, denied,
// round, silent, gone, life and service; a packet of the stack (say); or connected,
// failed, ended, drain, tick, gate. Bits are written with candidate 0 first.
var _ = Describe("Table", func() {
	files, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(files) == 0 {
		panic("no scripts")
	}
	for _, file := range files {
		script, err := os.ReadFile(file)
		if err != nil {
			panic(err)
		}
		for _, part := range strings.Split("\n"+string(script), "\ncase ")[1:] {
			name, body, _ := strings.Cut(part, "\n")
			It(filepath.Base(file)+": "+name, func() { play(body) })
		}
	}
})

const (
	service = 7
	life    = 70
)

// scripted answers as the script says, for as long as it says something.
type scripted struct {
	*admit.Gate
	say string
}

func (s *scripted) Ask(now time.Time, a admit.Ask) admit.Answer {
	answer := s.Gate.Ask(now, a)
	for _, r := range admit.Reasons() {
		if s.say == r.String() && r != admit.Accepted && (r != admit.Threshold || a.Pass == 0 && a.Position < a.Candidates-1) {
			answer.Reason = r
			answer.Next = admit.HandOn
			if a.Last {
				answer.Next = admit.Refuse
			}
		}
	}
	return answer
}

func play(body string) {
	gate := &scripted{
		Gate: admit.New(admit.Limits{
			Slots:       2,
			Connections: 9,
		}),
	}
	t := owner.New(
		owner.WithIdentity(service, life),
		owner.WithGate(gate),
	)
	for line := range strings.Lines(body) {
		line = strings.TrimSpace(line)
		if line == "" || line[0] == '#' {
			continue
		}
		event, expected, _ := strings.Cut(line, "=>")
		fields := strings.Fields(event)
		now := at(fields[0])
		args := parse(fields[2:])
		switch fields[1] {
		case "gate":
			gate.say = args["say"]
			gate.SetLimits(admit.Limits{
				Slots:       max(2, number(args["slots"])),
				Connections: 9,
			})
			continue
		case "held":
			Expect(fmt.Sprintf("flows=%d busy=%d", gate.Flows(), gate.InHand())).To(Equal(strings.TrimSpace(expected)), line)
			continue
		}
		actions := t.Step(now, eventOf(fields[1], args), nil)
		var said []string
		for _, a := range actions {
			said = append(said, text(a))
		}
		Expect(strings.Join(said, "; ")).To(Equal(strings.TrimSpace(expected)), line)
	}
}

func parse(fields []string) map[string]string {
	args := map[string]string{
		"key":     "1",
		"at":      "0/3",
		"life":    strconv.Itoa(life),
		"service": strconv.Itoa(service),
	}
	for _, f := range fields {
		name, value, _ := strings.Cut(f, "=")
		args[name] = value
	}
	return args
}

func number(s string) int {
	if s == "" {
		return 0
	}
	n, err := strconv.Atoi(s)
	if err != nil {
		panic(err)
	}
	return n
}

func at(milliseconds string) time.Time {
	return time.Unix(0, 0).Add(time.Duration(number(milliseconds)) * time.Millisecond)
}

func mask(s string) (m uint16) {
	for i, c := range s {
		if c == '1' {
			m |= 1 << i
		}
	}
	return m
}

func keyOf(args map[string]string) link.Key {
	return link.Key{
		Caller:     uint32(number(args["key"])),
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

func packetOf(name string, args map[string]string) link.Packet {
	p := link.Packet{
		Key:            keyOf(args),
		Kind:           link.Continuing,
		Sequence:       uint32(number(args["seq"])),
		Acknowledgment: uint32(number(args["ack"])),
		Payload:        number(args["len"]),
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

func eventOf(name string, args map[string]string) owner.Event {
	key := keyOf(args)
	if args["udp"] != "" {
		key.Protocol = 17
	}
	serial := uint64(number(args["serial"]))
	switch name {
	case "connected":
		return owner.Connected{
			Key:    key,
			Serial: serial,
		}
	case "failed":
		return owner.Failed{
			Key:    key,
			Serial: serial,
		}
	case "ended":
		return owner.Ended{
			Key:    key,
			Serial: serial,
		}
	case "drain":
		return owner.Drain{
			Deadline: at(args["until"]),
		}
	case "tick":
		return owner.Tick{}
	case "say":
		return owner.Answered{
			Packet: packetOf(args["is"], args),
		}
	}
	return arrivedOf(name, args)
}

func arrivedOf(name string, args map[string]string) owner.Arrived {
	position, candidates, _ := strings.Cut(args["at"], "/")
	e := owner.Arrived{
		Packet:     packetOf(name, args),
		Position:   number(position),
		Candidates: number(candidates),
		Denied:     mask(args["denied"]),
		Round:      uint8(number(args["round"])),
		Silent:     mask(args["silent"]),
		Gone:       mask(args["gone"]),
		Balancer:   netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(number(args["from"]))}), 1),
	}
	e.Service = service
	if args["service"] != strconv.Itoa(service) {
		e.Service = 8
	}
	e.Incarnation = life
	if args["life"] != strconv.Itoa(life) {
		e.Incarnation = 71
	}
	return e
}

func text(a owner.Action) string {
	switch a := a.(type) {
	case owner.Connect:
		return "connect"
	case owner.Keep:
		return "keep"
	case owner.Accept:
		return "accept"
	case owner.Deliver:
		return "deliver"
	case owner.Pass:
		if a.Relay {
			return fmt.Sprintf("relay %d denied=%s round=%d %v", a.Position, bits(a.Denied), a.Round, a.Reason)
		}
		return fmt.Sprintf("pass %d denied=%s round=%d %v", a.Position, bits(a.Denied), a.Round, a.Reason)
	case owner.Refuse:
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
	case owner.Emptied:
		return "emptied"
	default:
		return fmt.Sprintf("%T", a)
	}
}

func bits(m uint16) string {
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

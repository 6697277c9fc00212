package frame_test

import (
	"net/netip"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/clementinewing/clementinewing/internal/relay/frame"
	"github.com/clementinewing/clementinewing/internal/world/link"
	"github.com/clementinewing/clementinewing/internal/world/node"
)

// messages returns one message of each kind with every field set.
func messages() []frame.Message {
	return []frame.Message{
		&frame.Carry{
			Flags:    frame.Settled | frame.Unsure,
			Position: 1,
			Best:     0,
			BestLoad: 300,
			Share:    160,
			Aim:      250,
			Urgency:  1,
			Leg:      2,
			Busy:     90,
			Service:  77,
			Balancer: 0x0a010203,
			Home:     0x0a010204,
			List:     []frame.Host{1, 2, 3},
			Packet:   []byte("packet"),
		},
		frame.Stray{
			Host:   9,
			Reason: 3,
			Sure:   true,
			Walked: true,
			Leg:    2,
			Packet: []byte("packet"),
		},
		frame.Owner{
			Key: link.Key{
				Caller:     1,
				Target:     2,
				CallerPort: 3,
				TargetPort: 4,
				Protocol:   6,
			},
			Host:    5,
			Initial: 6,
			Known:   true,
		},
		frame.Load{
			Host:      1,
			Process:   2,
			Service:   3,
			Zone:      4,
			State:     node.Draining,
			Proven:    true,
			Refuses:   true,
			First:     true,
			Born:      5,
			Sequence:  6,
			Slots:     7,
			InUse:     8,
			Average:   9,
			Flows:     10,
			Cold:      11,
			Every:     13,
			Balancers: 12,
		},
		frame.Pulse{
			Host:     1,
			Process:  2,
			Revision: 3,
			Age:      4,
			Leaving:  true,
			First:    true,
		},
		frame.Roll{
			Balancers: []frame.Host{1, 2},
			Sides:     []frame.Host{3},
			State:     node.Gone,
			Born:      4,
		},
		frame.Ask{
			Number:   1,
			Balancer: 2,
			Key: link.Key{
				Caller:     1,
				Target:     2,
				CallerPort: 3,
				TargetPort: 4,
				Protocol:   6,
			},
			Acknowledgment: 3,
			Acknowledges:   true,
		},
		frame.Denial{
			Number: 1,
			Host:   2,
			Key: link.Key{
				Caller:     1,
				Target:     2,
				CallerPort: 3,
				TargetPort: 4,
				Protocol:   6,
			},
			Sure: true,
		},
	}
}

var _ = Describe("the datagram format", func() {
	It("decodes every message to what was encoded", func() {
		for _, m := range messages() {
			Expect(frame.Decode(frame.Append(nil, m))).To(Equal(m))
		}
	})

	It("rejects truncated datagrams, other versions and a position outside the candidate list", func() {
		for _, m := range messages() {
			whole := frame.Append(nil, m)
			packet := 0
			switch m.(type) {
			case *frame.Carry, frame.Stray:
				packet = len("packet")
			}
			for n := range len(whole) - packet {
				_, err := frame.Decode(whole[:n])
				Expect(err).To(HaveOccurred())
			}
		}
		_, err := frame.Decode([]byte{0xc7, 2, 1})
		Expect(err).To(MatchError(frame.ErrForeign))
		_, err = frame.Decode(frame.Append(nil, &frame.Carry{
			Position: 3,
			List:     []frame.Host{1, 2, 3},
		}))
		Expect(err).To(MatchError(frame.ErrShort))
	})

	It("converts between hosts and IPv4 addresses", func() {
		a := netip.MustParseAddr("10.1.2.3")
		Expect(frame.HostOf(a).Addr()).To(Equal(a))
		Expect(frame.HostOf(a).String()).To(Equal("10.1.2.3"))
	})
})

func FuzzDecode(f *testing.F) {
	for _, m := range messages() {
		f.Add(frame.Append(nil, m))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := frame.Decode(b)
		if err != nil {
			return
		}
		again, err := frame.Decode(frame.Append(nil, m))
		if err != nil {
			t.Fatalf("decoding %v after encoding it again: %v", m, err)
		}
		if c, ok := again.(*frame.Carry); ok && int(c.Position) >= len(c.List) {
			t.Fatalf("position %d in a list of %d candidates", c.Position, len(c.List))
		}
	})
}

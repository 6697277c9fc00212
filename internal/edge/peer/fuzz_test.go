package peer

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/clementinewing/clementinewing/internal/fleet/gossip"
	"github.com/clementinewing/clementinewing/internal/fleet/lease"
	"github.com/clementinewing/clementinewing/internal/fleet/member"
	"github.com/clementinewing/clementinewing/internal/world/node"
)

// FuzzExchange passes arbitrary decodable messages to a balancer, which must answer
// each without a panic.
func FuzzExchange(f *testing.F) {
	add := func(m member.Exchange) {
		m.From = netip.MustParseAddrPort("10.0.0.1:7")
		b, err := proto.Marshal(encodeExchange(m))
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	add(member.Exchange{})
	add(member.Exchange{
		Message: gossip.Message{
			Root:    1,
			Compare: true,
			Records: []lease.Record{
				{
					Endpoint: node.Endpoint{
						Agent: netip.MustParseAddrPort("10.0.0.2:7"),
						State: node.Serving,
					},
					Health: lease.Live,
				},
			},
			Splits: []gossip.Split{
				{
					Level:  2,
					Index:  255,
					Hashes: make([]uint64, 16),
				},
			},
			Leaves: []gossip.Leaf{
				{
					Level:   3,
					Index:   4095,
					Digests: []uint64{1},
				},
			},
			Wanted: []gossip.Leaf{
				{
					Digests: []uint64{2},
				},
			},
		},
	})
	f.Fuzz(func(t *testing.T, b []byte) {
		var in ExchangeRequest
		if proto.Unmarshal(b, &in) != nil {
			return
		}
		m, err := decodeExchange(&in)
		if err != nil {
			return
		}
		n := member.New(node.Endpoint{
			Agent:       netip.MustParseAddrPort("10.0.0.3:7"),
			Incarnation: 1,
		}, rand.New(rand.NewPCG(1, 1)))
		answered := false
		for _, a := range n.Step(time.Unix(0, 0), member.ExchangeReceived{
			Exchange: m,
		}) {
			if answer, ok := a.(member.SendExchangeReply); ok {
				answered = true
				_ = encodeExchangeReply(answer.Reply)
			}
		}
		if !answered {
			t.Fatal("exchange was not answered")
		}
	})
}

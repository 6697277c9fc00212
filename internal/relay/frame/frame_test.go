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

func newFlowQuery(caller uint32, port uint16, acknowledges bool) frame.FlowQuery {
	return frame.FlowQuery{
		Key: link.Key{
			Caller:     caller,
			Target:     9,
			CallerPort: 5,
			TargetPort: port,
			Protocol:   6,
		},
		Acknowledgment: caller,
		Acknowledges:   acknowledges,
	}
}

var evacuationSet = frame.EvacuationSet{
	Era:          1,
	Revision:     2,
	Changed:      3,
	BaseEra:      4,
	BaseRevision: 5,
	Zones: []frame.EvacuatedZone{
		{
			Zone:  6,
			Flags: frame.ZoneListed | frame.ZoneSeen,
		},
		{
			Zone:  7,
			Flags: frame.ZoneCarried,
		},
	},
}

// messages returns one message of each kind with every field set.
func messages() []frame.Message {
	return []frame.Message{
		&frame.Forward{
			Flags:           frame.ListComplete | frame.CandidateSilent,
			Position:        1,
			Best:            0,
			BestLoad:        300,
			FlowsPerSlot:    160,
			LatencyTargetMS: 250,
			Priority:        1,
			LookupStage:     2,
			AverageLoad:     90,
			Service:         77,
			Balancer:        0x0a010203,
			Home:            0x0a010204,
			Candidates:      []frame.Host{1, 2, 3},
			Packet:          []byte("packet"),
		},
		frame.Return{
			Host:          9,
			Reason:        3,
			Conclusive:    true,
			ListExhausted: true,
			FlowEnded:     true,
			Evacuated:     true,
			QueueTooLong:  true,
			LookupStage:   2,
			Packet:        []byte("packet"),
		},
		frame.Owner{
			Key: link.Key{
				Caller:     1,
				Target:     2,
				CallerPort: 3,
				TargetPort: 4,
				Protocol:   6,
			},
			Host:            5,
			InitialSequence: 6,
			Known:           true,
			Load:            7,
			LoadKnown:       true,
		},
		frame.LoadReport{
			Host:       1,
			Process:    2,
			Service:    3,
			Zone:       4,
			State:      node.Draining,
			Proven:     true,
			Refuses:    true,
			Registered: true,

			WantsRegistration: true,
			EndpointEnded:     true,
			EndpointAbsent:    true,

			WantsMembers:    true,
			StartedAt:       5,
			Sequence:        6,
			Slots:           7,
			InUse:           8,
			Average:         9,
			Flows:           10,
			ColdMS:          11,
			IntervalMS:      13,
			BalancersDigest: 12,
			Evacuations:     14,
			ServiceTimeMS:   15,
			Refusals:        16,
			AnswersBatches:  true,
		},
		frame.Heartbeat{
			Host:         1,
			Process:      2,
			PlanVersion:  5,
			Revision:     3,
			StoreAgeMS:   4,
			Leaving:      true,
			StoreLost:    true,
			WantsMembers: true,
			Evacuations:  &evacuationSet,
		},
		frame.Evacuations{
			Version:     1,
			Answers:     2,
			AgeMS:       3,
			StoreLost:   true,
			PlanVersion: 4,
			ColdRate:    5.5,
			Set:         evacuationSet,
		},
		frame.MemberList{
			Balancers: []frame.Host{1, 2},
			Agents:    []frame.Host{3},
			State:     node.Gone,
			StartedAt: 4,
		},
		frame.OwnerQuery{
			QueryID:  1,
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
			QueryID: 1,
			Host:    2,
			Key: link.Key{
				Caller:     1,
				Target:     2,
				CallerPort: 3,
				TargetPort: 4,
				Protocol:   6,
			},
			Conclusive: true,
			FlowEnded:  true,
		},
		frame.Registration{
			Status: frame.RegistrationImpossible,
		},
		frame.OwnerBatch{
			BatchID:  1,
			Balancer: 2,
			Flows: []frame.FlowQuery{
				newFlowQuery(1, 443, true),
				newFlowQuery(2, 443, true),
				newFlowQuery(3, 444, true),
				newFlowQuery(4, 444, false),
			},
		},
		frame.OwnerAnswers{
			BatchID:   1,
			Digest:    2,
			Host:      3,
			Verdicts:  []frame.Verdict{frame.Owned, frame.Denied, frame.CannotTell, frame.Ended, frame.Denied},
			TableSize: 6,
			Hashes:    []uint32{4, 5},
		},
	}
}

var _ = Describe("the datagram format", func() {
	It("decodes every message to what was encoded", func() {
		for _, m := range messages() {
			Expect(frame.Decode(frame.Append(nil, m))).To(Equal(m))
		}
	})

	It("decodes heartbeats of earlier releases, which lack the version of the plan", func() {
		earlier := []byte{0xc7, 1, 5, 2, 0, 0, 0, 1, 0, 0, 0, 0, 0, 0, 0, 2, 0, 0, 0, 0, 0, 0, 0, 3, 0, 0, 0, 4}
		Expect(frame.Decode(earlier)).To(Equal(frame.Heartbeat{
			Host:         1,
			Process:      2,
			Revision:     3,
			StoreAgeMS:   4,
			WantsMembers: true,
		}))
	})

	It("decodes load reports of earlier releases, which lack the last fields", func() {
		report := frame.LoadReport{
			Host:       1,
			IntervalMS: 2,
		}
		encoded := frame.Append(nil, report)
		earlier := encoded[:len(encoded)-12]
		earlier[3] &^= 0x80
		Expect(frame.Decode(earlier)).To(Equal(report))
	})

	It("rejects truncated datagrams, other versions and a position outside the candidate list", func() {
		for _, m := range messages() {
			whole := frame.Append(nil, m)
			packet := 0
			switch m.(type) {
			case *frame.Forward, frame.Return:
				packet = len("packet")
			}
			for n := range len(whole) - packet {
				_, err := frame.Decode(whole[:n])
				Expect(err).To(HaveOccurred())
			}
		}
		_, err := frame.Decode([]byte{0xc7, 2, 1})
		Expect(err).To(MatchError(frame.ErrUnknownFormat))
		_, err = frame.Decode(frame.Append(nil, &frame.Forward{
			Position:   3,
			Candidates: []frame.Host{1, 2, 3},
		}))
		Expect(err).To(MatchError(frame.ErrTruncated))
	})

	It("fits a full batch with one target into 1,200 bytes", func() {
		var m frame.OwnerBatch
		for i := range uint32(frame.MaxBatchFlows) {
			m.Flows = append(m.Flows, newFlowQuery(i, 443, true))
		}
		encoded := frame.Append(nil, m)
		Expect(len(encoded)).To(BeNumerically("<=", 1200))
		Expect(frame.Decode(encoded)).To(Equal(m))
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
		if c, ok := again.(*frame.Forward); ok && int(c.Position) >= len(c.Candidates) {
			t.Fatalf("position %d in a list of %d candidates", c.Position, len(c.Candidates))
		}
	})
}

package peer

import (
	"errors"
	"net/netip"
	"time"

	"github.com/clementinewing/clementinewing/internal/fleet/gossip"
	"github.com/clementinewing/clementinewing/internal/fleet/lease"
	"github.com/clementinewing/clementinewing/internal/fleet/member"
	"github.com/clementinewing/clementinewing/internal/world/node"
	"github.com/clementinewing/clementinewing/internal/world/spec"
	"github.com/clementinewing/clementinewing/internal/world/zone"
)

// Errors of invalid messages. A call with such a message is rejected as a whole.
var (
	ErrMalformedAddress = errors.New("malformed address")
	ErrUnknownState     = errors.New("unknown state or health")
	ErrInvalidRange     = errors.New("invalid level or index of a range")
	ErrListTooLong      = errors.New("list in the message is too long")
	ErrNameTooLong      = errors.New("upstream, region or failure domain name is too long")
)

const (
	// maxListLength bounds each list of a message.
	maxListLength = 4096
	// maxNameBytes bounds the names of upstreams, regions and failure domains.
	maxNameBytes = 256
	// maxRangeLevel is the deepest level of a range of record keys (see gossip.Split).
	// Each level has 16 times as many ranges as the level above.
	maxRangeLevel = 3
)

func decodeAddress(b []byte) (a netip.AddrPort, err error) {
	if err := a.UnmarshalBinary(b); err != nil || !a.IsValid() {
		return a, ErrMalformedAddress
	}
	return a, nil
}

func decodeKey(k *RecordKey) lease.Key {
	return lease.Key{
		Service:     spec.ServiceID(k.GetService()),
		Incarnation: node.Incarnation(k.GetIncarnation()),
	}
}

func decodeKeys(in []*RecordKey) (out []lease.Key) {
	for _, k := range in {
		out = append(out, decodeKey(k))
	}
	return out
}

func decodeVersion(v *RecordVersion) lease.Version {
	return lease.Version{
		Gone:     v.GetGone(),
		Sequence: v.GetSequence(),
		Round:    v.GetRound(),
		Health:   lease.Health(v.GetHealth()),
	}
}

func decodeRecord(b *RecordBody) (r lease.Record, err error) {
	if b.GetHealth() < uint32(lease.Live) || b.GetHealth() > uint32(lease.Absent) {
		return r, ErrUnknownState
	}
	if b.GetState() < uint32(node.Joining) || b.GetState() > uint32(node.Gone) {
		return r, ErrUnknownState
	}
	if max(len(b.GetUpstream()), len(b.GetRegion()), len(b.GetDomain())) > maxNameBytes {
		return r, ErrNameTooLong
	}
	r = lease.Record{
		Endpoint: node.Endpoint{
			Service:     spec.ServiceID(b.GetService()),
			Upstream:    b.GetUpstream(),
			Incarnation: node.Incarnation(b.GetIncarnation()),
			Place: zone.Place{
				Region: b.GetRegion(),
				Domain: b.GetDomain(),
			},
			Weight:   b.GetWeight(),
			State:    node.State(b.GetState()),
			Sequence: b.GetSequence(),
		},
		Health: lease.Health(b.GetHealth()),
		Round:  b.GetRound(),
	}
	if b.GetExpires() != 0 {
		r.Expires = time.Unix(b.GetExpires(), 0).UTC()
	}
	if r.Endpoint.Service != lease.HeadService {
		r.Endpoint.Agent, err = decodeAddress(b.GetAgent())
	}
	return r, err
}

func decodeRecords(in []*RecordBody) (out []lease.Record, err error) {
	if len(in) > maxListLength {
		return nil, ErrListTooLong
	}
	for _, b := range in {
		r, err := decodeRecord(b)
		if err != nil {
			return nil, err
		}
		out = append(out, r)
	}
	return out, nil
}

func decodeRenew(in *RenewRequest) (out lease.Renew, err error) {
	out.Records, err = decodeRecords(in.GetRecords())
	return out, err
}

func decodeRenewReply(in *RenewResponse) (out lease.RenewReply, err error) {
	if max(len(in.GetVerdicts()), len(in.GetHomes())) > maxListLength {
		return out, ErrListTooLong
	}
	out.Revision = in.GetRevision()
	out.RecordHash = in.GetRecord()
	for _, v := range in.GetVerdicts() {
		out.Verdicts = append(out.Verdicts, lease.Verdict{
			Key:     decodeKey(v.GetKey()),
			Version: decodeVersion(v.GetVersion()),
		})
	}
	for _, b := range in.GetHomes() {
		home, err := decodeAddress(b)
		if err != nil {
			return out, err
		}
		out.Homes = append(out.Homes, home)
	}
	return out, nil
}

func decodeExchange(in *ExchangeRequest) (out member.Exchange, err error) {
	if len(in.GetDoubts()) > maxListLength {
		return out, ErrListTooLong
	}
	out.From, err = decodeAddress(in.GetFrom())
	if err != nil {
		return out, err
	}
	out.Incarnation = node.Incarnation(in.GetIncarnation())
	out.QueriedKeys = decodeKeys(in.GetDoubts())
	out.Message, err = decodeMessage(in.GetBody())
	return out, err
}

func decodeExchangeReply(in *ExchangeResponse) (out member.ExchangeReply, err error) {
	if len(in.GetVouches()) > maxListLength {
		return out, ErrListTooLong
	}
	out.HeardKeys = decodeKeys(in.GetVouches())
	out.Message, err = decodeMessage(in.GetBody())
	return out, err
}

func decodeMessage(in *ExchangeBody) (out gossip.Message, err error) {
	if max(len(in.GetSplits()), len(in.GetLeaves()), len(in.GetWanted())) > maxListLength {
		return out, ErrListTooLong
	}
	out.Root = in.GetRoot()
	out.Compare = in.GetCompare()
	out.Synchronized = in.GetSettled()
	out.Records, err = decodeRecords(in.GetRecords())
	if err != nil {
		return out, err
	}
	for _, s := range in.GetSplits() {
		if rangeInvalid(s.GetLevel(), s.GetIndex()) {
			return out, ErrInvalidRange
		}
		out.Splits = append(out.Splits, gossip.Split{
			Level:  uint8(s.GetLevel()),
			Index:  uint16(s.GetIndex()),
			Hashes: s.GetHashes(),
		})
	}
	out.Leaves, err = decodeLeaves(in.GetLeaves())
	if err != nil {
		return out, err
	}
	out.Wanted, err = decodeLeaves(in.GetWanted())
	return out, err
}

func rangeInvalid(level, index uint32) bool {
	return level > maxRangeLevel || index >= 1<<(4*level)
}

func decodeLeaves(in []*RangeLeaf) (out []gossip.Leaf, err error) {
	for _, l := range in {
		if rangeInvalid(l.GetLevel(), l.GetIndex()) {
			return nil, ErrInvalidRange
		}
		out = append(out, gossip.Leaf{
			Level:   uint8(l.GetLevel()),
			Index:   uint16(l.GetIndex()),
			Digests: l.GetDigests(),
		})
	}
	return out, nil
}

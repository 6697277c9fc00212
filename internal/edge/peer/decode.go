package peer

import (
	"errors"
	"net/netip"
	"time"

	"github.com/clementinewing/clementinewing/internal/fleet/lease"
	"github.com/clementinewing/clementinewing/internal/fleet/member"
	"github.com/clementinewing/clementinewing/internal/fleet/spread"
	"github.com/clementinewing/clementinewing/internal/world/node"
	"github.com/clementinewing/clementinewing/internal/world/pact"
	"github.com/clementinewing/clementinewing/internal/world/zone"
)

// Errors of messages that do not make sense; the call is refused as a whole.
var (
	ErrAddress = errors.New("address is malformed")
	ErrState   = errors.New("state or health is unknown")
	ErrRange   = errors.New("range does not exist")
	ErrSize    = errors.New("message has too many parts")
	ErrName    = errors.New("name is too long")
)

const (
	// maxParts bounds every list of a message.
	maxParts = 4096
	// maxName bounds names, in bytes.
	maxName = 256
	// maxLevel is the deepest level of a range.
	maxLevel = 3
)

func readAddress(b []byte) (a netip.AddrPort, err error) {
	if err := a.UnmarshalBinary(b); err != nil || !a.IsValid() {
		return a, ErrAddress
	}
	return a, nil
}

func readKey(k *RecordKey) lease.Key {
	return lease.Key{
		Service:     pact.ServiceID(k.GetService()),
		Incarnation: node.Incarnation(k.GetIncarnation()),
	}
}

func readKeys(in []*RecordKey) (out []lease.Key) {
	for _, k := range in {
		out = append(out, readKey(k))
	}
	return out
}

func readVersion(v *RecordVersion) lease.Version {
	return lease.Version{
		Gone:     v.GetGone(),
		Sequence: v.GetSequence(),
		Round:    v.GetRound(),
		Health:   lease.Health(v.GetHealth()),
	}
}

func readRecord(b *RecordBody) (r lease.Record, err error) {
	if b.GetHealth() < uint32(lease.Live) || b.GetHealth() > uint32(lease.Absent) {
		return r, ErrState
	}
	if b.GetState() < uint32(node.Joining) || b.GetState() > uint32(node.Gone) {
		return r, ErrState
	}
	if max(len(b.GetUpstream()), len(b.GetRegion()), len(b.GetDomain())) > maxName {
		return r, ErrName
	}
	r = lease.Record{
		Endpoint: node.Endpoint{
			Service:     pact.ServiceID(b.GetService()),
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
	if r.Endpoint.Service != lease.Heads {
		r.Endpoint.Agent, err = readAddress(b.GetAgent())
	}
	return r, err
}

func readRecords(in []*RecordBody) (out []lease.Record, err error) {
	if len(in) > maxParts {
		return nil, ErrSize
	}
	for _, b := range in {
		r, err := readRecord(b)
		if err != nil {
			return nil, err
		}
		out = append(out, r)
	}
	return out, nil
}

func readRenew(in *RenewRequest) (out lease.Renew, err error) {
	out.Records, err = readRecords(in.GetRecords())
	return out, err
}

func readRenewReply(in *RenewResponse) (out lease.RenewReply, err error) {
	if max(len(in.GetVerdicts()), len(in.GetHomes())) > maxParts {
		return out, ErrSize
	}
	out.Revision = in.GetRevision()
	out.Record = in.GetRecord()
	for _, v := range in.GetVerdicts() {
		out.Verdicts = append(out.Verdicts, lease.Verdict{
			Key:     readKey(v.GetKey()),
			Version: readVersion(v.GetVersion()),
		})
	}
	for _, b := range in.GetHomes() {
		home, err := readAddress(b)
		if err != nil {
			return out, err
		}
		out.Homes = append(out.Homes, home)
	}
	return out, nil
}

func readExchange(in *ExchangeRequest) (out member.Exchange, err error) {
	if len(in.GetDoubts()) > maxParts {
		return out, ErrSize
	}
	out.From, err = readAddress(in.GetFrom())
	if err != nil {
		return out, err
	}
	out.Incarnation = node.Incarnation(in.GetIncarnation())
	out.Doubts = readKeys(in.GetDoubts())
	out.Message, err = readMessage(in.GetBody())
	return out, err
}

func readExchangeReply(in *ExchangeResponse) (out member.ExchangeReply, err error) {
	if len(in.GetVouches()) > maxParts {
		return out, ErrSize
	}
	out.Vouches = readKeys(in.GetVouches())
	out.Message, err = readMessage(in.GetBody())
	return out, err
}

func readMessage(in *ExchangeBody) (out spread.Message, err error) {
	if max(len(in.GetSplits()), len(in.GetLeaves()), len(in.GetWanted())) > maxParts {
		return out, ErrSize
	}
	out.Root = in.GetRoot()
	out.Compare = in.GetCompare()
	out.Settled = in.GetSettled()
	out.Records, err = readRecords(in.GetRecords())
	if err != nil {
		return out, err
	}
	for _, s := range in.GetSplits() {
		if badRange(s.GetLevel(), s.GetIndex()) {
			return out, ErrRange
		}
		out.Splits = append(out.Splits, spread.Split{
			Level:  uint8(s.GetLevel()),
			Index:  uint16(s.GetIndex()),
			Hashes: s.GetHashes(),
		})
	}
	out.Leaves, err = readLeaves(in.GetLeaves())
	if err != nil {
		return out, err
	}
	out.Wanted, err = readLeaves(in.GetWanted())
	return out, err
}

func badRange(level, index uint32) bool {
	return level > maxLevel || index >= 1<<(4*level)
}

func readLeaves(in []*RangeLeaf) (out []spread.Leaf, err error) {
	for _, l := range in {
		if badRange(l.GetLevel(), l.GetIndex()) {
			return nil, ErrRange
		}
		out = append(out, spread.Leaf{
			Level:   uint8(l.GetLevel()),
			Index:   uint16(l.GetIndex()),
			Digests: l.GetDigests(),
		})
	}
	return out, nil
}

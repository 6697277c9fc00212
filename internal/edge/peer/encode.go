package peer

import (
	"net/netip"

	"github.com/clementinewing/clementinewing/internal/fleet/gossip"
	"github.com/clementinewing/clementinewing/internal/fleet/lease"
	"github.com/clementinewing/clementinewing/internal/fleet/member"
)

func encodeAddress(a netip.AddrPort) []byte {
	b, _ := a.MarshalBinary()
	return b
}

func encodeKey(k lease.Key) *RecordKey {
	return &RecordKey{
		Service:     uint64(k.Service),
		Incarnation: uint64(k.Incarnation),
	}
}

func encodeKeys(in []lease.Key) (out []*RecordKey) {
	for _, k := range in {
		out = append(out, encodeKey(k))
	}
	return out
}

func encodeVersion(v lease.Version) *RecordVersion {
	return &RecordVersion{
		Gone:     v.Gone,
		Sequence: v.Sequence,
		Round:    v.Round,
		Health:   uint32(v.Health),
	}
}

func encodeRecord(r lease.Record) *RecordBody {
	e := r.Endpoint
	b := &RecordBody{
		Service:     uint64(e.Service),
		Incarnation: uint64(e.Incarnation),
		Sequence:    e.Sequence,
		Round:       r.Round,
		Health:      uint32(r.Health),
		State:       uint32(e.State),
		Weight:      e.Weight,
		Agent:       encodeAddress(e.Agent),
		Upstream:    e.Upstream,
		Region:      e.Place.Region,
		Domain:      e.Place.Domain,
	}
	if !r.Expires.IsZero() {
		b.Expires = r.Expires.Unix()
	}
	return b
}

func encodeRecords(in []lease.Record) (out []*RecordBody) {
	for _, r := range in {
		out = append(out, encodeRecord(r))
	}
	return out
}

func encodeRenew(in lease.Renew) *RenewRequest {
	return &RenewRequest{
		Records: encodeRecords(in.Records),
	}
}

func encodeRenewReply(in lease.RenewReply) *RenewResponse {
	out := &RenewResponse{
		Revision: in.Revision,
		Record:   in.RecordHash,
	}
	for _, v := range in.Verdicts {
		out.Verdicts = append(out.Verdicts, &RenewVerdict{
			Key:     encodeKey(v.Key),
			Version: encodeVersion(v.Version),
		})
	}
	for _, h := range in.Homes {
		out.Homes = append(out.Homes, encodeAddress(h))
	}
	return out
}

func encodeExchange(in member.Exchange) *ExchangeRequest {
	return &ExchangeRequest{
		From:        encodeAddress(in.From),
		Incarnation: uint64(in.Incarnation),
		Body:        encodeMessage(in.Message),
		Doubts:      encodeKeys(in.QueriedKeys),
	}
}

func encodeExchangeReply(in member.ExchangeReply) *ExchangeResponse {
	return &ExchangeResponse{
		Body:    encodeMessage(in.Message),
		Vouches: encodeKeys(in.HeardKeys),
	}
}

func encodeMessage(in gossip.Message) *ExchangeBody {
	if in.Empty() && !in.Synchronized {
		return nil
	}
	out := &ExchangeBody{
		Root:    in.Root,
		Compare: in.Compare,
		Settled: in.Synchronized,
		Records: encodeRecords(in.Records),
		Leaves:  encodeLeaves(in.Leaves),
		Wanted:  encodeLeaves(in.Wanted),
	}
	for _, s := range in.Splits {
		out.Splits = append(out.Splits, &RangeSplit{
			Level:  uint32(s.Level),
			Index:  uint32(s.Index),
			Hashes: s.Hashes,
		})
	}
	return out
}

func encodeLeaves(in []gossip.Leaf) (out []*RangeLeaf) {
	for _, l := range in {
		out = append(out, &RangeLeaf{
			Level:   uint32(l.Level),
			Index:   uint32(l.Index),
			Digests: l.Digests,
		})
	}
	return out
}

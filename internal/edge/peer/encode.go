package peer

import (
	"net/netip"

	"github.com/clementinewing/clementinewing/internal/fleet/lease"
	"github.com/clementinewing/clementinewing/internal/fleet/member"
	"github.com/clementinewing/clementinewing/internal/fleet/spread"
)

func writeAddress(a netip.AddrPort) []byte {
	b, _ := a.MarshalBinary()
	return b
}

func writeKey(k lease.Key) *RecordKey {
	return &RecordKey{
		Service:     uint64(k.Service),
		Incarnation: uint64(k.Incarnation),
	}
}

func writeKeys(in []lease.Key) (out []*RecordKey) {
	for _, k := range in {
		out = append(out, writeKey(k))
	}
	return out
}

func writeVersion(v lease.Version) *RecordVersion {
	return &RecordVersion{
		Gone:     v.Gone,
		Sequence: v.Sequence,
		Round:    v.Round,
		Health:   uint32(v.Health),
	}
}

func writeRecord(r lease.Record) *RecordBody {
	e := r.Endpoint
	b := &RecordBody{
		Service:     uint64(e.Service),
		Incarnation: uint64(e.Incarnation),
		Sequence:    e.Sequence,
		Round:       r.Round,
		Health:      uint32(r.Health),
		State:       uint32(e.State),
		Weight:      e.Weight,
		Agent:       writeAddress(e.Agent),
		Upstream:    e.Upstream,
		Region:      e.Place.Region,
		Domain:      e.Place.Domain,
	}
	if !r.Expires.IsZero() {
		b.Expires = r.Expires.Unix()
	}
	return b
}

func writeRecords(in []lease.Record) (out []*RecordBody) {
	for _, r := range in {
		out = append(out, writeRecord(r))
	}
	return out
}

func writeRenew(in lease.Renew) *RenewRequest {
	return &RenewRequest{
		Records: writeRecords(in.Records),
	}
}

func writeRenewReply(in lease.RenewReply) *RenewResponse {
	out := &RenewResponse{
		Revision: in.Revision,
		Record:   in.Record,
	}
	for _, v := range in.Verdicts {
		out.Verdicts = append(out.Verdicts, &RenewVerdict{
			Key:     writeKey(v.Key),
			Version: writeVersion(v.Version),
		})
	}
	for _, h := range in.Homes {
		out.Homes = append(out.Homes, writeAddress(h))
	}
	return out
}

func writeExchange(in member.Exchange) *ExchangeRequest {
	return &ExchangeRequest{
		From:        writeAddress(in.From),
		Incarnation: uint64(in.Incarnation),
		Body:        writeMessage(in.Message),
		Doubts:      writeKeys(in.Doubts),
	}
}

func writeExchangeReply(in member.ExchangeReply) *ExchangeResponse {
	return &ExchangeResponse{
		Body:    writeMessage(in.Message),
		Vouches: writeKeys(in.Vouches),
	}
}

func writeMessage(in spread.Message) *ExchangeBody {
	if in.Empty() && !in.Settled {
		return nil
	}
	out := &ExchangeBody{
		Root:    in.Root,
		Compare: in.Compare,
		Settled: in.Settled,
		Records: writeRecords(in.Records),
		Leaves:  writeLeaves(in.Leaves),
		Wanted:  writeLeaves(in.Wanted),
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

func writeLeaves(in []spread.Leaf) (out []*RangeLeaf) {
	for _, l := range in {
		out = append(out, &RangeLeaf{
			Level:   uint32(l.Level),
			Index:   uint32(l.Index),
			Digests: l.Digests,
		})
	}
	return out
}

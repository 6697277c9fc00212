package peer

import (
	"google.golang.org/protobuf/proto"

	"github.com/clementinewing/clementinewing/internal/fleet/lease"
	"github.com/clementinewing/clementinewing/internal/fleet/member"
)

// RenewBytes returns the encoded size of a Renew.
func RenewBytes(m lease.Renew) int {
	return proto.Size(encodeRenew(m))
}

// RenewReplyBytes returns the encoded size of a RenewReply.
func RenewReplyBytes(m lease.RenewReply) int {
	return proto.Size(encodeRenewReply(m))
}

// ExchangeBytes returns the encoded size of an Exchange.
func ExchangeBytes(m member.Exchange) int {
	return proto.Size(encodeExchange(m))
}

// ExchangeReplyBytes returns the encoded size of an ExchangeReply.
func ExchangeReplyBytes(m member.ExchangeReply) int {
	return proto.Size(encodeExchangeReply(m))
}

package peer

import (
	"google.golang.org/protobuf/proto"

	"github.com/clementinewing/clementinewing/internal/fleet/lease"
	"github.com/clementinewing/clementinewing/internal/fleet/member"
)

// RenewBytes is the encoded size of a Renew.
func RenewBytes(m lease.Renew) int {
	return proto.Size(writeRenew(m))
}

// RenewReplyBytes is the encoded size of a RenewReply.
func RenewReplyBytes(m lease.RenewReply) int {
	return proto.Size(writeRenewReply(m))
}

// ExchangeBytes is the encoded size of an Exchange.
func ExchangeBytes(m member.Exchange) int {
	return proto.Size(writeExchange(m))
}

// ExchangeReplyBytes is the encoded size of an ExchangeReply.
func ExchangeReplyBytes(m member.ExchangeReply) int {
	return proto.Size(writeExchangeReply(m))
}

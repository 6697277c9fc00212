package wire

import (
	"encoding/binary"

	"github.com/clementinewing/clementinewing/internal/edge/keys"
)

// Opener reads datagrams. One thread uses it; the Openers of a process share
// their Senders.
type Opener struct {
	ring    *keys.Ring
	senders *Senders
	nonce   [nonceBytes]byte
}

// OpenerOption sets one property of an Opener.
type OpenerOption func(*Opener)

// WithSenders shares a table with other Openers. Without it the Opener has a
// table of its own, which is enough only where one socket is read.
func WithSenders(t *Senders) OpenerOption {
	return func(o *Opener) {
		o.senders = t
	}
}

// NewOpener makes an Opener.
func NewOpener(ring *keys.Ring, options ...OpenerOption) *Opener {
	o := &Opener{
		ring: ring,
	}
	for _, set := range options {
		set(o)
	}
	if o.senders == nil {
		o.senders = NewSenders(0)
	}
	return o
}

// Open checks a datagram and fills m from it. It reuses m.Candidates and points
// m.Inner into the datagram. Its error is a Fault, and then m is untouched.
func (o *Opener) Open(datagram []byte, m *Message) error {
	h, err := check(datagram)
	if err != nil {
		return err
	}
	set := o.ring.Load()
	if _, found := set.Master(keys.Epoch(h.epoch)); !found {
		return ErrEpoch
	}
	shard := o.senders.shard(h.sender)
	gmac, fresh := shard.find(set, h)
	if !fresh {
		return ErrReplayed
	}
	if gmac == nil {
		gmac = senderGMAC(set, keys.Epoch(h.epoch), h.sender)
	}
	binary.BigEndian.PutUint64(o.nonce[nonceBytes-8:], h.sequence)
	tagAt := len(datagram) - TagBytes
	if _, err = gmac.Open(nil, o.nonce[:], datagram[tagAt:], datagram[:tagAt]); err != nil {
		return ErrTag
	}
	if !shard.accept(set, h, gmac) {
		return ErrReplayed
	}
	m.read(datagram)
	return nil
}

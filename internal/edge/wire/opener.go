package wire

import (
	"encoding/binary"

	"github.com/clementinewing/clementinewing/internal/edge/keys"
)

// Opener authenticates and reads datagrams. It is not safe for concurrent use; the
// Openers of a process share one Senders table.
type Opener struct {
	ring    *keys.Ring
	senders *Senders
	nonce   [nonceBytes]byte
}

// OpenerOption sets one property of an Opener.
type OpenerOption func(*Opener)

// WithSenders sets a table shared with other Openers. Without it the Opener has its
// own table, which detects replays only if the process reads a single socket.
func WithSenders(t *Senders) OpenerOption {
	return func(o *Opener) {
		o.senders = t
	}
}

// NewOpener creates an Opener.
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

// Open authenticates a datagram and decodes it into m. It reuses m.Candidates and
// points m.Inner into the datagram. On failure it returns a Fault and does not
// change m.
func (o *Opener) Open(datagram []byte, m *Message) error {
	h, err := parseHeader(datagram)
	if err != nil {
		return err
	}
	set := o.ring.Load()
	if _, found := set.Master(keys.Epoch(h.epoch)); !found {
		return ErrEpoch
	}
	shard := o.senders.shardOf(h.sender)
	gmac, unseen := shard.lookup(set, h)
	if !unseen {
		return ErrReplayed
	}
	if gmac == nil {
		gmac = newSenderGMAC(set, keys.Epoch(h.epoch), h.sender)
	}
	binary.BigEndian.PutUint64(o.nonce[nonceBytes-8:], h.sequence)
	tagAt := len(datagram) - TagBytes
	if _, err = gmac.Open(nil, o.nonce[:], datagram[tagAt:], datagram[:tagAt]); err != nil {
		return ErrTag
	}
	if !shard.recordSequence(set, h, gmac) {
		return ErrReplayed
	}
	m.decode(datagram)
	return nil
}

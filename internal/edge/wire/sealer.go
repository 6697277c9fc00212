package wire

import (
	"crypto/aes"
	"crypto/cipher"
	"crypto/rand"
	"encoding/binary"

	"github.com/clementinewing/clementinewing/internal/edge/keys"
)

// nonceBytes is the nonce size of AES-GCM; the sequence fills its end.
const nonceBytes = 12

// Sealer writes datagrams under a sender number of its own. One thread uses it.
type Sealer struct {
	ring     *keys.Ring
	set      *keys.Set
	gmac     cipher.AEAD
	sender   uint64
	sequence uint64
	nonce    [nonceBytes]byte
}

// SealerOption sets one property of a Sealer.
type SealerOption func(*Sealer)

// WithSender sets the sender number in place of a random one. Two Sealers of one
// number under one key would share nonces and reveal the tag's key.
func WithSender(sender uint64) SealerOption {
	return func(s *Sealer) {
		s.sender = sender
	}
}

// NewSealer makes a Sealer with a random sender number.
func NewSealer(ring *keys.Ring, options ...SealerOption) *Sealer {
	var b [8]byte
	// Read never fails: it ends the process instead.
	_, _ = rand.Read(b[:])
	s := &Sealer{
		ring:   ring,
		sender: binary.BigEndian.Uint64(b[:]),
	}
	for _, o := range options {
		o(s)
	}
	return s
}

// Seal appends the datagram of m to out. It appends nothing if m exceeds the
// limits of the format: a candidate or address that is not IPv4, a position or
// denied bit past the candidates, more than MaxCandidates, or a packet longer
// than MaxInner.
func (s *Sealer) Seal(out []byte, m *Message) []byte {
	if !m.valid() {
		return out
	}
	set := s.ring.Load()
	if set != s.set {
		s.set = set
		s.gmac = senderGMAC(set, set.Seal, s.sender)
	}
	s.sequence++
	binary.BigEndian.PutUint64(s.nonce[nonceBytes-8:], s.sequence)
	start := len(out)
	out = appendMessage(out, header{
		epoch:    uint8(set.Seal),
		sender:   s.sender,
		sequence: s.sequence,
	}, m)
	return s.gmac.Seal(out, s.nonce[:], nil, out[start:])
}

// senderGMAC makes the tag function of one sender: AES-256-GCM over no
// plaintext. The epoch must be in the set.
func senderGMAC(set *keys.Set, e keys.Epoch, sender uint64) cipher.AEAD {
	master, _ := set.Master(e)
	key := keys.Derive(master, sender)
	// Both fail only for sizes other than AES's own.
	block, err := aes.NewCipher(key[:])
	if err != nil {
		panic(err)
	}
	gmac, err := cipher.NewGCM(block)
	if err != nil {
		panic(err)
	}
	return gmac
}

package wire

import (
	"crypto/aes"
	"crypto/cipher"
	"crypto/rand"
	"encoding/binary"

	"github.com/clementinewing/clementinewing/internal/edge/keys"
)

// nonceBytes is the nonce size of AES-GCM. The sequence number takes the last 8
// bytes.
const nonceBytes = 12

// Sealer writes datagrams with its own sender number. It is not safe for concurrent
// use.
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

// WithSender sets the sender number instead of a random one. Two Sealers with the
// same number and key would reuse nonces, which reveals the authentication key.
func WithSender(sender uint64) SealerOption {
	return func(s *Sealer) {
		s.sender = sender
	}
}

// NewSealer creates a Sealer with a random sender number.
func NewSealer(ring *keys.Ring, options ...SealerOption) *Sealer {
	var b [8]byte
	// Read never returns an error: it terminates the process instead.
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
// limits of the format: an unknown kind, a candidate or address that is not IPv4,
// a position or denied bit beyond the candidates, more than MaxCandidates or
// MaxRounds, or a packet longer than MaxInner.
func (s *Sealer) Seal(out []byte, m *Message) []byte {
	if !m.withinLimits() {
		return out
	}
	set := s.ring.Load()
	if set != s.set {
		s.set = set
		s.gmac = newSenderGMAC(set, set.SealEpoch, s.sender)
	}
	s.sequence++
	binary.BigEndian.PutUint64(s.nonce[nonceBytes-8:], s.sequence)
	start := len(out)
	out = appendMessage(out, header{
		epoch:    uint8(set.SealEpoch),
		sender:   s.sender,
		sequence: s.sequence,
	}, m)
	return s.gmac.Seal(out, s.nonce[:], nil, out[start:])
}

// newSenderGMAC creates the message authentication code of one sender: AES-256-GCM
// with an empty plaintext. The epoch must be in the set.
func newSenderGMAC(set *keys.Set, e keys.Epoch, sender uint64) cipher.AEAD {
	master, _ := set.Master(e)
	key := keys.Derive(master, sender)
	// NewCipher and NewGCM fail only for key or block sizes that AES does not have.
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

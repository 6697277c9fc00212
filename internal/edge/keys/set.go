// Package keys holds the master keys, by epoch, that authenticate datagrams between
// balancers and agents, and derives a key for each sender from them.
//
// Keys are rotated in three steps. Each step must be complete on every node before the
// next begins: accept the new epoch, seal with the new epoch, remove the old epoch. No
// datagram is rejected at any step.
package keys

import (
	"crypto/hkdf"
	"crypto/sha256"
	"encoding/binary"
	"slices"
)

// KeyBytes is the size of master keys and derived keys.
const KeyBytes = 32

// derivationLabel separates these derived keys from keys for any other use of a master
// key.
const derivationLabel = "clementinewing datagram v1"

// Epoch numbers a master key.
type Epoch uint8

// Key is a master key or a derived key. Formatting it never prints its bytes.
type Key [KeyBytes]byte

// String implements fmt.Stringer.
func (Key) String() string {
	return "(key)"
}

// GoString implements fmt.GoStringer.
func (Key) GoString() string {
	return "(key)"
}

// Master is one master key and its epoch.
type Master struct {
	Epoch Epoch
	Key   Key
}

// Set holds the master keys in use. Datagrams of every epoch are accepted; the key of one
// epoch seals. A set must not change once a Ring holds it.
type Set struct {
	SealEpoch Epoch
	Masters   []Master
}

// Master returns the master key of an epoch.
func (s *Set) Master(e Epoch) (key Key, ok bool) {
	for i := range s.Masters {
		if s.Masters[i].Epoch == e {
			return s.Masters[i].Key, true
		}
	}
	return key, false
}

// Epochs returns the accepted epochs in ascending order.
func (s *Set) Epochs() []Epoch {
	list := make([]Epoch, 0, len(s.Masters))
	for i := range s.Masters {
		list = append(list, s.Masters[i].Epoch)
	}
	slices.Sort(list)
	return list
}

// Derive derives the key of one sender with HKDF-SHA256 (RFC 5869) from the master key,
// with the sender's number as salt.
func Derive(master Key, sender uint64) (key Key) {
	var salt [8]byte
	binary.BigEndian.PutUint64(salt[:], sender)
	// hkdf.Key fails only for lengths over 255 digests.
	derived, err := hkdf.Key(sha256.New, master[:], salt[:], derivationLabel, KeyBytes)
	if err != nil {
		panic(err)
	}
	copy(key[:], derived)
	return key
}

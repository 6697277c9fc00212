// Package keys holds the master keys that datagrams between the roles are
// tagged with, by epoch, and derives each sender's key from them.
//
// Keys are rotated in three steps, each finished on every node before the next
// begins: accept the new epoch everywhere, seal with it everywhere, drop the
// old one everywhere. No datagram is refused at any step.
package keys

import (
	"crypto/hkdf"
	"crypto/sha256"
	"encoding/binary"
	"slices"
)

// KeyBytes is the size of a master key and of a derived key.
const KeyBytes = 32

// senderLabel separates the keys of this use from any other use of a master key.
const senderLabel = "clementinewing datagram v1"

// Epoch numbers a master key.
type Epoch uint8

// Key is a master key or a derived key. It never prints its bytes.
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

// Set is the master keys in use: every one is accepted, one seals. A set is not
// changed once a Ring holds it.
type Set struct {
	Seal    Epoch
	Masters []Master
}

// Master gives the master key of an epoch.
func (s *Set) Master(e Epoch) (key Key, ok bool) {
	for i := range s.Masters {
		if s.Masters[i].Epoch == e {
			return s.Masters[i].Key, true
		}
	}
	return key, false
}

// Epochs lists the accepted epochs in rising order.
func (s *Set) Epochs() []Epoch {
	list := make([]Epoch, 0, len(s.Masters))
	for i := range s.Masters {
		list = append(list, s.Masters[i].Epoch)
	}
	slices.Sort(list)
	return list
}

// Derive makes the key of one sender: HKDF-SHA256 (RFC 5869) of the master key,
// salted with the sender's number.
func Derive(master Key, sender uint64) (key Key) {
	var salt [8]byte
	binary.BigEndian.PutUint64(salt[:], sender)
	// Key fails only for lengths past 255 digests.
	derived, err := hkdf.Key(sha256.New, master[:], salt[:], senderLabel, KeyBytes)
	if err != nil {
		panic(err)
	}
	copy(key[:], derived)
	return key
}

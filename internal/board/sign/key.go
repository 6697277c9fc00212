package sign

import (
	"crypto/ed25519"
	"encoding/base64"
	"strings"

	"github.com/rotisserie/eris"
)

var errKey = eris.New("malformed key file: must be one line with a 32-byte Ed25519 seed in base64")

// FormatPrivateKey encodes a private key as the single line of a key file.
func FormatPrivateKey(key ed25519.PrivateKey) string {
	return base64.StdEncoding.EncodeToString(key.Seed()) + "\n"
}

// ParsePrivateKey parses the content of a key file.
func ParsePrivateKey(text []byte) (key ed25519.PrivateKey, err error) {
	seed, err := base64.StdEncoding.Strict().DecodeString(strings.TrimSpace(string(text)))
	if err != nil || len(seed) != ed25519.SeedSize {
		return nil, errKey
	}
	return ed25519.NewKeyFromSeed(seed), nil
}

// FormatPublicKey encodes the public key for the key setting of an [operator NAME]
// section.
func FormatPublicKey(key ed25519.PrivateKey) string {
	return base64.StdEncoding.EncodeToString(key.Public().(ed25519.PublicKey))
}

package sign

import (
	"crypto/ed25519"
	"encoding/base64"
	"strings"

	"github.com/rotisserie/eris"
)

var errKey = eris.New("a key file holds one line: the Ed25519 seed of 32 bytes in base64")

// FormatKey writes a private key as the one line of a key file.
func FormatKey(key ed25519.PrivateKey) string {
	return base64.StdEncoding.EncodeToString(key.Seed()) + "\n"
}

// ParseKey reads the one line of a key file.
func ParseKey(text []byte) (key ed25519.PrivateKey, err error) {
	seed, err := base64.StdEncoding.Strict().DecodeString(strings.TrimSpace(string(text)))
	if err != nil || len(seed) != ed25519.SeedSize {
		return nil, errKey
	}
	return ed25519.NewKeyFromSeed(seed), nil
}

// FormatPublic writes the public half as a file's [operator NAME] key has it.
func FormatPublic(key ed25519.PrivateKey) string {
	return base64.StdEncoding.EncodeToString(key.Public().(ed25519.PublicKey))
}

package tracker

import (
	"crypto/sha256"
	"encoding/hex"
)

// Digest identifies the content of a State: replicas that have applied the same entries by
// the same rules have the same one at each index.
type Digest string

// digestBytes is the length of a Digest before its encoding in hexadecimal.
const digestBytes = 8

// Digest returns the digest of s. It encodes the whole state, as a snapshot does.
func (s *State) Digest() (Digest, error) {
	data, err := s.Encode()
	if err != nil {
		return "", err
	}
	sum := sha256.Sum256(data)
	return Digest(hex.EncodeToString(sum[:digestBytes])), nil
}

package lavenderridge

import (
	"encoding/hex"
	"fmt"
)

// A Digest is the SHA-256 hash of a document's canonical encoding.
type Digest [32]byte

// String returns the first eight bytes of the digest in hexadecimal.
func (d Digest) String() string {
	return hex.EncodeToString(d[:8])
}

// MarshalText returns the whole digest in hexadecimal.
func (d Digest) MarshalText() ([]byte, error) {
	return hex.AppendEncode(nil, d[:]), nil
}

// UnmarshalText decodes the output of MarshalText. It returns an error if b is
// not the hexadecimal form of exactly 32 bytes.
func (d *Digest) UnmarshalText(b []byte) error {
	if len(b) != hex.EncodedLen(len(d)) {
		return fmt.Errorf("lavenderridge: digest has %d characters; want %d", len(b), hex.EncodedLen(len(d)))
	}
	if _, e := hex.Decode(d[:], b); e != nil {
		return fmt.Errorf("lavenderridge: decode digest: %w", e)
	}
	return nil
}

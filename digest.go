package lavenderridge

import "encoding/hex"

// A Digest is the SHA-256 hash of a document's canonical encoding.
type Digest [32]byte

// String returns the first eight bytes of the digest in hexadecimal.
func (d Digest) String() string {
	return hex.EncodeToString(d[:8])
}

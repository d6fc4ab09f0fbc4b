package lavenderridge

import (
	"bytes"
	"crypto/hmac"
	"crypto/sha256"
	"crypto/subtle"
	"hash"
	"sync"
)

// A CustomerKey is the keyed hash of a secret key with which a customer's requests prove
// where they come from. The zero value stands for a request without a key.
type CustomerKey [sha256.Size]byte

// keyDomain separates these hashes from all others. It is no secret: all daemons must
// compute the same hash of a key.
const keyDomain = "lavenderridge customer key"

// keyHasher computes hashes of keys one after the other without an allocation.
type keyHasher struct {
	hash hash.Hash
	sum  []byte
}

var keyHashers = sync.Pool{New: func() any { return &keyHasher{hash: hmac.New(sha256.New, []byte(keyDomain))} }}

// NewCustomerKey returns the hash of the secret key s.
func NewCustomerKey(s []byte) CustomerKey {
	h := keyHashers.Get().(*keyHasher)
	defer keyHashers.Put(h)
	h.hash.Reset()
	_, _ = h.hash.Write(s)
	h.sum = h.hash.Sum(h.sum[:0])
	return CustomerKey(h.sum)
}

// Compare orders keys.
func (k CustomerKey) Compare(o CustomerKey) int {
	return bytes.Compare(k[:], o[:])
}

// Equal compares two keys in constant time.
func (k CustomerKey) Equal(o CustomerKey) bool {
	return subtle.ConstantTimeCompare(k[:], o[:]) == 1
}

// String returns a placeholder, so that no log or message contains a key.
func (k CustomerKey) String() string {
	return "[key]"
}

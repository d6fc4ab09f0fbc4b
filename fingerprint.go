package lavenderridge

import "github.com/cespare/xxhash/v2"

// A Fingerprint is a 64-bit hash that identifies a request: over its service and
// idempotency key or, without a key, over its method, path and body.
type Fingerprint uint64

// FingerprintOf returns the fingerprint of the request r.
func FingerprintOf(r *Request) Fingerprint {
	var h xxhash.Digest
	h.Reset()
	if r.Key != "" {
		writeFields(&h, "key", string(r.Service), string(r.Key))
		return Fingerprint(h.Sum64())
	}
	writeFields(&h, "content", r.Method, r.Path)
	_, _ = h.Write(r.Body)
	return Fingerprint(h.Sum64())
}

// writeFields writes each string of s followed by a zero byte, so that lists
// whose concatenations are equal still hash differently.
func writeFields(h *xxhash.Digest, s ...string) {
	for _, v := range s {
		_, _ = h.WriteString(v)
		_, _ = h.Write([]byte{0})
	}
}

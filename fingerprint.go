package lavenderridge

import "github.com/cespare/xxhash/v2"

// A Fingerprint identifies a request by its service and key, or else by its
// method, path and body. It is a 64-bit hash.
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

// writeFields writes each string of s with a separator, so that equal hashes
// mean equal fields.
func writeFields(h *xxhash.Digest, s ...string) {
	for _, v := range s {
		_, _ = h.WriteString(v)
		_, _ = h.Write([]byte{0})
	}
}

// Package canonicalcbor encodes documents in deterministic CBOR. Daemons send
// documents to each other in this encoding and compute digests over it.
package canonicalcbor

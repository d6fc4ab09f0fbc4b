// Package canonicalcbor encodes documents in deterministic CBOR, the form in
// which daemons pass them to each other and over which digests are taken.
package canonicalcbor

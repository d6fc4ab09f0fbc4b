// Package peerquic carries the protocol between daemons over QUIC with mutual
// TLS.
//
// Each call takes one bidirectional stream: the client writes one byte with
// the kind of the call and the CBOR of the question and closes its side; the
// server answers with one status byte and the CBOR of the reply or of the
// refusal, and closes. A stream that is reset before its end is never read as
// complete.
package peerquic

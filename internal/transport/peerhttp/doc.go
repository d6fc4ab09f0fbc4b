// Package peerhttp carries the protocol between daemons over HTTP/2 with
// mutual TLS.
//
// Each call is one POST: its body is one byte with the kind of the call and the
// CBOR of the question, the body of the response one status byte and the CBOR
// of the reply or of the refusal. A body that breaks off before its end is never
// read as complete, and a call whose body did not arrive whole is not run.
package peerhttp

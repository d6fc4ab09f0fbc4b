// Package peerhttp implements the protocol between daemons over HTTP/2 with
// mutual TLS.
//
// Each call is one POST. The request body is one byte with the kind of the call,
// followed by the arguments in CBOR. The response body is one status byte,
// followed by the reply or the refusal in CBOR. A truncated body is never treated
// as complete, and a call whose body did not arrive completely is not run.
package peerhttp

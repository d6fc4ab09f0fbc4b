// Package backendserver holds the handlers with which a daemon, as the owner of
// the backend server beside it, admits requests and forwards them to that backend
// server.
//
// It applies the decisions of internal/policy/backendserver: the limits for
// requests in flight, the detection of crashes and of the requests that cause
// them, the protection of a cold backend server, and the ledger of idempotency
// keys.
package backendserver

// Package operatorhttp serves read-only views of one daemon to operators over
// HTTP, and contains the client that reads them.
//
// GET /status, /decisions?subject=&event=&limit= and /burn return JSON with
// names in Pascal case, and /metrics the Prometheus text format. /healthz
// returns 200 while the process runs. /readyz returns 200 if the daemon accepts
// new work, and 503 otherwise.
package operatorhttp

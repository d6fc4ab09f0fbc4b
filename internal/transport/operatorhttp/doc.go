// Package operatorhttp serves operators read-only views of one daemon over
// HTTP, and asks for them.
//
// GET /status, /decisions?subject=&event=&limit= and /burn answer JSON with
// names in Pascal case; /metrics answers in the Prometheus text format;
// /healthz answers 200 while the process runs, and /readyz 200 or 503.
package operatorhttp

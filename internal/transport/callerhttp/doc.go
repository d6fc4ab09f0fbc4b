// Package callerhttp serves callers over HTTP.
//
// A request may carry X-Request-Id, Idempotency-Key, X-Request-Timeout-Ms and
// X-Request-Depth. A refusal carries X-Refusal-Outcome (NotRun or Unknown) and
// X-Refusal-Reason, and Retry-After where a resend may help.
package callerhttp

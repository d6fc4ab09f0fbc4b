// Package callerhttp serves callers over HTTP.
//
// A request may carry X-Request-Id, Idempotency-Key, X-Request-Timeout-Ms,
// X-Request-Depth and X-Request-No-Retry. A refusal carries X-Refusal-Outcome
// (NotRun or Unknown), X-Refusal-Reason, X-Refusal-Retried if the daemon has
// retried the request already, and Retry-After if a later retry may succeed.
package callerhttp

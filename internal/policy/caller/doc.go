// Package caller implements the policies for requests of callers: routing,
// retries, limits, load shedding and the refusals that callers receive.
package caller

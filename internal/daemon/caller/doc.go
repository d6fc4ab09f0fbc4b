// Package caller handles the requests of callers: it matches them with the
// catalogue, applies limits, routes and forwards them, and retries failed attempts.
package caller

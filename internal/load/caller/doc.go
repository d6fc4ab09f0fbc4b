// Package caller is a load generator: it sends callers' HTTP requests to daemons
// at a fixed rate and counts the responses, refusals and latencies.
package caller

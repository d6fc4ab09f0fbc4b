// Package backendserver decides which requests a daemon admits to its own
// backend server.
//
// A Limiter computes how many requests may run concurrently. An Admission
// enforces that limit and queues a bounded number of further requests. A
// Suspects holds the requests that are suspected of crashing backend servers.
// The current time is passed to all three as an argument. A request that need
// not wait uses atomics only and takes no lock.
package backendserver

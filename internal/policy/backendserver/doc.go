// Package backendserver decides what a daemon lets its own backend server
// bear.
//
// A Limiter says how many requests it may run at once, an Admission keeps to
// that and lets a few more wait, and a Suspects holds the requests that
// are suspected of crashing backend servers. All three take the time as an
// argument. A request that need not wait meets atomics only.
package backendserver

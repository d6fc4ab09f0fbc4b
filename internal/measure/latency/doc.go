// Package latency measures the latency, processor time and allocations that
// daemons add to a call.
package latency

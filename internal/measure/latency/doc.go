// Package latency measures what a daemon adds to a call.
package latency

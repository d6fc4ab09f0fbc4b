// Package fleet runs daemons as separate processes, injects the faults of a plan
// and records the requests of callers and their runs at backend servers. It sends
// signals only to processes that it has started.
package fleet

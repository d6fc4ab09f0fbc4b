// Package lavenderridge holds the types, interfaces and errors that every part
// of the configuration distribution system shares.
//
// One program runs: a daemon beside each backend server instance. Each daemon
// keeps the operators' catalogue in force, routes callers' requests by it and
// is the only authority over its own backend server. Implementations of the
// interfaces here live below internal/; decisions live in internal/policy and
// know no codec, socket or wall clock.
package lavenderridge

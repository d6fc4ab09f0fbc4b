// Package lavenderridge holds the types, interfaces and errors that every part
// of the configuration distribution system shares.
//
// One program runs: a daemon beside each backend server instance. Each daemon
// applies the operators' catalogue, routes callers' requests according to it and
// alone controls access to its own backend server. Implementations of the
// interfaces here live below internal/; decisions live in internal/policy,
// which uses no codec, socket or wall clock.
package lavenderridge

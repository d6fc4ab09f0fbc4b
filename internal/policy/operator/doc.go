// Package operator computes service-level burn rates: how fast the requests of an
// entry use up the error budget of its objective. A burn rate of 1 uses up
// exactly the budget. It also selects the log lines that explain a request. The
// package reads no clock: the time is always an argument.
package operator

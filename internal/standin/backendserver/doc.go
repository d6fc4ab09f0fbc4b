// Package backendserver is a stand-in for a backend server: a simulated server
// for tests and trials. It records every run of a request, so that tests can
// compare the runs with the results that callers received.
package backendserver

// Package backendserver is a simulated backend server for tests and trials. It
// records every run of a request, which is what tests compare with the results
// that callers received.
package backendserver

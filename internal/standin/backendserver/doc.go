// Package backendserver is a stand-in for a backend server, for tests and
// trials. Its record of runs is the oracle of the tests.
package backendserver

// Package factsource is a stand-in for a platform's store of published facts: a
// simulated source for tests.
package factsource

// Package factsource is a simulated fact source of a platform, for tests.
package factsource

// Package plan generates the faults of a soak test from a seed.
package plan
